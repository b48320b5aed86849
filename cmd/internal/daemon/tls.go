package daemon

import (
	"bytes"
	"crypto/tls"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"

	"github.com/slipwick/slipwick/keyfiles"
)

// enableTLS enables TLS on the listeners and streams, and signatures on the membership packets,
// as far as the settings name files for them.
func (r *Router) enableTLS() error {
	settings := r.Settings.TLS
	if settings.Callers != nil {
		loader, err := keyfiles.NewLoader(*settings.Callers)
		if err != nil {
			return errors.Wrap(err, "tls.callers")
		}
		r.listeners.callers = tls.NewListener(r.listeners.callers, loader.ServerConfig())
	}
	if settings.Peers != nil {
		loader, err := keyfiles.NewLoader(*settings.Peers)
		if err != nil {
			return errors.Wrap(err, "tls.peers")
		}
		r.mesh.ServerCredentials = credentials.NewTLS(loader.ServerConfig())
		r.mesh.ClientCredentials = credentials.NewTLS(loader.ClientConfig())
	}
	if settings.SecretFile == "" {
		return nil
	}
	secret, err := os.ReadFile(settings.SecretFile)
	if err != nil {
		return errors.Wrap(err, "tls.secret")
	}
	const minSecretBytes = 16
	if r.membershipUDP.Secret = bytes.TrimSpace(secret); len(r.membershipUDP.Secret) < minSecretBytes {
		return errors.Errorf("tls.secret: %s holds fewer than %d bytes; fill it from openssl rand -hex 32",
			settings.SecretFile, minSecretBytes)
	}
	return nil
}
