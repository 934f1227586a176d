package membership

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	bytesAllowed = 5000 // a second, sent and received, on any node
	noWorkWithin = 3 * time.Second
	settleTime   = 20 * time.Second
)

type shape struct{ nodes, domains, workers int }

var (
	design = shape{nodes: 60, domains: 19, workers: 2900}
	small  = shape{nodes: 12, domains: 4, workers: 100}
)

// settled is a fleet whose views are the truth. In the small one vm-003, vm-007
// and vm-011 are the members of domain d03.
func settled(t *testing.T, seed uint64, size shape) *fleet {
	t.Helper()
	f := newFleet(seed, size.nodes, size.domains, size.workers)
	f.net.Run(settleTime)
	if wrong := f.wrong(everyone); wrong > 0 {
		t.Fatalf("%d pairs are wrong after %v", wrong, settleTime)
	}
	return f
}

var measureAll = flag.Bool("shapes", false, "measure all shapes of the fleet for ten minutes, not only the design size for five")

// TestBytes holds the design size to its budget. With -args -shapes it prints
// the figures of docs/design/membership.md: one domain for all is heartbeats
// from all to all, one domain for each VM a summary of single VMs.
func TestBytes(t *testing.T) {
	shapes := []shape{design}
	span := 5 * time.Minute
	if *measureAll {
		shapes = append(shapes, shape{8, 4, 50}, shape{60, 1, 2900}, shape{60, 60, 2900}, shape{200, 19, 2900})
		span = 10 * time.Minute
	}
	for _, shape := range shapes {
		f := newFleet(1, shape.nodes, shape.domains, shape.workers)
		f.net.Run(settleTime)
		f.net.ResetTraffic()
		f.listReads, f.longest = 0, 0
		clear(f.listBytes)
		f.net.Run(span)
		var total, most, list int
		for _, id := range f.order {
			traffic := f.net.Traffic(id)
			bytes := traffic.Sent + traffic.Received
			total += bytes
			list += f.listBytes[id]
			most = max(most, bytes+f.listBytes[id])
		}
		perNode := float64(shape.nodes) * span.Seconds()
		t.Logf("%3d nodes in %2d domains: %5.0f bytes/s a node, %4.0f more of the list, most %5.0f; list read %.2f times/s, at least every %v",
			shape.nodes, shape.domains, float64(total)/perNode, float64(list)/perNode,
			float64(most)/span.Seconds(), float64(f.listReads)/span.Seconds(), f.longest)
		if shape == design && float64(most)/span.Seconds() > bytesAllowed {
			t.Errorf("%.0f bytes/s on one node, want %d at most", float64(most)/span.Seconds(), bytesAllowed)
		}
	}
}

func TestDeadVMIsFound(t *testing.T) {
	f := settled(t, 2, design)
	f.paused["vm-007"] = true
	local := f.until(time.Minute, func() bool { return f.wrong(inDomain("d07")) == 0 })
	remote := local + f.until(time.Minute, func() bool { return f.wrong(everyone) == 0 })
	t.Logf("found by its domain after %v, by all after %v", local, remote)
	if local > 4*time.Second || remote > 15*time.Second {
		t.Errorf("found by its domain after %v, by all after %v", local, remote)
	}
}

// Symptom: two VMs act as the owner of one worker. Sequence: the connection of
// two VMs goes silent; each takes the other for dead. Cause: one witness.
func TestOneSilentConnectionExcludesNobody(t *testing.T) {
	f := settled(t, 3, small)
	f.cutBetween("vm-007", "vm-011")
	f.net.Run(time.Minute)
	if wrong := f.wrong(everyone); wrong > 0 {
		t.Errorf("%d pairs are wrong", wrong)
	}
	suspects := f.nodes["vm-007"].View().Suspects
	if len(suspects) != 1 || suspects[0].VM.ID != "vm-011" || suspects[0].Reason != SilentHereOnly {
		t.Errorf("suspects %+v, want vm-011, silent here only", suspects)
	}
}

// Symptom: live VMs are taken for dead by the dozen. Sequence: a tenth or a
// fifth of the messages is lost. Cause: chance silences the one observer.
func TestLossExcludesFew(t *testing.T) {
	span := time.Minute
	if *measureAll {
		span = 10 * time.Minute
	}
	for _, loss := range []float64{0.1, 0.2} {
		f := settled(t, 4, design)
		f.net.Loss = loss
		var excluded, alone, samples int
		for range int(span / heartbeatInterval) {
			f.net.Run(heartbeatInterval)
			excluded += f.wrong(everyone)
			for _, id := range f.order {
				for _, s := range f.nodes[id].View().Suspects {
					if s.Reason == SilentHereOnly {
						alone++
					}
				}
			}
			samples += len(f.order) * len(f.order)
		}
		t.Logf("loss %.0f%%: %d of %d pairs excluded, %d more without witnesses", loss*100, excluded, samples, alone)
		if excluded*1000 > samples {
			t.Errorf("loss %v: %d of %d pairs excluded", loss, excluded, samples)
		}
	}
}

