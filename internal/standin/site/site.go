// Package site runs a complete small site in one process: the platform stand-in,
// worker stand-ins and entry VMs, which talk to each other over loopback sockets. The
// demo, the load tool and end-to-end tests use it.
package site

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	platformstandin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// Options configure a site.
type Options struct {
	Domains          []string
	EntryVMs         int
	Workers          int
	WorkersPerRack   int
	Capacity         *pb.Resources
	IdleMilliwatts   uint32
	Behaviour        worker.Behaviour
	ListLag          time.Duration
	PlatformListen   string                // address of the platform service; empty: any port on loopback
	ExternalEntryVMs []*pb.VM              // entry VMs of other processes, added to the platform's list
	AdjustSettings   func(*entry.Settings) // adjusts the settings of each entry VM before it starts; may be nil
	// Wrapper wraps each listener before it is used, including those of the
	// roles "worker" and "platform"; nil: none is wrapped.
	Wrapper entry.ListenerWrapper
}

// Defaults returns the options of a site as large as those of present users: 8
// entry VMs and 50 workers.
func Defaults(domains []string) Options {
	return Options{
		Domains:        domains,
		EntryVMs:       8,
		Workers:        50,
		WorkersPerRack: 6,
		Capacity: &pb.Resources{
			Slots:      8,
			Millicpu:   16_000,
			MemoryMib:  64 << 10,
			Milliwatts: 160_000,
		},
		IdleMilliwatts: 120_000,
		ListLag:        200 * time.Millisecond,
	}
}

// Secrets of the demo site.
const (
	ticketKey = "demo-ticket-key-not-for-use"
	peerToken = "demo-peer-token-not-for-use"
)

// Site is a running site.
type Site struct {
	opt      Options
	Platform *platformstandin.Platform

	platformURL string
	partition   *partition
	servers     []*http.Server

	mu       sync.Mutex
	entries  []*Entry
	workers  []*Worker
	sequence uint64
}

// Entry is one entry VM of the site.
type Entry struct {
	VM      *entry.VM
	Name    string
	Domain  string
	alive   bool
	leaving bool
}

// Worker is one worker of the site.
type Worker struct {
	*worker.Worker
	Domain string
	Rack   string
	vm     *pb.VM
	server *http.Server
	alive  bool
}

