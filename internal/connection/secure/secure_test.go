package secure_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/standin/certificate"
	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

const (
	token       = "peer-token"
	listVersion = 7
)

var loopback = net.IPv4(127, 0, 0, 1)

// fakeControl answers a peer with a list of VMs.
type fakeControl struct{ peer.Control }

func (fakeControl) LastList() *pb.ListVMsResponse { return &pb.ListVMsResponse{Version: listVersion} }

// fakeVM answers an operator with a status.
type fakeVM struct{ operator.VM }

func (fakeVM) Status() operator.Status { return operator.Status{Name: "e1", Ready: true} }
func (fakeVM) Fleet() operator.Fleet   { return operator.Fleet{} }

func newCA(t *testing.T) *certificate.CA {
	ca, err := certificate.NewCA()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func write(t *testing.T, ca *certificate.CA, ip net.IP, end time.Time) secure.Files {
	files, err := ca.Write(t.TempDir(), ip, end)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func load(t *testing.T, files secure.Files) *secure.Credentials {
	m, err := files.Load()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// serve serves a handler on loopback and returns its address.
func serve(t *testing.T, handler http.Handler, config *tls.Config) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(handler, config)
	go func() { _ = wire.Serve(server, l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// askPeer makes a call to an entry VM as a peer. A nil config means no TLS.
func askPeer(ctx context.Context, address string, config *tls.Config) error {
	dial := peer.Dial{Token: token}
	if config != nil {
		dial.Secure = &peer.TLSClient{Config: config}
	}
	calls := peer.NewCalls(peer.Defaults(), dial)
	defer calls.Close()
	list, err := calls.LastList(ctx, address)
	if err == nil && list.Version != listVersion {
		return errors.New("got the list of another server")
	}
	return err
}

// askOperator requests the status as the operator's tool does. A nil config means no
// TLS.
func askOperator(ctx context.Context, address string, config *tls.Config) error {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	site, err := operate.NewSite([]string{scheme + address}, "1", config)
	if err != nil {
		return err
	}
	if all := site.Statuses(ctx); all[0].Status == nil {
		return errors.New(all[0].Error)
	}
	return nil
}

// Guards against a client that operates the site or acts as an entry VM without a
// certificate of the site, against a client that accepts a server of another CA or
// address, and against a refused client that takes the listener down for others. Each
// client connects, then one with valid certificates.
func TestOnlySiteCertificatesAreAccepted(t *testing.T) {
	ca, otherCA := newCA(t), newCA(t)
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	files := write(t, ca, loopback, later)
	site := load(t, files)
	good := site.ClientConfig()
	expired := load(t, write(t, ca, loopback, past))
	otherAddress := load(t, write(t, ca, net.IPv4(10, 0, 0, 1), later))
	foreignFiles := write(t, otherCA, loopback, later)
	foreign := load(t, foreignFiles)
	// This client trusts the site's CA but presents a certificate of another CA.
	foreignFiles.CA = files.CA
	foreignClient := load(t, foreignFiles).ClientConfig()
	withoutCert := good.Clone()
	withoutCert.Certificates = nil
	tls12 := good.Clone()
	tls12.MinVersion, tls12.MaxVersion = 0, tls.VersionTLS12

	cases := map[string]struct {
		server *tls.Config
		client *tls.Config
		refuse bool
		advice string // expected in the error of the operator's tool
	}{
		"right certificates":        {site.ServerConfig(), good, false, ""},
		"client of another CA":      {site.ServerConfig(), foreignClient, true, "refuses --tls-cert"},
		"client that expired":       {site.ServerConfig(), expired.ClientConfig(), true, "refuses --tls-cert"},
		"client without any":        {site.ServerConfig(), withoutCert, true, "refuses --tls-cert"},
		"client of TLS 1.2":         {site.ServerConfig(), tls12, true, "remote error"},
		"plain client":              {site.ServerConfig(), nil, true, "https://"},
		"server of another CA":      {foreign.ServerConfig(), good, true, "not of a CA in --tls-ca"},
		"server that expired":       {expired.ServerConfig(), good, true, "not valid now"},
		"server of another address": {otherAddress.ServerConfig(), good, true, "does not name this address"},
		"plain server":              {nil, good, true, "does not speak TLS"},
	}
	interfaces := map[string]struct {
		handler http.Handler
		ask     func(context.Context, string, *tls.Config) error
	}{
		"peer":     {peer.NewServer(peer.Defaults(), token, peer.Identity{Name: "e1"}, nil, nil, fakeControl{}).Handler(), askPeer},
		"operator": {operator.NewServer(fakeVM{}, nil, http.NotFoundHandler()).Handler(), askOperator},
	}
	for side, i := range interfaces {
		for name, c := range cases {
			t.Run(side+"/"+name, func(t *testing.T) {
				address := serve(t, i.handler, c.server)
				err := i.ask(t.Context(), address, c.client)
				if (err != nil) != c.refuse {
					t.Fatalf("refused %v: %v", c.refuse, err)
				}
				if side == "operator" && err != nil && !strings.Contains(err.Error(), c.advice) {
					t.Errorf("%q does not say %q", err, c.advice)
				}
				if c.server == nil || c.client == good && c.refuse {
					return // no client can connect to this server
				}
				if err := i.ask(t.Context(), address, good); err != nil {
					t.Errorf("the server refuses a valid client after the refused one: %v", err)
				}
			})
		}
	}
}

// Guards against a daemon that starts but cannot be reached because of an unusable
// file. The error must name the file.
func TestUnusableFileIsNamedInError(t *testing.T) {
	ca := newCA(t)
	good := write(t, ca, loopback, time.Now().Add(time.Hour))
	another := write(t, ca, loopback, time.Now().Add(time.Hour))
	large := filepath.Join(t.TempDir(), "large.pem")
	if err := os.WriteFile(large, make([]byte, 2<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		change func(*secure.Files)
		part   secure.Part
	}{
		"no certificate":         {func(f *secure.Files) { f.Cert = "" }, secure.Cert},
		"no key":                 {func(f *secure.Files) { f.Key = "" }, secure.Key},
		"no CA":                  {func(f *secure.Files) { f.CA = "" }, secure.CA},
		"missing certificate":    {func(f *secure.Files) { f.Cert += ".none" }, secure.Cert},
		"directory":              {func(f *secure.Files) { f.CA = filepath.Dir(f.CA) }, secure.CA},
		"device":                 {func(f *secure.Files) { f.Key = os.DevNull }, secure.Key},
		"too large":              {func(f *secure.Files) { f.CA = large }, secure.CA},
		"key of another":         {func(f *secure.Files) { f.Key = another.Key }, secure.Key},
		"CA without certificate": {func(f *secure.Files) { f.CA = f.Key }, secure.CA},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			files := good
			c.change(&files)
			_, err := files.Load()
			var file *secure.FileError
			if !errors.As(err, &file) || file.Part != c.part || !strings.Contains(err.Error(), file.Path) {
				t.Errorf("got %v, want an error of the %s file", err, c.part)
			}
		})
	}
	if m, err := (secure.Files{}).Load(); m != nil || err != nil {
		t.Errorf("no files: %v, %v", m, err)
	}
}
