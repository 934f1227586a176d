package entry_test

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/deploy"
	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/standin/certificate"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// upWithin is the time limit for the start of the site.
const (
	upWithin = 20 * time.Second
	poll     = 20 * time.Millisecond
)

func newFiles(t *testing.T) secure.Files {
	ca, err := certificate.NewCA()
	if err != nil {
		t.Fatal(err)
	}
	files, err := ca.Write(t.TempDir(), net.IPv4(127, 0, 0, 1), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against a path between entry VMs that stays unencrypted, or does not work,
// with TLS configured. In a site of two, links, membership exchange and the operator
// listener must work over TLS, and callers connect as before.
func TestSiteOverTLS(t *testing.T) {
	files := newFiles(t)
	opt := site.Defaults([]string{"d1", "d2"})
	opt.EntryVMs, opt.Workers, opt.ListLag = 2, 0, 0
	opt.AdjustSettings = func(s *entry.Settings) { s.TLS = files }
	s, err := site.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	text, err := deploy.Files.ReadFile("tsagaan-shavar/document.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), upWithin)
	defer cancel()
	if _, err := s.Publish(ctx, doc, "test", "first"); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitPeers(ctx); err != nil {
		t.Fatal(err)
	}
	material, err := files.Load()
	if err != nil {
		t.Fatal(err)
	}
	var urls []string
	for _, e := range s.Entries() {
		urls = append(urls, "https://"+e.VM.OperatorAddress())
		for role, l := range map[string]struct {
			address string
			secure  bool
		}{"peer": {e.VM.PeerAddress(), true}, "operator": {e.VM.OperatorAddress(), true}, "caller": {e.VM.CallerAddress(), false}} {
			conn, err := tls.Dial("tcp", l.address, material.ClientConfig())
			if (err == nil) != l.secure {
				t.Errorf("%s listener speaks TLS: want %v, got %v", role, l.secure, err)
			}
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	tool, err := operate.NewSite(urls, "1", material.ClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	// Whether the exchange works shows after the first beats.
	polls := time.NewTicker(poll)
	defer polls.Stop()
	for {
		all := tool.Statuses(ctx)
		if !slices.ContainsFunc(all, cutOff) {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("not all hear each other: %+v", all)
		case <-polls.C:
		}
	}
}

// cutOff reports whether an entry VM does not answer or does not hear its peer.
func cutOff(v operate.VMStatus) bool {
	return v.Status == nil || len(v.Status.Peers) != 1 || v.Status.Isolated || len(v.Status.Suspected) > 0
}

// Guards against operator or peer listeners that accept unencrypted connections from
// other hosts, and against starting with an unusable TLS file. The error must name
// the setting.
func TestTLSSettings(t *testing.T) {
	files := newFiles(t)
	cases := map[string]struct {
		change func(*entry.Settings)
		want   string // empty: accepted
	}{
		"loopback without":      {func(*entry.Settings) {}, ""},
		"other loopback":        {func(s *entry.Settings) { s.PeerListen, s.OperatorListen = "[::1]:1", "localhost:2" }, ""},
		"callers from anywhere": {func(s *entry.Settings) { s.CallerListen = "0.0.0.0:1" }, ""},
		"all addresses":         {func(s *entry.Settings) { s.OperatorListen = ":1" }, "setting operator_listen is :1"},
		"another host":          {func(s *entry.Settings) { s.PeerListen = "10.0.0.1:1" }, "setting peer_listen is 10.0.0.1:1"},
		"a name":                {func(s *entry.Settings) { s.PeerListen = "e1.site:1" }, "setting peer_listen is e1.site:1"},
		"another host with": {func(s *entry.Settings) {
			s.PeerListen, s.OperatorListen, s.TLS = "10.0.0.1:1", ":1", files
		}, ""},
		"not all files": {func(s *entry.Settings) { s.TLS.Cert = files.Cert }, "setting tls.key_file is missing"},
		"no such file": {func(s *entry.Settings) {
			s.TLS = files
			s.TLS.CA = "nowhere.pem"
		}, `setting tls.ca_file is "nowhere.pem"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := entry.DefaultSettings()
			s.Name, s.Domain, s.Platform = "e1", "d1", "http://127.0.0.1:7000"
			s.TicketKey, s.PeerToken = strings.Repeat("k", 16), strings.Repeat("t", 16)
			c.change(&s)
			err := s.Validate()
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}
