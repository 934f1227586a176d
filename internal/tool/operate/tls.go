package operate

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Schemes of operators' listeners.
const (
	plainScheme  = "http://"
	secureScheme = "https://"
)

// NoCertificateError is an https:// listener that is named while there is no
// certificate to show.
type NoCertificateError struct{ URL string }

func (e *NoCertificateError) Error() string {
	return fmt.Sprintf("%s asks for a client certificate: give --tls-cert, --tls-key and --tls-ca, or set PUMICEYARD_TLS_CERT, PUMICEYARD_TLS_KEY and PUMICEYARD_TLS_CA", e.URL)
}

// TLSError is a connection that TLS refused, and what to do about it.
type TLSError struct {
	Advice string
	Err    error
}

func (e *TLSError) Error() string { return fmt.Sprintf("%v\n  what to do: %s", e.Err, e.Advice) }

// Unwrap is the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// What to do when TLS refuses a connection.
const (
	adviseServerCA      = "the entry VM's certificate is not of a CA in --tls-ca: give the site's CA"
	adviseServerExpired = "the entry VM's certificate is not valid now: replace it and restart the entry VM, or mend this host's clock"
	adviseServerName    = "the entry VM's certificate does not name this address: make one with the address as SAN, or dial one that it names"
	adviseClient        = "the entry VM refuses --tls-cert: take a certificate of the site's CA, for client authentication and valid now"
	advisePlain         = "the listener does not speak TLS: name it by http://"
)

// adviseTLS adds to the errors of TLS what to do about them. Others stay as they
// are.
func adviseTLS(err error) error {
	var (
		authority x509.UnknownAuthorityError
		invalid   x509.CertificateInvalidError
		name      x509.HostnameError
		network   *net.OpError
	)
	switch {
	case errors.As(err, &authority):
		return &TLSError{adviseServerCA, err}
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return &TLSError{adviseServerExpired, err}
	case errors.As(err, &name):
		return &TLSError{adviseServerName, err}
	case errors.As(err, &network) && network.Op == remoteAlert:
		return &TLSError{adviseClient, err}
	case errors.Is(err, http.ErrSchemeMismatch):
		return &TLSError{advisePlain, err}
	}
	return err
}

// remoteAlert is the operation by which crypto/tls reports an alert of the other
// end.
const remoteAlert = "remote error"
