package operate

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Schemes of the operator listeners' URLs.
const (
	plainScheme  = "http://"
	secureScheme = "https://"
)

// NoCertificateError reports that an https:// listener was given without a client
// certificate to present to it.
type NoCertificateError struct{ URL string }

func (e *NoCertificateError) Error() string {
	return fmt.Sprintf("%s requires a client certificate: pass --tls-cert, --tls-key and --tls-ca, or set PUMICEYARD_TLS_CERT, PUMICEYARD_TLS_KEY and PUMICEYARD_TLS_CA", e.URL)
}

// TLSError is a failed TLS connection together with advice on how to fix it.
type TLSError struct {
	Advice string
	Err    error
}

func (e *TLSError) Error() string { return fmt.Sprintf("%v\n  what to do: %s", e.Err, e.Advice) }

// Unwrap returns the error of the TLS connection.
func (e *TLSError) Unwrap() error { return e.Err }

// Advice for failed TLS connections.
const (
	adviseServerCA      = "the entry VM's certificate is not of a CA in --tls-ca: pass the site's CA"
	adviseServerExpired = "the entry VM's certificate is not valid now: replace it and restart the entry VM, or correct this host's clock"
	adviseServerName    = "the entry VM's certificate does not name this address: issue one with the address as a SAN, or use an address that it names"
	adviseClient        = "the entry VM refuses --tls-cert: use a certificate that the site's CA issued for client authentication and that is valid now"
	advisePlain         = "the listener does not speak TLS: give its URL with http://"
)

// adviseTLS wraps known TLS errors in a *TLSError and returns other errors
// unchanged.
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

// remoteAlert is the Op of the net.OpError that crypto/tls returns for an alert
// sent by the peer.
const remoteAlert = "remote error"
