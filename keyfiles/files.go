package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Files names PEM files.
type Files struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	// Authorities signs the certificates of the fleet; empty where the other
	// side needs no certificate.
	Authorities string `json:"authorities"`
}

// checkEvery is how often the files are looked at, when they are used.
const checkEvery = time.Second

// Loader keeps the files' content up to date.
type Loader struct {
	files Files

	mu          sync.Mutex
	checkedAt   time.Time
	changedAt   time.Time
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// NewLoader reads the files. The error names the file and what to do.
func NewLoader(files Files) (*Loader, error) {
	l := &Loader{
		files: files,
	}
	if err := l.read(); err != nil {
		return nil, err
	}
	l.checkedAt = time.Now()
	l.changedAt = l.newest()
	return l, nil
}

func (l *Loader) read() error {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read %s and its key; give a PEM certificate and its key", l.files.Certificate)
	}
	var pool *x509.CertPool
	if l.files.Authorities != "" {
		pem, err := os.ReadFile(l.files.Authorities)
		if err != nil {
			return errors.Wrap(err, "read authorities")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Errorf("%s holds no certificate; give the PEM of the fleet's authority", l.files.Authorities)
		}
	}
	l.certificate, l.pool = &certificate, pool
	return nil
}

// newest is when one of the files was changed last.
func (l *Loader) newest() time.Time {
	var newest time.Time
	for _, name := range []string{l.files.Certificate, l.files.Key, l.files.Authorities} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current gives the files' content. Files that can't be read, as while they
// are being replaced, leave what was read before in force.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checkedAt) >= checkEvery {
		l.checkedAt = now
		if newest := l.newest(); newest.After(l.changedAt) && l.read() == nil {
			l.changedAt = newest
		}
	}
	return l.certificate, l.pool
}

// Server gives settings for accepting connections. With authorities, the other
// side needs a certificate that they signed.
func (l *Loader) Server() *tls.Config {
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

// Client gives settings for connecting within the fleet: both sides need a
// certificate that the authorities signed. Boxes are replaced and have no
// lasting names, so that the certificate's name is not compared.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified below, against authorities that may change.
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
		return errors.New("the router showed no certificate; give it one of the fleet")
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "the router's certificate is not the fleet's")
}
