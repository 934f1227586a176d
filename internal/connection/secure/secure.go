// Package secure builds the TLS configurations for connections between entry VMs and
// from operators to entry VMs. TLS is mutual: both ends must present a certificate
// issued by the site's own CA.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
)

// Files are the paths of the PEM files that one end of TLS connections needs. Either
// all of them are set or none; none means connections without TLS.
type Files struct {
	Cert string `json:"cert_file"` // this end's certificate, followed by intermediate certificates
	Key  string `json:"key_file"`  // the certificate's private key
	CA   string `json:"ca_file"`   // the CA certificates that the other end's certificate is verified against
}

// Part names one of the Files.
type Part string

// The parts of Files.
const (
	Cert Part = "cert"
	Key  Part = "key"
	CA   Part = "ca"
)

// FileError is the error for a file that cannot be used.
type FileError struct {
	Part    Part
	Path    string
	Allowed string
	Err     error // nil: no path is set
}

func (e *FileError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("no path is set for the %s file: allowed is %s", e.Part, e.Allowed)
	}
	return fmt.Sprintf("the %s file %q cannot be used (%v): allowed is %s", e.Part, e.Path, e.Err, e.Allowed)
}

// Unwrap returns the cause, if there is one.
func (e *FileError) Unwrap() error { return e.Err }

// Descriptions of valid files, for FileError.Allowed.
const (
	allowedCert = "a file of PEM certificates, this end's first"
	allowedKey  = "a file with the certificate's private key in PEM"
	allowedCA   = "a file with at least one PEM certificate of a CA"
	allowedSet  = "all of the certificate, key and CA files, or none"
)

// maxFileBytes is the maximum size of a file, far above any certificate chain.
const maxFileBytes = 1 << 20

var (
	errNotAFile = errors.New("not a regular file")
	errTooLarge = fmt.Errorf("over %d bytes", maxFileBytes)
	errNoCA     = errors.New("contains no certificate")
)

// IsEmpty reports whether no path is set.
func (f Files) IsEmpty() bool { return f == Files{} }

// Credentials are the contents of Files. Servers and clients get their configurations
// from them.
type Credentials struct {
	certificate tls.Certificate
	ca          *x509.CertPool
}

// Load reads the files. It returns nil without an error if no path is set. An error
// is a *FileError.
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
	certificate, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &FileError{Key, f.Key, fmt.Sprintf("%s, here of %s", allowedKey, f.Cert), err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &FileError{CA, f.CA, allowedCA, errNoCA}
	}
	return &Credentials{certificate: certificate, ca: pool}, nil
}

// readFile reads one of the files; its path must be set. Devices and pipes are
// refused: reading them may never end, and the daemon would neither start nor report
// an error.
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

// alpnProtocols are the same protocols as on connections without TLS.
var alpnProtocols = []string{"h2", "http/1.1"}

// ServerConfig returns the configuration of a listener. It accepts only clients with
// a certificate for client authentication that the CA has issued. Nil Credentials
// mean connections without TLS; the configuration is nil then.
func (m *Credentials) ServerConfig() *tls.Config {
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

// ClientConfig returns the configuration for dialling. The server's certificate must
// be issued by the CA and name the host or IP address that is dialled. Nil Credentials
// mean connections without TLS; the configuration is nil then.
func (m *Credentials) ClientConfig() *tls.Config {
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
