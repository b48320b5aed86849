package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
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
	// checkedAt is when the files were last checked for changes, infos describe them just before they
	// were last read.
	checkedAt   time.Time
	infos       []os.FileInfo
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// NewLoader reads the files. The error names the file that can't be used.
func NewLoader(files Files) (*Loader, error) {
	l := &Loader{
		files:     files,
		checkedAt: time.Now(),
	}
	l.infos = l.stat()
	if err := l.read(); err != nil {
		return nil, err
	}
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

// stat describes the files. The entry of one that can't be read is nil.
func (l *Loader) stat() []os.FileInfo {
	var infos []os.FileInfo
	for _, name := range []string{l.files.Certificate, l.files.Key, l.files.Authorities} {
		info, err := os.Stat(name)
		if err != nil {
			info = nil
		}
		infos = append(infos, info)
	}
	return infos
}

// isSameFile reports whether both describe the same content. A file may be replaced by one that was
// modified earlier, such as a copy that keeps its modification time.
func isSameFile(a, b os.FileInfo) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// current returns the files' content. If the files can't be read, for example because
// they are just being replaced, it returns the content read before.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checkedAt) >= checkInterval {
		l.checkedAt = now
		if infos := l.stat(); !slices.EqualFunc(infos, l.infos, isSameFile) && l.read() == nil {
			l.infos = infos
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
