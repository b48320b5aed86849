package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Files holds the paths of the PEM files that a Loader reads.
type Files struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	// Authorities is the file with the certificates of the certificate authorities (CAs) that
	// sign the fleet's certificates. If it is empty, a server requires no certificate of its
	// clients.
	Authorities string `json:"authorities"`
}

// checkInterval is the shortest time between checks of whether the files have
// changed. They are checked only when they are used.
const checkInterval = time.Second

// Loader makes TLS configurations that use the current content of the files. It may
// be used from several goroutines.
type Loader struct {
	files Files

	mu sync.Mutex
	// checkedAt is when the files were last checked for changes, changedAt the latest modification
	// time among them when they were last read.
	checkedAt   time.Time
	changedAt   time.Time
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// NewLoader reads the files. The error names the file that can't be used.
func NewLoader(files Files) (*Loader, error) {
	l := &Loader{
		files: files,
	}
	if err := l.read(); err != nil {
		return nil, err
	}
	l.checkedAt = time.Now()
	l.changedAt = l.modifiedAt()
	return l, nil
}

func (l *Loader) read() error {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s and its key; provide both in PEM format", l.files.Certificate)
	}
	var pool *x509.CertPool
	if l.files.Authorities != "" {
		pem, err := os.ReadFile(l.files.Authorities)
		if err != nil {
			return errors.Wrap(err, "read the authorities' certificates")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Errorf("%s contains no certificate; provide that of the fleet's authority in PEM format",
				l.files.Authorities)
		}
	}
	l.certificate, l.pool = &certificate, pool
	return nil
}

// modifiedAt returns when the file that was modified last was modified.
func (l *Loader) modifiedAt() time.Time {
	var newest time.Time
	for _, name := range []string{l.files.Certificate, l.files.Key, l.files.Authorities} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the files' content. If the files can't be read, for example because
// they are just being replaced, it returns the content read before.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checkedAt) >= checkInterval {
		l.checkedAt = now
		if newest := l.modifiedAt(); newest.After(l.changedAt) && l.read() == nil {
			l.changedAt = newest
		}
	}
	return l.certificate, l.pool
}

// ServerConfig returns a configuration for accepting connections. If there are
// authorities, clients need a certificate signed by one of them.
func (l *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := l.current()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if pool != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = pool
			}
			return config, nil
		},
	}
}

// ClientConfig returns a configuration for connecting to another router: both sides
// need a certificate signed by one of the authorities. The name in the certificate is
// not checked, because boxes are replaced and have no lasting names.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain instead, against authorities that may change.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := l.current()
			return certificate, nil
		},
		VerifyConnection: l.verify,
	}
}

func (l *Loader) verify(state tls.ConnectionState) error {
	_, pool := l.current()
	options := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the router presented no certificate; give it one signed by the fleet's authority")
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "the router's certificate is not signed by the fleet's authority")
}
