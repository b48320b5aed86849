package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/keyfiles"
)

// validity is how long a certificate of an Authority is good.
const validity = time.Hour

// Authority signs certificates for tests, as an operator's own would.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority that signs itself.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	var err error
	a.certificate, a.key, err = a.sign(1, true)
	return a, err
}

func (a *Authority) sign(serial int64, ca bool) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject: pkix.Name{
			CommonName: "fleet",
		},
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  ca,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if a.key != nil {
		parent, signer = a.certificate, a.key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	return certificate, key, err
}

// Issue writes a box's certificate and key, and the authority's certificate,
// into a folder.
func (a *Authority) Issue(folder string, serial int64) (keyfiles.Files, error) {
	files := keyfiles.Files{
		Certificate: filepath.Join(folder, "box.pem"),
		Key:         filepath.Join(folder, "box.key"),
		Authorities: filepath.Join(folder, "authorities.pem"),
	}
	certificate, key, err := a.sign(serial, false)
	if err != nil {
		return files, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, errors.Wrap(err, "encode key")
	}
	for _, file := range []struct {
		name, kind string
		raw        []byte
	}{
		{
			name: files.Certificate,
			kind: "CERTIFICATE",
			raw:  certificate.Raw,
		},
		{
			name: files.Key,
			kind: "PRIVATE KEY",
			raw:  encoded,
		},
		{
			name: files.Authorities,
			kind: "CERTIFICATE",
			raw:  a.certificate.Raw,
		},
	} {
		block := pem.EncodeToMemory(&pem.Block{
			Type:  file.kind,
			Bytes: file.raw,
		})
		if err := os.WriteFile(file.name, block, 0o600); err != nil {
			return files, errors.Wrap(err, "write key file")
		}
	}
	return files, nil
}
