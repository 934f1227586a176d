// Package secure builds the TLS configurations of the connections between entry
// VMs and from operators to them. Both ends show a certificate of the site's own
// CA, and each refuses the other without one.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
)

// Files name what one end of TLS connections needs, in PEM. Either all are named
// or none; none means plain connections.
type Files struct {
	Cert string `json:"cert_file"` // this end's certificate, then intermediate ones
	Key  string `json:"key_file"`  // the certificate's private key
	CA   string `json:"ca_file"`   // the CA certificates that the other end's may come from
}

// Part is one of the Files.
type Part string

// The parts of Files.
const (
	Cert Part = "cert"
	Key  Part = "key"
	CA   Part = "ca"
)

// FileError names a file that can not be used.
type FileError struct {
	Part    Part
	Path    string
	Allowed string
	Err     error // nil: the file is not named
}

func (e *FileError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("the %s file is not named: allowed is %s", e.Part, e.Allowed)
	}
	return fmt.Sprintf("the %s file %q can not be used (%v): allowed is %s", e.Part, e.Path, e.Err, e.Allowed)
}

// Unwrap is the cause.
func (e *FileError) Unwrap() error { return e.Err }

// What the files may be.
const (
	allowedCert = "a file of PEM certificates, this end's first"
	allowedKey  = "a file with the certificate's private key in PEM"
	allowedCA   = "a file with at least one PEM certificate of a CA"
	allowedSet  = "all of the certificate, key and CA files, or none"
)

// maxFileBytes is far above any chain of certificates.
const maxFileBytes = 1 << 20

var (
	errNotAFile = errors.New("not a regular file")
	errTooLarge = fmt.Errorf("over %d bytes", maxFileBytes)
	errNoCA     = errors.New("holds no certificate")
)

// None reports whether no file is named.
func (f Files) IsEmpty() bool { return f == Files{} }

// Material is what was read from Files. It makes the configurations of servers
// and clients.
type Credentials struct {
	certificate tls.Certificate
	ca          *x509.CertPool
}

// Load reads the files. It returns nil when none is named. The error is a
// *FileError.
func (f Files) Load() (*Credentials, error) {
	if f.IsEmpty() {
		return nil, nil
	}
	cert, err := readFile(Cert, f.Cert, allowedCert)
	if err != nil {
		return nil, err
	}
	key, err := readFile(Key, f.Key, allowedKey)
	if err != nil {
		return nil, err
	}
	ca, err := readFile(CA, f.CA, allowedCA)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &FileError{Key, f.Key, fmt.Sprintf("%s, here of %s", allowedKey, f.Cert), err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &FileError{CA, f.CA, allowedCA, errNoCA}
	}
	return &Credentials{certificate: pair, ca: pool}, nil
}

// read reads a file that must be named. A device or a pipe is refused: reading it
// may never end, and one would see a daemon that neither starts nor says why.
func readFile(part Part, path, allowed string) ([]byte, error) {
	if path == "" {
		return nil, &FileError{part, path, allowedSet, nil}
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, &FileError{part, path, allowed, err}
	}
	if !info.Mode().IsRegular() {
		return nil, &FileError{part, path, allowed, errNotAFile}
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &FileError{part, path, allowed, err}
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = errTooLarge
	}
	if err != nil {
		return nil, &FileError{part, path, allowed, err}
	}
	return text, nil
}

// protocols are those of the connections in the clear.
var alpnProtocols = []string{"h2", "http/1.1"}

// Server is the configuration of a listener: it takes clients with a certificate
// of the CA for client authentication, and no others. Nil Material means plain
// connections, and the configuration is nil.
func (m *Credentials) Server() *tls.Config {
	if m == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.ca,
		NextProtos:   alpnProtocols,
	}
}

// Client is the configuration of connections that are dialled: the server's
// certificate must come from the CA and name the host or IP that was dialled. Nil
// Material means plain connections, and the configuration is nil.
func (m *Credentials) Client() *tls.Config {
	if m == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.ca,
		NextProtos:   alpnProtocols,
	}
}
