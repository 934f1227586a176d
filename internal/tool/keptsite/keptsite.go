// Package keptsite runs an in-process store and simulated workers for kept submissions, so
// that daemons can be tried by hand, and a demonstration of failover that uses them.
package keptsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/connection/runhost"
	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/kept/oplog"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/fleet"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
)

// Site is a running store with simulated workers.
type Site struct {
	Store     *kvstore.Store
	Fleet     *fleet.Fleet
	StoreAddr string

	servers    []io.Closer
	advertised sync.Map // listed addresses of the workers, by their own addresses
}

// Properties of the store and the simulated workers.
const (
	storeCallDelay = 2 * time.Millisecond // added to each call: about the time of a synced write
	workerCores    = 16
	workerMemoryMB = 64 << 10
	maxBodyBytes   = 16 << 20
)

// Service is the service that the simulated workers run.
const Service = "booking-desk"

// Queues returns the queue catalog that is put into the store.
func Queues() daemon.Catalog {
	return daemon.Catalog{Version: 1, Queues: []daemon.Queue{
		{Name: "availability-check", Service: Service, Priority: 0, Attempts: 2, Stretch: 1.6, TargetMillis: 60},
		{Name: "crew-assignment", Service: Service, Priority: 1, Attempts: 3, Stretch: 1.6, TargetMillis: 60},
	}}
}

// Start runs a store that listens on the given address, and perDomain workers for each
// failure domain on loopback ports that the system chooses.
func Start(listen string, domains []string, perDomain int) (*Site, error) {
	return StartProxied(listen, domains, perDomain, func(address string) (string, error) { return address, nil })
}

// StartProxied is like Start, but lists each worker in the store at the address that
// advertise returns for the worker's own address, such as that of a proxy.
func StartProxied(listen string, domains []string, perDomain int, advertise func(address string) (string, error)) (*Site, error) {
	s := &Site{Store: kvstore.New(), Fleet: fleet.New()}
	s.Fleet.OnRestart(s.advertiseRestarted)
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s.StoreAddr = l.Addr().String()
	transport := s.Store.NewTransport(storeCallDelay)
	server := &http.Server{Handler: storeHandler(transport)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	catalog, err := json.Marshal(Queues())
	if err != nil {
		return nil, err
	}
	s.Store.Put(daemon.CatalogKey, catalog)
	for _, d := range domains {
		for i := range perDomain {
			if err := s.addWorker(d, fmt.Sprintf("%s-%d", d, i+1), advertise); err != nil {
				s.Stop()
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *Site) addWorker(domain, id string, advertise func(string) (string, error)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	info := worker.Info{
		ID:       id,
		Born:     time.Now().UnixMilli(),
		Service:  Service,
		Address:  l.Addr().String(),
		Domain:   domain,
		CPUMilli: workerCores * 1000,
		MemMB:    workerMemoryMB,
	}
	s.Fleet.Add(info)
	server := runhost.NewServer(info, s.Fleet.ClientFrom(domain))
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	advertised := info
	if advertised.Address, err = advertise(info.Address); err != nil {
		return err
	}
	value, err := json.Marshal(advertised)
	if err != nil {
		return err
	}
	s.Store.Put(daemon.WorkerPrefix+id, value)
	s.advertised.Store(info.Address, advertised.Address)
	return nil
}

// advertiseRestarted replaces the store's entry of a crashed worker by that of its
// restarted incarnation.
func (s *Site) advertiseRestarted(old, next worker.Info) {
	if address, known := s.advertised.Load(next.Address); known {
		next.Address = address.(string)
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic("keptsite: cannot encode a worker as JSON: " + err.Error())
	}
	s.Store.Put(daemon.WorkerPrefix+next.ID, value)
	if next.ID != old.ID {
		s.Store.Delete(daemon.WorkerPrefix + old.ID)
	}
}

// Stop closes the store's and the workers' servers.
func (s *Site) Stop() {
	for _, c := range s.servers {
		_ = c.Close()
	}
}

func storeHandler(transport *kvstore.Transport) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply, err := transport.Do(r.Context(), relay.Call{Method: r.Method, Target: r.URL.Path, Body: body})
		if err != nil {
			return // the caller has disconnected
		}
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body)
	})
}

