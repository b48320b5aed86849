package daemon

import (
	"bytes"
	"crypto/tls"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"

	"github.com/slipwick/slipwick/keyfiles"
)

// secure puts TLS and signatures in force where the settings have them.
func (r *Router) secure() error {
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
	if settings.Secret == "" {
		return nil
	}
	secret, err := os.ReadFile(settings.Secret)
	if err != nil {
		return errors.Wrap(err, "tls.secret")
	}
	const least = 16
	if r.udp.Secret = bytes.TrimSpace(secret); len(r.udp.Secret) < least {
		return errors.Errorf("tls.secret: %s holds fewer than %d bytes; fill it from openssl rand -hex 32",
			settings.Secret, least)
	}
	return nil
}
