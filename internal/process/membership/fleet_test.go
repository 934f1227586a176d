package membership

import (
	"fmt"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/network"
)

const oneWay = 500 * time.Microsecond

// fleet is a number of cores with their network and the platform's list.
type fleet struct {
	net    *network.Network
	selves map[string]Fact
	nodes  map[string]*Core
	order  []string
	paused map[string]bool // dead or paused
	ended  map[string]bool

	list      []Fact
	version   uint64
	listDown  bool
	listReads int
	listBytes map[string]int
	lastRead  time.Time
	longest   time.Duration // between two reads of the list
}

func newFleet(seed uint64, nodes, domains, workers int) *fleet {
	f := &fleet{
		net:       network.New(seed, oneWay),
		selves:    make(map[string]Fact),
		nodes:     make(map[string]*Core),
		paused:    make(map[string]bool),
		ended:     make(map[string]bool),
		listBytes: make(map[string]int),
		version:   1,
	}
	for i := range nodes {
		self := vm(Entry, fmt.Sprintf("vm-%03d", i), i%domains)
		f.order = append(f.order, self.ID)
		f.selves[self.ID] = self
		f.list = append(f.list, self)
	}
	for i := range workers {
		f.list = append(f.list, vm(Worker, fmt.Sprintf("worker-%04d", i), i%domains))
	}
	for i, id := range f.order {
		f.start(f.selves[id], seed*1000+uint64(i))
	}
	return f
}

func vm(role Role, id string, domain int) Fact {
	return Fact{
		Role: role, ID: id, Incarnation: 1, State: Present,
		Domain: fmt.Sprintf("d%02d", domain), Rack: "rack-01", Address: "10.20.30.40:7000",
	}
}

func (f *fleet) start(self Fact, seed uint64) {
	core := New(Options{Self: self, Seed: seed}, f.net.Now)
	f.selves[self.ID] = self
	f.nodes[self.ID] = core
	f.net.After(time.Duration(seed%100)*time.Millisecond, func() {
		f.net.Every(TickInterval, func() { f.step(self.ID, core, Tick{}) })
	})
}

func (f *fleet) step(id string, core *Core, event Event) {
	if f.paused[id] || f.nodes[id] != core {
		return
	}
	for _, action := range append([]Action(nil), core.Step(f.net.Now, event)...) {
		switch action := action.(type) {
		case Send:
			f.net.Send(id, action.To, action.Message.Size(), func() {
				f.step(action.To, f.nodes[action.To], Received{From: id, Message: action.Message})
			})
		case ReadList:
			f.readList(id, core)
		}
	}
}

func (f *fleet) readList(id string, core *Core) {
	answer := ListRead{Failed: f.listDown, Version: f.version}
	if !f.listDown {
		answer.VMs = f.list
		f.listReads++
		f.longest = max(f.longest, f.net.Now.Sub(f.lastRead))
		f.lastRead = f.net.Now
		f.listBytes[id] += factsSize(f.list)
	}
	f.net.After(2*time.Millisecond, func() { f.step(id, core, answer) })
}

// setList changes the list of VMs.
func (f *fleet) setList(change func(Fact) (kept Fact, keep bool)) {
	var list []Fact
	for _, fact := range f.list {
		if kept, keep := change(fact); keep {
			list = append(list, kept)
		}
	}
	f.list = list
	f.version++
}

func without(id string) func(Fact) (Fact, bool) {
	return func(fact Fact) (Fact, bool) { return fact, fact.ID != id }
}

// cutOff cuts the given VMs off from the others.
func (f *fleet) cutOff(inside func(Fact) bool) {
	f.net.Cut = func(from, to string) bool { return inside(f.selves[from]) != inside(f.selves[to]) }
}

// cutBetween cuts the connection of two VMs.
func (f *fleet) cutBetween(a, b string) {
	f.net.Cut = func(from, to string) bool { return from == a && to == b || from == b && to == a }
}

// isLive reports whether one node counts another as live.
func (f *fleet) isLive(at, id string) bool {
	for _, live := range f.nodes[at].View().Live[f.selves[id].Domain] {
		if live.ID == id && live.Incarnation == f.selves[id].Incarnation {
			return true
		}
	}
	return false
}

// wrong counts the pairs of running nodes and VMs whose view is not the truth.
func (f *fleet) wrong(observes func(at Fact) bool) (pairs int) {
	for _, at := range f.order {
		if f.paused[at] || !observes(f.selves[at]) {
			continue
		}
		for _, id := range f.order {
			if f.isLive(at, id) == f.paused[id] {
				pairs++
			}
		}
	}
	return pairs
}

// until runs until the condition holds and returns how long that took.
func (f *fleet) until(limit time.Duration, condition func() bool) time.Duration {
	start := f.net.Now
	f.net.RunUntil(start.Add(limit), condition)
	return f.net.Now.Sub(start)
}

func everyone(Fact) bool { return true }

func inDomain(domain string) func(Fact) bool {
	return func(f Fact) bool { return f.Domain == domain }
}
