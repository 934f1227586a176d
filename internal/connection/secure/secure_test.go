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

// control answers a peer with a list.
type control struct{ peer.Control }

func (control) LastList() *pb.ListVMsResponse { return &pb.ListVMsResponse{Version: listVersion} }

// operated answers an operator with a status.
type operated struct{ operator.VM }

func (operated) Status() operator.Status { return operator.Status{Name: "e1", Ready: true} }
func (operated) Fleet() operator.Fleet   { return operator.Fleet{} }

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

// askPeer makes a call between entry VMs. Nil is a client in the clear.
func askPeer(ctx context.Context, address string, config *tls.Config) error {
	dial := peer.Dial{Token: token}
	if config != nil {
		dial.Secure = &peer.TLSClient{Config: config}
	}
	calls := peer.NewCalls(peer.Defaults(), dial)
	defer calls.Close()
	list, err := calls.LastList(ctx, address)
	if err == nil && list.Version != listVersion {
		return errors.New("another list")
	}
	return err
}

// askOperator asks for a status by the tool. Nil is a tool in the clear.
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

// Symptom: somebody without a certificate of the site operates it or speaks as an
// entry VM; or one who is refused takes the listener down for the others.
// Sequence: each client comes, then a good one. Cause would be a listener that
// does not verify, or a client that talks to a server of another CA or address.
func TestOnlyCertificatesOfTheSite(t *testing.T) {
	ca, other := newCA(t), newCA(t)
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	files := write(t, ca, loopback, later)
	site := load(t, files)
	good := site.Client()
	expired := load(t, write(t, ca, loopback, past))
	elsewhere := load(t, write(t, ca, net.IPv4(10, 0, 0, 1), later))
	foreignFiles := write(t, other, loopback, later)
	foreign := load(t, foreignFiles)
	// It trusts the site and shows a certificate that the site does not trust.
	foreignFiles.CA = files.CA
	foreignClient := load(t, foreignFiles).Client()
	without := good.Clone()
	without.Certificates = nil
	old := good.Clone()
	old.MinVersion, old.MaxVersion = 0, tls.VersionTLS12

	cases := map[string]struct {
		server *tls.Config
		client *tls.Config
		refuse bool
		advice string // of the operator's tool
	}{
		"right certificates":        {site.Server(), good, false, ""},
		"client of another CA":      {site.Server(), foreignClient, true, "refuses --tls-cert"},
		"client that expired":       {site.Server(), expired.Client(), true, "refuses --tls-cert"},
		"client without any":        {site.Server(), without, true, "refuses --tls-cert"},
		"client of TLS 1.2":         {site.Server(), old, true, "remote error"},
		"plain client":              {site.Server(), nil, true, "https://"},
		"server of another CA":      {foreign.Server(), good, true, "not of a CA in --tls-ca"},
		"server that expired":       {expired.Server(), good, true, "not valid now"},
		"server of another address": {elsewhere.Server(), good, true, "does not name this address"},
		"plain server":              {nil, good, true, "does not speak TLS"},
	}
	interfaces := map[string]struct {
		handler http.Handler
		ask     func(context.Context, string, *tls.Config) error
	}{
		"peer":     {peer.NewServer(peer.Defaults(), token, peer.Identity{Name: "e1"}, nil, nil, control{}).Handler(), askPeer},
		"operator": {operator.NewServer(operated{}, nil, http.NotFoundHandler()).Handler(), askOperator},
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
					return // nobody is right for this server
				}
				if err := i.ask(t.Context(), address, good); err != nil {
					t.Errorf("the server does not go on: %v", err)
				}
			})
		}
	}
}

// Symptom: a daemon starts, and nobody can reach it, for a file that was wrong
// from the start. Every such file is named.
func TestFilesThatCanNotBeUsed(t *testing.T) {
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
