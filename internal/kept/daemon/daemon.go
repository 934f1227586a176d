// Package daemon runs an entry VM for stored (kept) and transient submissions with the
// project's own protocols for callers, workers and the store, from a settings file.
package daemon

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumiceyard/pumiceyard/internal/connection/runhost"
	"github.com/pumiceyard/pumiceyard/internal/connection/submissions"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/serve"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/vm"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/process/setting"
)

// Settings are the contents of one entry VM's settings file.
type Settings struct {
	Name         string   `json:"name"`          // unique among the site's entry VMs
	Domain       string   `json:"domain"`        // failure domain of this VM
	Domains      []string `json:"domains"`       // all failure domains of the site
	CallerListen string   `json:"caller_listen"` // host:port; also serves /ready and /metrics
	PeerListen   string   `json:"peer_listen"`   // host:port
	// PeerAddress is the address that peers dial; empty: the address of the peer listener.
	PeerAddress string `json:"peer_address,omitempty"`
	Store       string `json:"store"`        // host:port of the platform's store
	LeaseMillis uint32 `json:"lease_millis"` // maximum lease of runs at a worker
	StopMillis  uint32 `json:"stop_millis"`  // how long submissions are still accepted during a planned stop
	// Policy has the thresholds of decisions; absent ones have their defaults.
	Policy policy.Settings `json:"policy,omitzero"`
}

// Defaults of settings.
const (
	DefaultLeaseMillis = 1000
	DefaultStopMillis  = 2000
	stopTimeout        = 30 * time.Second // for requests in flight
	handoverTimeout    = 2 * time.Second  // for shards to be handed over
)

// LoadSettings reads and checks a settings file. Errors name the file and the field.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{LeaseMillis: DefaultLeaseMillis, StopMillis: DefaultStopMillis, Policy: policy.Defaults()}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Validate reports the first setting that cannot be used.
func (s *Settings) Validate() error {
	switch {
	case s.Name == "":
		return &setting.Error{Field: "name", Problem: "is missing"}
	case !slices.Contains(s.Domains, s.Domain):
		return &setting.Error{Field: "domain", Problem: "is not among domains"}
	case s.LeaseMillis < 500 || s.LeaseMillis > 60_000:
		return &setting.Error{Field: "lease_millis", Problem: "is not from 500 to 60000"}
	case s.StopMillis > 60_000:
		return &setting.Error{Field: "stop_millis", Problem: "is over 60000"}
	}
	for field, address := range map[string]string{"caller_listen": s.CallerListen, "peer_listen": s.PeerListen, "store": s.Store} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &setting.Error{Field: field, Problem: "is not host:port"}
		}
	}
	return s.Policy.Validate()
}

// Keys in the store.
const (
	WorkerPrefix  = "pumiceyard/list/worker/"
	CatalogPrefix = "pumiceyard/catalog/"
	CatalogKey    = CatalogPrefix + "current"
	// EvacuationPrefix is the prefix of the keys with which operators evacuate failure domains.
	EvacuationPrefix = CatalogPrefix + "evacuated/"
)

// Catalog is the stored configuration of queues, which operators write.
type Catalog struct {
	Version uint64  `json:"version"` // must be higher than that of the catalog before
	Queues  []Queue `json:"queues"`
}

// Queue is the configuration of one queue.
type Queue struct {
	Name         string  `json:"name"`
	Service      string  `json:"service"` // of the workers that run its tasks
	Priority     int     `json:"priority"`
	Attempts     int     `json:"attempts"`
	Stretch      float64 `json:"stretch"`
	TargetMillis uint32  `json:"target_millis"`
}

func decodeCatalog(it store.Item) (*catalog.Catalog, error) {
	var w Catalog
	if err := json.Unmarshal(it.Value, &w); err != nil {
		return nil, err
	}
	c := &catalog.Catalog{Version: w.Version}
	for _, q := range w.Queues {
		c.Queues = append(c.Queues, catalog.Queue{
			Name: q.Name,
			Terms: submission.Terms{
				Service:  q.Service,
				Priority: q.Priority,
				Attempts: max(q.Attempts, 1),
				Stretch:  q.Stretch,
				Target:   time.Duration(q.TargetMillis) * time.Millisecond,
			},
		})
	}
	return c, nil
}

func decodeWorker(it store.Item) (worker.Info, error) {
	var info worker.Info
	if err := json.Unmarshal(it.Value, &info); err != nil {
		return worker.Info{}, &worker.EntryError{Key: it.Key, Reason: err.Error()}
	}
	if why := info.Problem(); why != "" {
		return worker.Info{}, &worker.EntryError{Key: it.Key, Reason: why}
	}
	info.Revision = it.Revision
	return info, nil
}

// Daemon is a running entry VM with its HTTP server.
type Daemon struct {
	VM        *vm.VM
	settings  *Settings
	runClient *runhost.Client
	http      *http.Server
}

// Start runs an entry VM until Stop or Kill.
func Start(s *Settings) (*Daemon, error) {
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, runClient: runhost.NewClient()}
	d.VM = vm.Start(vm.Config{
		Name:           s.Name,
		Incarnation:    uint64(time.Now().UnixNano()),
		Domain:         s.Domain,
		Domains:        s.Domains,
		PeerAddress:    cmp.Or(s.PeerAddress, peers.Addr().String()),
		PeerListen:     peers,
		StoreTransport: &relay.HTTP{Address: s.Store, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}},
		NewStore:       func(t relay.Transport) store.Store { return &kvcall.Client{Calls: t} },
		Workers:        d.runClient,
		StoreLayout: vm.StoreLayout{
			WorkerPrefix:  WorkerPrefix,
			DecodeWorker:  decodeWorker,
			CatalogPrefix: CatalogPrefix,
			CatalogKey:    CatalogKey,
			DecodeCatalog: decodeCatalog,

			EvacuationPrefix: EvacuationPrefix,
		},
		MaxLease: time.Duration(s.LeaseMillis) * time.Millisecond,
		Policy:   s.Policy,
	})
	d.http = wire.NewServer(d.handler(), nil)
	serve.ServeInBackground(d.http, callers)
	return d, nil
}

func (d *Daemon) handler() http.Handler {
	r := mux.NewRouter()
	path, h := submissions.Handler(d.VM)
	r.PathPrefix(path).Handler(h)
	r.Handle("/metrics", d.VM.Metrics())
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.VM.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Stop hands over the shards, goes on accepting submissions for StopMillis, completes those in flight
// and stops the VM.
func (d *Daemon) Stop(ctx context.Context) error {
	defer d.runClient.Close()
	entry := serve.Entry{VM: d.VM, CallerServer: d.http}
	return entry.Stop(ctx, serve.StopTimes{
		Timeout:         stopTimeout,
		HandoverTimeout: handoverTimeout,
		AcceptFor:       time.Duration(d.settings.StopMillis) * time.Millisecond,
	})
}

// Kill stops the VM as if its process had died: without handing over shards or answering requests.
func (d *Daemon) Kill() {
	_ = d.http.Close()
	d.VM.Stop()
	d.runClient.Close()
}
