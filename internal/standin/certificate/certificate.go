// Package certificate is a stand-in for a certificate authority. It issues the
// certificates that tests of mutual TLS use.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
)

// fileMode allows only the owner to read the keys.
const fileMode = 0o600

// CA issues certificates.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns a CA whose certificate is valid from an hour ago until an hour from
// now.
func NewCA() (*CA, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "site CA"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{cert, key}, err
}

// Write issues a certificate for an IP address, for use as a server and as a client,
// that expires at end. It writes the certificate, its key and the CA's certificate
// to dir.
func (c *CA) Write(dir string, ip net.IP, end time.Time) (secure.Files, error) {
	key, err := newKey()
	if err != nil {
		return secure.Files{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "entry VM"},
		NotBefore:    c.cert.NotBefore,
		NotAfter:     end,
		IPAddresses:  []net.IP{ip},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, key.Public(), c.key)
	if err != nil {
		return secure.Files{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return secure.Files{}, err
	}
	files := secure.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{{files.Cert, "CERTIFICATE", der}, {files.Key, "PRIVATE KEY", keyDER}, {files.CA, "CERTIFICATE", c.cert.Raw}} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.path, text, fileMode); err != nil {
			return secure.Files{}, err
		}
	}
	return files, nil
}

func newKey() (*ecdsa.PrivateKey, error) { return ecdsa.GenerateKey(elliptic.P256(), rand.Reader) }