// Start starts a site. It does not wait until the site is ready.
func Start(opt Options) (*Site, error) {
	s := &Site{
		opt:       opt,
		Platform:  platformstandin.New(platformstandin.Options{ListLag: opt.ListLag}),
		partition: newPartition(),
	}
	url, server, err := s.listen("platform", opt.PlatformListen, platform.Handler(s.Platform))
	if err != nil {
		return nil, err
	}
	s.platformURL = "http://" + url
	s.servers = append(s.servers, server)
	for i := range opt.Workers {
		if err := s.addWorker(i); err != nil {
			s.Stop()
			return nil, err
		}
	}
	s.publishVMList()
	for i := range opt.EntryVMs {
		if _, err := s.AddEntry(opt.Domains[i%len(opt.Domains)]); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

// anyLoopback is a loopback address with a port that the system picks.
const anyLoopback = "127.0.0.1:0"

func (s *Site) listen(role, address string, handler http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", cmp.Or(address, anyLoopback))
	if err != nil {
		return "", nil, err
	}
	if s.opt.Wrapper != nil {
		l = s.opt.Wrapper.WrapListener(role, l)
	}
	server := wire.NewServer(handler, nil)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server, nil
}

func (s *Site) addWorker(i int) error {
	domain := s.opt.Domains[i%len(s.opt.Domains)]
	rack := fmt.Sprintf("%s-r%d", domain, i/len(s.opt.Domains)/max(s.opt.WorkersPerRack, 1))
	w := worker.New(worker.Config{
		ID:             fmt.Sprintf("w%03d", i),
		Incarnation:    uint64(i) + 1,
		Capacity:       s.opt.Capacity,
		IdleMilliwatts: s.opt.IdleMilliwatts,
		Behaviour:      s.opt.Behaviour,
		UsageLag:       time.Second,
	})
	address, server, err := s.listen("worker", anyLoopback, w.Handler())
	if err != nil {
		return err
	}
	s.partition.setDomain(address, domain)
	vm := &pb.VM{
		Id:          w.ID(),
		Role:        pb.VMRole_VM_ROLE_WORKER,
		Incarnation: uint64(i) + 1,
		Domain:      domain,
		Rack:        rack,
		Address:     address,
	}
	s.mu.Lock()
	s.workers = append(s.workers, &Worker{Worker: w, Domain: domain, Rack: rack, vm: vm, server: server, alive: true})
	s.mu.Unlock()
	return nil
}

// AddEntry starts another entry VM in a failure domain and adds it to the platform's
// list.
func (s *Site) AddEntry(domain string) (*Entry, error) {
	s.mu.Lock()
	s.sequence++
	name := fmt.Sprintf("e%d", s.sequence)
	s.mu.Unlock()
	settings := entry.DefaultSettings()
	settings.Name = name
	settings.Domain = domain
	settings.CallerListen = "127.0.0.1:0"
	settings.OperatorListen = "127.0.0.1:0"
	settings.PeerListen = "127.0.0.1:0"
	settings.Platform = s.platformURL
	settings.TicketKey = ticketKey
	settings.PeerToken = peerToken
	settings.ListPollMillis = 250
	settings.Peers = s.seedPeers()
	settings.Wrapper = s.opt.Wrapper
	settings.Dialer = s.partition.dialer(domain)
	if s.opt.AdjustSettings != nil {
		s.opt.AdjustSettings(&settings)
	}
	vm, err := entry.Start(settings)
	if err != nil {
		return nil, err
	}
	s.partition.setDomain(vm.PeerAddress(), domain)
	e := &Entry{VM: vm, Name: name, Domain: domain, alive: true}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	s.publishVMList()
	return e, nil
}

// seedPeers returns the peer addresses of up to maxSeedPeers running entry VMs.
func (s *Site) seedPeers() (addresses []string) {
	for _, e := range s.Entries() {
		if len(addresses) < maxSeedPeers {
			addresses = append(addresses, e.VM.PeerAddress())
		}
	}
	return addresses
}

// maxSeedPeers is the number of peer addresses in an entry VM's settings.
const maxSeedPeers = 3

// publishVMList updates the platform's VM list to the VMs that are running.
func (s *Site) publishVMList() {
	s.mu.Lock()
	vms := slices.Clone(s.opt.ExternalEntryVMs)
	for _, w := range s.workers {
		if w.alive {
			vms = append(vms, w.vm)
		}
	}
	for _, e := range s.entries {
		if !e.alive {
			continue
		}
		vms = append(vms, &pb.VM{
			Id:          e.Name,
			Role:        pb.VMRole_VM_ROLE_ENTRY,
			Incarnation: e.VM.Incarnation(),
			Domain:      e.Domain,
			Address:     e.VM.PeerAddress(),
			Leaving:     e.leaving,
		})
	}
	s.mu.Unlock()
	s.Platform.SetVMs(vms)
}

// PlatformURL returns the base URL of the platform service.
func (s *Site) PlatformURL() string { return s.platformURL }

// Entries returns the running entry VMs.
func (s *Site) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Entry
	for _, e := range s.entries {
		if e.alive {
			out = append(out, e)
		}
	}
	return out
}

// Workers returns all workers, including killed ones.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// Endpoints returns the base URLs, for callers, of the entry VMs to which a load
// balancer would send requests: those that are running and not being stopped.
func (s *Site) Endpoints() []string {
	return s.EndpointsWhere(func(*Entry) bool { return true })
}

// EndpointsWhere is Endpoints restricted to the matching entry VMs.
func (s *Site) EndpointsWhere(match func(*Entry) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, e := range s.entries {
		if e.alive && !e.leaving && match(e) {
			out = append(out, e.Endpoint())
		}
	}
	return out
}

// Endpoint returns the base URL of the entry VM for callers.
func (e *Entry) Endpoint() string { return "http://" + e.VM.CallerAddress() }

// KillEntry simulates a crash of an entry VM. The platform's list drops it after the
// list lag.
func (s *Site) KillEntry(e *Entry) {
	s.mu.Lock()
	e.alive = false
	s.mu.Unlock()
	e.VM.Kill()
	s.publishVMList()
}

// StopEntry shuts an entry VM down gracefully and reports whether all
// its work ended before the shutdown time limit.
func (s *Site) StopEntry(ctx context.Context, e *Entry) bool {
	s.mu.Lock()
	e.leaving = true
	s.mu.Unlock()
	s.publishVMList()
	finished := e.VM.Stop(ctx)
	s.mu.Lock()
	e.alive = false
	s.mu.Unlock()
	s.publishVMList()
	return finished
}

// KillWorker simulates a crash of a worker.
func (s *Site) KillWorker(w *Worker) {
	s.mu.Lock()
	w.alive = false
	s.mu.Unlock()
	w.Kill()
	_ = w.server.Close()
	s.publishVMList()
}

// Publish publishes a configuration document, waits until every entry VM has applied
// it, and returns its revision.
func (s *Site) Publish(ctx context.Context, d *document.Document, author, change string) (uint64, error) {
	receipt, err := s.PublishOnly(ctx, d, author, change)
	if err != nil {
		return 0, err
	}
	return receipt.Revision, s.AwaitRevision(ctx, receipt.Revision)
}

// PublishOnly publishes a configuration document without waiting for the entry VMs. It
// writes to the platform's store directly, not through an entry VM.
func (s *Site) PublishOnly(ctx context.Context, d *document.Document, author, change string) (publication.Receipt, error) {
	httpClient := wire.NewClient(nil, nil)
	defer httpClient.CloseAll()
	store := storeclient.New(platform.Dial(httpClient, s.platformURL), storeclient.Options{
		StoreReadsPerSecond:  2000,
		StoreWritesPerSecond: 300,
		Fleet:                s.opt.EntryVMs,
	})
	publisher := publication.New(store.Configuration(), time.Now)
	return publisher.Publish(ctx, publication.Change{ID: change, Author: author, BaseRevision: d.Revision, Document: d})
}

const awaitPollInterval = 20 * time.Millisecond

// Starts returns, over all workers including killed ones, how many distinct tasks
// were started, how many starts there were in total, and the highest number of
// starts of one task.
func (s *Site) Starts() (tasks, starts, highest int) { return s.Records().Starts() }

// ControlCalls returns the counts of control calls, summed over all workers.
func (s *Site) ControlCalls() worker.Calls {
	var sum worker.Calls
	for _, w := range s.Workers() {
		c := w.Calls()
		sum.Seals += c.Seals
		sum.Follows += c.Follows
		sum.Stops += c.Stops
	}
	return sum
}

// Stop kills all entry VMs and workers and closes the platform's listener.
func (s *Site) Stop() {
	var stops sync.WaitGroup
	for _, e := range s.Entries() {
		stops.Go(e.VM.Kill)
	}
	stops.Wait()
	for _, w := range s.Workers() {
		w.Kill()
		_ = w.server.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
