package distribution

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// way is one of the compared distribution methods.
type way struct {
	name  string
	build makeNode
}

func ordinary(options Options) makeNode {
	return func(self Peer, seed uint64, now time.Time) stepper {
		options.Self, options.Seed = self, seed
		return New(options, now)
	}
}

const chosenName = "watcher per domain, push, repair"

var chosen = ordinary(Options{})

var ways = []way{
	{"watch per node", ordinary(Options{Watchers: WatcherPerNode, NoPush: true, NoRepair: true})},
	{"watcher per domain, push", ordinary(Options{NoRepair: true})},
	{"watcher per domain, repair", ordinary(Options{NoPush: true})},
	{chosenName, chosen},
	{"watcher per domain, Bloom filters", newBloomNode},
}

// encodedSize is the compressed length of a document of the design size: 44
// client accounts with two keys each, and 100 templates.
func encodedSize() int {
	doc := &document.Document{Site: document.Site{Domains: map[string]uint64{}}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		size := document.Declared{Slots: 1, MilliCPU: random.Uint32N(4000), MemoryMiB: random.Uint32N(4000), Milliwatts: random.Uint32N(30000), RunMillis: random.Uint32N(3000)}
		name := fmt.Sprintf("template-%x", random.Uint32())
		doc.Templates = append(doc.Templates, document.Template{Name: name, Class: document.Normal, Declared: size, DeadlineMillis: 10_000, MaxTasks: random.Uint32N(920)})
	}
	for i := range 44 {
		hashes := []string{document.KeyHash(fmt.Sprint("a", i)), document.KeyHash(fmt.Sprint("b", i))}
		doc.Accounts = append(doc.Accounts, document.Account{Name: fmt.Sprintf("team-%d", i), Weight: random.Uint32N(100), QuotaSlots: random.Uint32N(999), KeyHashes: hashes})
	}
	for i := range 19 {
		doc.Site.Domains[fmt.Sprintf("domain-%d", i)] = random.Uint64N(1e9)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(text); err != nil {
		panic(err)
	}
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return packed.Len()
}

// bloomNode follows the report on Dispersy (PDS-2013-002): each second a node
// sends a random peer a Bloom filter of the changes that it holds, with a new
// salt and a false positive rate of a tenth, and the peer sends the changes that
// are missing. The first node of each domain watches the store.
type bloomNode struct {
	self    Peer
	random  *rand.Rand
	peers   []Peer
	watcher bool
	changes map[uint64]bool
	held    Snapshot
	next    time.Time

	waiting bool
}

const (
	bloomItems = 150 // templates and client accounts of the design size
	bloomBits  = 720 // 4.8 bits an item
	bloomKeys  = 3
	changeSize = 300 // bytes of one template or client account
)

type bloomFilter struct {
	salt uint64
	bits [bloomBits]bool
}

func (bloomFilter) Size() int { return framingBytes + 8 + bloomBits/8 }

func (f *bloomFilter) positions(change uint64) (at [bloomKeys]int) {
	for i := range at {
		hash := fnv.New64a()
		fmt.Fprint(hash, f.salt, i, change)
		at[i] = int(hash.Sum64() % bloomBits)
	}
	return at
}

func (f *bloomFilter) holds(change uint64) bool {
	for _, at := range f.positions(change) {
		if !f.bits[at] {
			return false
		}
	}
	return true
}

type bloomChanges []uint64

func (c bloomChanges) Size() int { return framingBytes + changeSize*len(c) }

func newBloomNode(self Peer, seed uint64, now time.Time) stepper {
	random := rand.New(rand.NewPCG(seed, seed))
	phase := time.Duration(random.Int64N(int64(repairInterval)))
	return &bloomNode{self: self, random: random, changes: make(map[uint64]bool), next: now.Add(phase)}
}

func (b *bloomNode) Held() Snapshot { return b.held }

func (b *bloomNode) Step(now time.Time, event Event) (actions []Action) {
	switch event := event.(type) {
	case PeersChanged:
		b.peers, b.watcher = event.Peers, true
		for _, p := range event.Peers {
			b.watcher = b.watcher && (p.Domain != b.self.Domain || p.ID > b.self.ID)
		}
	case StoreAnswered:
		b.waiting = false
		b.take(event.Snapshot.Revision)
	case Received:
		actions = b.receive(event)
	}
	if b.watcher && !b.waiting {
		b.waiting = true
		actions = append(actions, CallStore{After: b.held.Version, Wait: watchWait})
	}
	if !now.Before(b.next) {
		b.next = now.Add(repairInterval)
		filter := &bloomFilter{salt: b.random.Uint64()}
		for change := range b.changes {
			for _, at := range filter.positions(change) {
				filter.bits[at] = true
			}
		}
		actions = append(actions, Send{To: b.peers[b.random.IntN(len(b.peers))], Message: filter})
	}
	return actions
}

func (b *bloomNode) receive(received Received) []Action {
	switch message := received.Message.(type) {
	case *bloomFilter:
		var missing bloomChanges
		for change := range b.changes {
			if !message.holds(change) {
				missing = append(missing, change)
			}
		}
		if len(missing) > 0 {
			return []Action{Send{To: received.From, Message: missing}}
		}
	case bloomChanges:
		b.take(message...)
	}
	return nil
}

// take adds changes and applies complete revisions. A watcher gets all changes up to
// the store's revision.
func (b *bloomNode) take(changes ...uint64) {
	for _, change := range changes {
		b.changes[change] = true
		delete(b.changes, change-min(change, bloomItems))
	}
	for b.changes[b.held.Revision+1] {
		b.held.Revision++
		b.held.Version++
	}
}

// figures are the measurements of one distribution method.
type figures struct {
	last, lastCut                  time.Duration // to the last node; after a cut healed
	idleCalls, calls               float64       // of the store, a second; while changing
	bytesPerChange, idle, idleMost float64       // a node; idle: a second
}

const (
	changes     = 20
	changeEvery = 10 * time.Second
	changeDrift = 137 * time.Millisecond // so that changes meet watches at all phases
	spreadLimit = 30 * time.Second
	idleSpan    = time.Minute
)

func measure(w way, seed uint64, nodes, domains, size int, loss float64) (m figures) {
	f := newFleet(seed, nodes, domains, w.build)
	f.publish(size)
	f.net.Run(idleSpan)
	f.net.Loss = loss
	f.reset()
	f.net.Run(idleSpan)
	total, most := f.bytes()
	m.idleCalls = float64(f.calls) / idleSpan.Seconds()
	m.idle = float64(total) / float64(nodes) / idleSpan.Seconds()
	m.idleMost = float64(most) / idleSpan.Seconds()
	f.reset()
	start := f.net.Now
	for i := range time.Duration(changes) {
		f.publish(size)
		took := f.spread(spreadLimit, anyPeer)
		m.last = max(m.last, took)
		f.net.Run(max(changeEvery+i*changeDrift-took, 0))
	}
	span := f.net.Now.Sub(start).Seconds()
	total, _ = f.bytes()
	m.calls = float64(f.calls) / span
	m.bytesPerChange = (float64(total)/float64(nodes) - m.idle*span) / changes
	m.lastCut = healed(f, size)
	return m
}

// healed cuts one domain off from the others and the store, publishes, heals,
// and returns how long the domain then takes.
func healed(f *fleet, size int) time.Duration {
	f.cutOff("d00")
	f.publish(size)
	f.net.Run(idleSpan)
	f.heal()
	return f.spread(spreadLimit, anyPeer)
}

var measureAll = flag.Bool("ways", false, "measure all ways, sizes and seeds, not only the chosen way at the design size")

// TestWaysAreWeighed holds the chosen way to four seconds. With -args -ways it
// prints the figures of docs/measurements/configuration.md.
func TestWaysAreWeighed(t *testing.T) {
	size := encodedSize()
	t.Logf("document of the design size, compressed: %d bytes", size)
	for _, shape := range []struct{ nodes, domains int }{{8, 4}, {60, 19}, {200, 19}} {
		for _, loss := range []float64{0, 0.2} {
			for _, w := range ways {
				isChosen := w.name == chosenName
				if !*measureAll && !(isChosen && shape.nodes == 60) {
					continue
				}
				m := worst(w, shape.nodes, shape.domains, size, loss)
				t.Logf("%3d nodes, loss %2.0f%%, %-32s last %6.3f s, healed %6.3f s, calls/s idle %5.1f, changing %5.1f, bytes/node: change %6.0f, idle/s %4.0f (most %4.0f)",
					shape.nodes, loss*100, w.name, m.last.Seconds(), m.lastCut.Seconds(), m.idleCalls, m.calls, m.bytesPerChange, m.idle, m.idleMost)
				if isChosen && max(m.last, m.lastCut) > inForceWithin {
					t.Errorf("%d nodes, loss %v: last node after %v, after a cut %v", shape.nodes, loss, m.last, m.lastCut)
				}
			}
		}
	}
}

// worst takes the longest times of a few seeds, and the last seed's rates.
func worst(w way, nodes, domains, size int, loss float64) (m figures) {
	seeds := uint64(1)
	if *measureAll {
		seeds = 3
	}
	for seed := range seeds {
		one := measure(w, seed+1, nodes, domains, size, loss)
		one.last, one.lastCut = max(one.last, m.last), max(one.lastCut, m.lastCut)
		m = one
	}
	return m
}