// Symptom: a worker that is leaving gets new work. Sequence: it says so on one
// connection, or only the platform's list shows it, while messages are lost.
// Cause: the sign stays with the VM that saw it.
func TestLeavingWorkerIsKnownInItsDomain(t *testing.T) {
	const name = "worker-0007" // of d03
	signs := map[string]func(f *fleet){
		"own word": func(f *fleet) {
			leaving := vm(Worker, name, 3)
			leaving.State = Leaving
			f.step("vm-011", f.nodes["vm-011"], WorkerSaid{Worker: leaving})
		},
		"platform list": func(f *fleet) {
			f.setList(func(fact Fact) (Fact, bool) {
				if fact.ID == name {
					fact.State = Leaving
				}
				return fact, true
			})
			f.step("vm-011", f.nodes["vm-011"], ListRead{Version: f.version, VMs: f.list})
		},
		"gone from the list": func(f *fleet) {
			f.setList(without(name))
			f.step("vm-011", f.nodes["vm-011"], ListRead{Version: f.version, VMs: f.list})
		},
		"another domain's reader": func(f *fleet) {
			f.setList(without(name))
			f.step("vm-002", f.nodes["vm-002"], ListRead{Version: f.version, VMs: f.list})
		},
	}
	for sign, show := range signs {
		var longest time.Duration
		for seed := range uint64(20) {
			f := settled(t, 100+seed, small)
			f.net.Loss = 0.2
			show(f)
			took := f.until(time.Minute, func() bool { return !f.givesWork("d03", name) })
			longest = max(longest, took)
		}
		t.Logf("%s: known in the domain after %v at most, 20%% loss", sign, longest)
		if longest > noWorkWithin {
			t.Errorf("%s: known after %v, want %v", sign, longest, noWorkWithin)
		}
	}
}

// givesWork reports whether a node of the domain would give a worker new work.
func (f *fleet) givesWork(domain, worker string) bool {
	for _, id := range f.order {
		if f.selves[id].Domain != domain {
			continue
		}
		for _, w := range f.nodes[id].View().Workers {
			if w.ID == worker && w.State == Present {
				return true
			}
		}
	}
	return false
}

// Symptom: a worker that is leaving gets work again. Sequence: it says that it
// leaves; a VM reads the list, which lags and shows it as present. Cause: the
// list taken as the newest word.
func TestLaggingListRevertsNothing(t *testing.T) {
	f := settled(t, 5, small)
	leaving := vm(Worker, "worker-0007", 3)
	leaving.State = Leaving
	f.step("vm-007", f.nodes["vm-007"], WorkerSaid{Worker: leaving})
	replaced := vm(Entry, "vm-011", 3)
	replaced.Incarnation = 2
	f.start(replaced, 77)
	f.version++ // newer, and as old in what it shows
	late := f.selves["vm-011"]
	late.Incarnation, late.State = 1, Gone
	f.step("vm-000", f.nodes["vm-000"], Received{From: "vm-001", Message: Notice{Facts: []Fact{late}}})
	f.net.Run(10 * time.Minute)
	if f.givesWork("d03", "worker-0007") {
		t.Error("the leaving worker gets work again")
	}
	if wrong := f.wrong(everyone); wrong > 0 {
		t.Errorf("%d pairs do not know the replaced VM under its new incarnation", wrong)
	}
}

// Symptom: the whole site stands still. Sequence: the platform hands out a list
// without workers. Cause: the list taken as the truth.
func TestListWithoutWorkersIsDoubted(t *testing.T) {
	f := settled(t, 10, small)
	before := len(f.nodes["vm-007"].View().Workers)
	f.setList(func(fact Fact) (Fact, bool) { return fact, fact.Role == Entry })
	f.net.Run(5 * time.Minute)
	view := f.nodes["vm-007"].View()
	if before != small.workers || len(view.Workers) != before || !view.ListDoubted {
		t.Errorf("%d workers, %d before; doubted %v", len(view.Workers), before, view.ListDoubted)
	}
}

// Symptom: two VMs act under one identity. Sequence: a VM is paused; it is
// replaced under the same id; it wakes. Cause: it acts on what it knew. The
// step that wakes it must already keep it from acting.
func TestPausedVMFindsOutBeforeItActs(t *testing.T) {
	f := settled(t, 6, small)
	old := f.nodes["vm-007"]
	f.paused["vm-007"] = true
	f.net.Run(time.Minute)
	f.paused["vm-007"] = false
	replaced := f.selves["vm-007"]
	replaced.Incarnation = 2
	f.start(replaced, 77)
	f.net.Run(settleTime)
	actions := append([]Action(nil), old.Step(f.net.Now, Tick{})...)
	if got := old.View(); got.Standing != Probing || got.Pauses != 1 {
		t.Fatalf("on waking: standing %v after %d pauses", got.Standing, got.Pauses)
	}
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			peer := f.nodes[send.To]
			for _, answer := range peer.Step(f.net.Now, Received{From: "vm-007", Message: send.Message}) {
				if back, ok := answer.(Send); ok && back.To == "vm-007" {
					old.Step(f.net.Now, Received{From: send.To, Message: back.Message})
				}
			}
		}
	}
	if got := old.View().Standing; got != Superseded {
		t.Errorf("standing %v, want superseded", got)
	}
}

