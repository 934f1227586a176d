package vm

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/store/kvcall"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/fleet"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/mesh"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

const ms = time.Millisecond

// world is a site of entry VMs with simulated workers, store and network.
type world struct {
	t               testing.TB
	startedAt       time.Time
	store           *kvstore.Store
	fleet           *fleet.Fleet
	mesh            *mesh.Mesh
	vms             map[string]*VM
	storeTransports map[string]*kvstore.Transport // by VM: its access to the store
	lastIncarnation uint64
	domains         []string
	cores           map[string]float64 // CPU cores by VM; absent: not known
	policy          policy.Settings    // of VMs that are started from now on

	workers func(worker.Client) worker.Client     // wraps the client of a VM that boots
	events  func(string, link.Events) link.Events // wraps what receives the frames that reach a VM that boots; nil: nothing
	clock   func() time.Duration                  // the clock of VMs that boot

	canStandStill bool                   // VMs that boot can stand still
	suspensions   map[string]*suspension // of VMs that can, by name

	bindsLate func(name string) bool // whether a VM that boots has late binding; nil: as in policy
	submitted int                    // by serveAllHomes

	storeReadsPerSecond float64 // capacity for all VMs together; 0: not known
	serviceOfWorkers    string  // of desk workers and of those who ask for them; "": "desk"
}

// service returns the service of the workers.
func (w *world) service() string { return cmp.Or(w.serviceOfWorkers, "desk") }

// testWorld runs a scenario on a site of two failure domains.
func testWorld(t *testing.T, scenario func(w *world)) {
	t.Helper()
	testWorldWith(t, func(*world) {}, scenario)
}

// testWorldWith does the same on a site that is prepared before its VMs start.
func testWorldWith(t *testing.T, prepare, scenario func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		prepare(w)
		w.populate()
		scenario(w)
		w.end()
	})
}

// newTwoDomainWorld returns a site of two failure domains, a and b, with two entry VMs and three workers
// each, whose shards have holders.
func newTwoDomainWorld(t testing.TB) *world {
	w := newWorld(t, "a", "b")
	w.populate()
	return w
}

// populate adds three workers to each domain, starts two entry VMs in each, and waits until the shards have holders.
func (w *world) populate() {
	for _, d := range w.domains {
		for i := range 3 {
			w.addDeskWorker(fmt.Sprintf("%s%d", d, i), d)
		}
	}
	for _, d := range w.domains {
		w.boot(d + "1")
		w.boot(d + "2")
	}
	time.Sleep(3 * time.Second)
}

// end kills all VMs, and fails the test if a worker saw two runs of one task at once.
func (w *world) end() {
	w.t.Helper()
	for name := range w.vms {
		w.kill(name)
	}
	if faults := w.fleet.Violations(); len(faults) > 0 {
		w.t.Errorf("%v", faults)
	}
}

// newWorld returns a site without VMs and workers.
func newWorld(t testing.TB, domains ...string) *world {
	w := &world{
		t:               t,
		startedAt:       time.Now(),
		store:           kvstore.New(),
		fleet:           fleet.New(),
		mesh:            mesh.New(),
		vms:             make(map[string]*VM),
		storeTransports: make(map[string]*kvstore.Transport),
		suspensions:     make(map[string]*suspension),
		domains:         domains,
		policy:          policy.Defaults(),
		workers:         func(c worker.Client) worker.Client { return c },
	}
	w.clock = func() time.Duration { return time.Hour + time.Since(w.startedAt) }
	w.store.Put("config/catalog", []byte("1"))
	return w
}

func (w *world) addWorker(info worker.Info) {
	w.fleet.Add(info)
	w.putWorkerEntry(info)
}

// putWorkerEntry writes a worker's entry to the list of workers in the store.
func (w *world) putWorkerEntry(info worker.Info) {
	value, err := json.Marshal(info)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("workers/"+info.ID, value)
}

// decodeWorkerEntry decodes an entry of the list of workers.
func decodeWorkerEntry(it store.Item) (worker.Info, error) {
	var info worker.Info
	err := json.Unmarshal(it.Value, &info)
	info.Revision = it.Revision
	return info, err
}

// addDeskWorker adds a worker of the service "desk" with 16 cores.
func (w *world) addDeskWorker(name, domain string, labels ...string) {
	w.addWorker(worker.Info{
		ID: "w-" + name, Service: w.service(), Address: "worker-" + name, Domain: domain, CPUMilli: 16000, MemMB: 65536, Labels: labels,
	})
}