// Serve runs the store and the workers until ctx ends.
func Serve(ctx context.Context, listen string, domains []string, perDomain int, out io.Writer) error {
	s, err := Start(listen, domains, perDomain)
	if err != nil {
		return err
	}
	defer s.Stop()
	fmt.Fprintf(out, "store at %s, %d workers of 16 cores in each of %v, queues availability-check and crew-assignment\n", s.StoreAddr, perDomain, domains)
	<-ctx.Done()
	return nil
}

// Violation reports a guarantee that did not hold in the demonstration.
type Violation struct{ Guarantee string }

func (b *Violation) Error() string { return "guarantee violated: " + b.Guarantee }

var errNotReady = errors.New("no entry VM became ready")

// Demo shows the failover of a kept submission. Of two entry VMs, the one that accepted
// the submission and runs it is killed, and the other completes it.
func Demo(ctx context.Context, out io.Writer) error {
	oplog.Start(io.Discard, 0) // discard the operation log: the lines of logf are the output
	start := time.Now()
	logf := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.2fs  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
	s, err := Start("127.0.0.1:0", []string{"hall"}, 4)
	if err != nil {
		return err
	}
	defer s.Stop()
	vms := make(map[string]*daemon.Daemon)
	defer func() {
		for _, d := range vms {
			d.Kill()
		}
	}()
	endpoints := make(map[string]string)
	for _, name := range []string{"k1", "k2"} {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		d, err := daemon.Start(&daemon.Settings{
			Name:         name,
			Domain:       "hall",
			Domains:      []string{"hall"},
			CallerListen: address,
			PeerListen:   "127.0.0.1:0",
			Store:        s.StoreAddr,
			LeaseMillis:  daemon.DefaultLeaseMillis,
			Policy:       policy.Defaults(),
		})
		if err != nil {
			return err
		}
		vms[name] = d
		endpoints[name] = "http://" + address
	}
	logf("kept submissions: two entry VMs, 4 workers, a store")
	if err := awaitReady(ctx, vms); err != nil {
		return err
	}
	return demonstrateFailover(ctx, s, vms, endpoints, logf)
}

// FreeAddress returns a loopback address that nothing listens on. Each call uses another
// IP, since on a shared one the system may give the port to another socket before the
// caller uses it.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>8&63), byte(pid), byte(1+addressCount.Add(1)%250))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var addressCount atomic.Uint32 // number of addresses that this process has returned

const readyTimeout = 10 * time.Second

func awaitReady(ctx context.Context, vms map[string]*daemon.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range vms {
		for !d.VM.Ready() {
			if !pause.For(ctx, 10*time.Millisecond) {
				return errNotReady
			}
		}
	}
	return nil
}

const demoKey = "crew-0001"

// demonstrateFailover submits to the holder of the shard, kills that VM, and waits for the
// end of the submission at the other VM.
func demonstrateFailover(ctx context.Context, s *Site, vms map[string]*daemon.Daemon, endpoints map[string]string, logf func(string, ...any)) error {
	killed, survivor := "k1", "k2"
	if vms["k2"].VM.HoldsShard("hall/0") {
		killed, survivor = survivor, killed
	}
	first, err := client.NewKeptClient(endpoints[killed])
	if err != nil {
		return err
	}
	second, err := client.NewKeptClient(endpoints[survivor])
	if err != nil {
		return err
	}
	work := client.Work{
		Queue: "crew-assignment",
		Key:   demoKey,
		Spec:  `{"run_millis":900,"cpu_milli":6800}`,
		Steps: []client.WorkStep{{Count: 6, CPUMilli: 6800, MemoryMB: 64, Estimate: 900 * time.Millisecond}},
	}
	if _, err := first.Submit(ctx, work); err != nil {
		return err
	}
	logf("%s has accepted submission %s of 6 tasks, 0.9 s each: it is stored", killed, demoKey)
	time.Sleep(300 * time.Millisecond)
	vms[killed].Kill()
	delete(vms, killed)
	logf("%s, which holds the workers, is killed", killed)
	state, err := second.Wait(ctx, demoKey)
	if err != nil {
		return err
	}
	starts := s.Fleet.Starts(demoKey)
	logf("at %s it is %s; its 6 tasks were started %d times", survivor, state, starts)
	if state != client.StateDone {
		return &Violation{"an accepted submission ends"}
	}
	if violations := s.Fleet.Violations(); len(violations) > 0 {
		return &Violation{"no task runs twice at once: " + violations[0]}
	}
	return nil
}