// A VM that was paused and not replaced acts again, and its domain takes it
// back under its old incarnation.
func TestPausedVMComesBack(t *testing.T) {
	f := settled(t, 7, small)
	f.paused["vm-007"] = true
	f.net.Run(time.Minute)
	f.paused["vm-007"] = false
	took := f.until(time.Minute, func() bool {
		return f.wrong(everyone) == 0 && f.nodes["vm-007"].View().Standing == Acting
	})
	t.Logf("back everywhere after %v", took)
	if wrong := f.wrong(everyone); wrong > 0 || f.nodes["vm-007"].View().Pauses != 1 {
		t.Errorf("%d pairs are wrong", wrong)
	}
}

// Symptom: after an hour without another region, all its VMs have to start
// again. Sequence: a domain is cut off; both sides go on; the cut heals. Cause:
// silence taken for the end of an incarnation.
func TestDomainCutOffAndHealed(t *testing.T) {
	f := settled(t, 8, small)
	f.cutOff(inDomain("d03"))
	f.net.Run(10 * time.Minute)
	for _, at := range []string{"vm-000", "vm-003"} {
		for _, suspect := range f.nodes[at].View().Suspects {
			if suspect.Reason != DomainUnreachable || (suspect.VM.Domain == "d03") == (at == "vm-003") {
				t.Errorf("at %s: suspect %+v", at, suspect)
			}
		}
	}
	if !f.isLive("vm-003", "vm-007") || f.isLive("vm-000", "vm-003") {
		t.Error("the domain must live on its own side only")
	}
	f.net.Cut = nil
	took := f.until(time.Minute, func() bool { return f.wrong(everyone) == 0 })
	t.Logf("one view again after %v", took)
	if took > 20*time.Second {
		t.Errorf("one view again after %v", took)
	}
}

// Whoever dies, is cut off and comes back, all views are the truth a while
// after it is quiet again.
func TestViewsConverge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("the truth in the end", prop.ForAll(func(seed uint64, victims []int, loss float64) bool {
		f := newFleet(seed, 12, 3, 0)
		f.net.Loss = loss
		f.net.Run(settleTime)
		for i, victim := range victims {
			id := f.order[victim]
			f.paused[id] = !f.paused[id]
			f.cutOff(func(fact Fact) bool { return fact.Domain == f.selves[id].Domain || fact.ID < id })
			f.net.Run(time.Duration(i*victim) * time.Second)
		}
		f.net.Cut, f.net.Loss = nil, 0
		f.net.Run(time.Minute)
		return f.wrong(everyone) == 0
	}, gen.UInt64Range(1, 1<<20), gen.SliceOfN(6, gen.IntRange(0, 11)), gen.Float64Range(0, 0.3)))
	properties.TestingRun(t)
}

// A VM that starts while the list is out joins through those it was told of.
func TestJoinsWithoutTheList(t *testing.T) {
	f := settled(t, 9, small)
	f.listDown = true
	joining := vm(Entry, "vm-900", 3)
	f.order = append(f.order, joining.ID)
	f.selves[joining.ID] = joining
	f.start(joining, 78)
	f.nodes[joining.ID] = nil
	core := New(Options{Self: joining, Seed: 78, Known: []Fact{f.selves["vm-007"]}}, f.net.Now)
	f.nodes[joining.ID] = core
	f.net.Every(TickInterval, func() { f.step(joining.ID, core, Tick{}) })
	took := f.until(time.Minute, func() bool { return f.wrong(everyone) == 0 })
	t.Logf("known everywhere after %v", took)
	if wrong := f.wrong(everyone); wrong > 0 {
		t.Errorf("%d pairs are wrong", wrong)
	}
	if !slices.ContainsFunc(core.View().Live["d03"], func(f Fact) bool { return f.ID == "vm-011" }) {
		t.Error("the joining VM does not know its domain")
	}
}

// BenchmarkNodeSecond is the processor time that one node of the design size
// spends in a second, with that of the stand-in network.
func BenchmarkNodeSecond(b *testing.B) {
	f := newFleet(1, design.nodes, design.domains, design.workers)
	f.net.Run(settleTime)
	b.ResetTimer()
	for range b.N {
		f.net.Run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*design.nodes), "us/node-second")
}