// boot starts an entry VM with a new incarnation. Its name begins with its domain.
func (w *world) boot(name string) {
	domain := name[:1]
	w.lastIncarnation++
	if w.storeTransports[name] == nil {
		w.storeTransports[name] = w.store.NewTransport(4 * ms)
	}
	var wrapEvents func(link.Events) link.Events
	if w.events != nil {
		wrapEvents = func(e link.Events) link.Events { return w.events(name, e) }
	}
	settings := w.policy
	if w.bindsLate != nil {
		settings.LateBinding = w.bindsLate(name)
	}
	config := Config{
		Name:           name,
		Policy:         settings,
		Incarnation:    w.lastIncarnation,
		Domain:         domain,
		Domains:        w.domains,
		PeerAddress:    addressOf(name),
		PeerListen:     w.mesh.Listen(addressOf(name), domain),
		PeerDial:       w.mesh.Dialer(addressOf(name), domain),
		StoreTransport: w.storeTransports[name],
		NewStore:       func(t relay.Transport) store.Store { return &kvcall.Client{Calls: t} },
		Workers:        w.workers(w.fleet.ClientFrom(domain)),
		StoreLayout: StoreLayout{
			WorkerPrefix:  "workers/",
			DecodeWorker:  decodeWorkerEntry,
			CatalogPrefix: "config/",
			CatalogKey:    "config/catalog",

			EvacuationPrefix: "config/evacuated/",
			DecodeCatalog: func(it store.Item) (*catalog.Catalog, error) {
				version, err := strconv.ParseUint(string(it.Value), 10, 64)
				return &catalog.Catalog{Version: version, Services: []catalog.Service{{Name: "desk", GuardsRoom: true}, {Name: "lab"}}}, err
			},
		},
		Cores:    w.cores[name],
		MaxLease: time.Second,

		StoreReadsPerSecond: w.storeReadsPerSecond,
		wrapEvents:          wrapEvents,
		Now:                 w.clock,
	}
	if w.canStandStill {
		w.suspensions[name] = suspendable(&config)
	}
	w.vms[name] = Start(config)
}

func addressOf(name string) string { return name + ":7000" }

// kill ends a VM's process without a handover: its connections are reset.
func (w *world) kill(name string) {
	w.mesh.Kill(addressOf(name))
	w.vms[name].Stop()
	delete(w.vms, name)
}

// cut separates a domain from the other domains and from the store, or reconnects it.
func (w *world) cut(domain string, cut bool) {
	w.mesh.SetCut(domain, cut)
	w.fleet.CutDomain(domain, cut)
	for name, d := range w.storeTransports {
		switch {
		case name[:1] != domain:
		case cut:
			d.SetFault(kvstore.NoReply)
		default:
			d.SetFault(kvstore.NoFault)
		}
	}
}

// submit sends a submission of equal tasks to a VM and returns a channel for its outcome. A stored
// submission has its outcome when it is accepted, a transient one when it has ended.
func (w *world) submit(at string, id submission.ID, tasks int, work runhost.Work, transient bool) chan Outcome {
	work.CPUMilli = 6800
	w.fleet.SetWork(id, work)
	rec := newOneStepRecord(id, tasks, work)
	rec.Transient = transient
	return w.submitRecord(at, rec)
}

// submitRecord sends a submission to a VM and returns a channel for its outcome.
func (w *world) submitRecord(at string, rec *submission.Record) chan Outcome {
	out := make(chan Outcome, 1)
	v := w.vms[at]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		out <- v.Submit(ctx, rec)
	}()
	return out
}

const submitTimeout = 20 * time.Second // of a caller of submitRecord

// newOneStepRecord returns the record of a submission of one step.
func newOneStepRecord(id submission.ID, tasks int, work runhost.Work) *submission.Record {
	return &submission.Record{
		ID:    id,
		Queue: "q",
		Steps: []submission.Step{{Count: tasks, CPUMilli: work.CPUMilli, MemMB: 64, Estimate: work.Time}},
		Terms: submission.Terms{Service: "desk", Attempts: 2, Stretch: 1.6, Target: 60 * ms},
	}
}

func (w *world) wantEnd(out chan Outcome, state submission.State) {
	w.t.Helper()
	if o := <-out; o.Kind != Ended || o.State != state {
		w.t.Errorf("the outcome is %+v, want Ended with state %s", o, state)
	}
}

func (w *world) wantAccepted(out chan Outcome) {
	w.t.Helper()
	if o := <-out; o.Kind != Accepted {
		w.t.Fatalf("the outcome is %+v, want Accepted", o)
	}
}

// state asks a VM for the state of a submission.
func (w *world) state(at string, id submission.ID) submission.State {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s, err := w.vms[at].State(ctx, id)
	if err != nil {
		w.t.Errorf("state of %s at %s: %v", id, at, err)
	}
	return s
}

// holderOf returns the VM that holds the first shard of a domain.
func (w *world) holderOf(domain string) string { return w.holderOfShard(domain + "/0") }

// holderOfShard returns the VM that the store names as the holder of a shard.
func (w *world) holderOfShard(shard string) string {
	it, err := w.store.Get(context.Background(), "pumiceyard/site/shard/"+shard)
	if err != nil || it.Revision == 0 {
		w.t.Fatalf("shard %s has no holder (%v)", shard, err)
	}
	var h struct {
		Holder string `json:"h"`
	}
	if err := json.Unmarshal(it.Value, &h); err != nil {
		w.t.Fatal(err)
	}
	return h.Holder
}

// otherVM returns the other VM of a VM's domain.
func otherVM(name string) string {
	if name[1] == '1' {
		return name[:1] + "2"
	}
	return name[:1] + "1"
}
