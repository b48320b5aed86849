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

// validity is how long before and after its creation a certificate is valid.
const validity = time.Hour

// Authority is a certificate authority for tests, like one that an operator runs.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a self-signed certificate.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	var err error
	a.certificate, a.key, err = a.sign(1, true)
	return a, err
}

// sign creates a key and a certificate for it: self-signed for the authority
// itself, else signed by the authority.
func (a *Authority) sign(serial int64, ca bool) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
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

// Issue signs a certificate for a box. It writes the certificate, its key and
// the authority's certificate into a directory and returns their paths.
func (a *Authority) Issue(directory string, serial int64) (keyfiles.Files, error) {
	files := keyfiles.Files{
		Certificate: filepath.Join(directory, "box.pem"),
		Key:         filepath.Join(directory, "box.key"),
		Authorities: filepath.Join(directory, "authorities.pem"),
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
