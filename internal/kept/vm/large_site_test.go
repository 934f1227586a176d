package vm

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// testLargeWorld runs a scenario on a site of four domains with 24 workers each. The first VM of each domain has
// 0.8 cores, the others have smallCores.
func testLargeWorld(t *testing.T, vms int, smallCores float64, scenario func(w *world)) {
	t.Helper()
	testLargeWorldWith(t, policy.Defaults(), vms, smallCores, scenario)
}

// testLargeWorldWith does the same with other settings of the VMs.
func testLargeWorldWith(t *testing.T, settings policy.Settings, vms int, smallCores float64, scenario func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c", "d")
		w.policy = settings
		w.cores = make(map[string]float64)
		w.storeReadsPerSecond = 4000
		for _, d := range w.domains {
			for i := range 24 {
				w.addDeskWorker(fmt.Sprintf("%s%d", d, i), d)
			}
		}
		for i := range vms {
			name := fmt.Sprintf("%s%d", w.domains[i%4], i/4)
			w.cores[name] = smallCores
			if i < 4 {
				w.cores[name] = 0.8
			}
			w.boot(name)
		}
		time.Sleep(5 * time.Second)
		scenario(w)
		w.end()
	})
}

// linkCounts returns the number of links of each VM.
func (w *world) linkCounts() map[string]int {
	out := make(map[string]int)
	for name, v := range w.vms {
		reply := make(chan int, 1)
		v.post(linkCountEvent{reply: reply})
		out[name] = <-reply
	}
	return out
}

type linkCountEvent struct{ reply chan int }

func (ev linkCountEvent) apply(e *engine) { ev.reply <- len(e.links) }

// Guards against VMs of 0.19 cores that have no CPU time left for submissions on a large site, because each VM
// has a link to each other one.
func TestLinksOfALargeSiteAreBounded(t *testing.T) {
	testLargeWorld(t, 40, 0.192, func(w *world) {
		sum := 0
		for name, n := range w.linkCounts() {
			sum += n
			if maxLinks := 12; w.cores[name] < 0.5 && n > maxLinks {
				t.Errorf("%s has %d links, want %d at most", name, n, maxLinks)
			}
		}
		if fullMesh := 40 * 39; sum > fullMesh/4 {
			t.Errorf("%d links, want at most a quarter of the %d of a full mesh", sum, fullMesh)
		}
		for _, at := range []string{"a0", "a7", "b3", "d8"} {
			w.wantEnd(w.submit(at, submission.ID("s-"+at), 8, runhost.Work{Time: 60 * ms}, true), submission.Done)
		}
	})
}

// Guards against a submission that waits until its caller's time-out after all VMs of a domain but a small one
// were lost, and with them all peers of its links: a VM without links to the VMs that may hold a shard does not
// learn that the shard has no holder.
func TestLastSmallVMServesItsDomain(t *testing.T) {
	t.Parallel()
	testLargeWorld(t, 24, 0.192, func(w *world) {
		for i := range 5 {
			w.kill(fmt.Sprintf("a%d", i))
		}
		time.Sleep(8 * time.Second)
		began := time.Now()
		w.wantEnd(w.submit("a5", "left", 8, runhost.Work{Time: 60 * ms}, true), submission.Done)
		if took := time.Since(began); took > 300*ms {
			t.Errorf("it took %v", took)
		}
		if holder := w.holderOf("a"); holder != "a5" {
			t.Errorf("the shard of its domain is held by %s", holder)
		}
	})
}

// Guards against a count of waiting submissions that is too low at a VM that holds no shard: submissions wait in
// several domains, at shards or, with late binding, at their home VMs, the VM has no link to some of these, and it
// counted only the shards whose holders report to it, and the home VMs with a link to it.
func TestWaitingIsCountedAtVMsThatHearOfFewShards(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		late bool
		home string // the number of the VM in each domain that accepts submissions
	}{
		"at shards":      {false, "0"},
		"at homes":       {true, "0"},
		"at small homes": {true, "6"},
	} {
		settings := policy.Defaults()
		settings.LateBinding, settings.LateBindingShards = c.late, 0
		t.Run(name, func(t *testing.T) {
			testLargeWorldWith(t, settings, 32, 0.05, func(w *world) { w.checkWaitingIsCounted(c.home, c.late) })
		})
	}
}

// checkWaitingIsCounted fills a large site through the VMs of a number, lets further submissions wait, and compares
// their counts at VMs that hear of few shards. late: some must wait at their home VMs.
func (w *world) checkWaitingIsCounted(home string, late bool) {
	t := w.t
	// Runs outlast the reading of the counts, as a count may be two seconds old and none may change meanwhile:
	// an unused worker starts the first stored submission, and the next one when that has ended.
	work := runhost.Work{Time: 6 * time.Second}
	var fill []chan Outcome
	for i := range 4 * 30 {
		at := w.domains[i%4] + home
		fill = append(fill, w.submit(at, submission.ID(fmt.Sprintf("fill-%d", i)), 2, work, true))
	}
	time.Sleep(500 * ms)
	const stored = 20
	for i := range stored {
		at := w.domains[i%4] + home
		w.wantAccepted(w.submit(at, submission.ID(fmt.Sprintf("wait-%d", i)), 2, work, false))
	}
	time.Sleep(2500 * ms)
	all := w.waitingAt("a0", "q")
	if all < stored {
		t.Errorf("a0 counts %d waiting submissions, want at least %d", all, stored)
	}
	atShards, atHomes := w.waitingAnywhere("q")
	if atShards+atHomes != all {
		t.Errorf("a0 counts %d waiting submissions, the shards have %d and the home VMs %d", all, atShards, atHomes)
	}
	if late != (atHomes > 0) {
		t.Errorf("%d submissions wait at their home VMs, with late binding %t", atHomes, late)
	}
	for _, at := range []string{"a7", "b5", "c6", "d7"} {
		if n := w.waitingAt(at, "q"); n != all {
			t.Errorf("%d waiting submissions are counted at %s, %d at a0", n, at, all)
		}
	}
	for _, out := range fill {
		<-out
	}
}

// waitingAnywhere sums the submissions of a queue that wait in the shards, as their holders know them, and those that
// no shard has, as their home VMs know them.
func (w *world) waitingAnywhere(queue string) (atShards, atHomes int) {
	for name := range w.vms {
		w.onEngine(name, func(e *engine) {
			for _, h := range e.shards {
				load := h.core.Load(e.now)
				atShards += load.UnstartedByQueue[queue]
			}
			atHomes += int(e.ownUnplaced()[queue])
		})
	}
	return atShards, atHomes
}

// Guards against new workers that are not used, and removed workers that still get starts, after the loss of the
// domain's list reader, because no other VM reads the list instead. The next holder of the domain's first shard
// must do so.
func TestNextListReaderTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		w.cores = map[string]float64{"a1": 0.2, "a2": 0.2}
		for i := range 24 {
			w.addDeskWorker(fmt.Sprint(i), "a")
		}
		w.boot("a1")
		w.boot("a2")
		time.Sleep(5 * time.Second)
		reader := w.holderOf("a")
		other := map[string]string{"a1": "a2", "a2": "a1"}[reader]
		if !w.vms[other].HoldsShard("a/1") {
			t.Fatalf("%s reads the list and holds both shards", reader)
		}
		w.wantWorkersAt(other, 24, "after the start")
		w.storeTransports[reader].SetFault(kvstore.NoReply)
		w.mesh.Kill(addressOf(reader)) // its links and its calls, not its process
		for i := 24; i < 48; i++ {
			w.addDeskWorker(fmt.Sprint(i), "a")
		}
		time.Sleep(5 * time.Second)
		w.wantWorkersAt(other, 48, "five seconds after the reader was lost")
		w.end()
	})
}

// wantWorkersAt checks the number of workers in a VM's list of its domain.
func (w *world) wantWorkersAt(at string, n int, when string) {
	w.t.Helper()
	reply := make(chan int, 1)
	w.vms[at].post(listSizeEvent{domain: at[:1], reply: reply})
	if got := <-reply; got != n {
		w.t.Errorf("%s has %d workers in its list %s, want %d", at, got, when, n)
	}
}

type listSizeEvent struct {
	domain string
	reply  chan int
}

func (ev listSizeEvent) apply(e *engine) {
	if l := e.workerLists[ev.domain]; l != nil {
		ev.reply <- len(l.infos)
		return
	}
	ev.reply <- 0
}

// Guards against a holder that goes on using an outdated list while the list reader is alive and holds its shard:
// the reader's messages do not arrive, or bring an old list because the store does not answer the reader.
func TestHolderWithoutFreshReportsReadsTheListItself(t *testing.T) {
	now := time.Hour
	v := &VM{now: func() time.Duration { return now }, readWorkersRequests: make(chan bool, 1)}
	v.router = relay.New(nil, nil, v.now)
	e := newEngine(context.Background(), v)
	maxAge := v.config.leaveNoticeShare(listRereadShare)
	e.shards["a/1"] = &heldShard{core: shard.New(now, shard.DefaultSettings(), 1, now), acquiredAt: now, storingWorkers: true}
	wants := func(reading bool, when string) {
		t.Helper()
		e.now = now
		e.updateLists()
		if e.readingWorkers != reading {
			t.Errorf("the holder reads the list itself: %v, %s", e.readingWorkers, when)
		}
	}
	receiveList := func(age time.Duration) {
		e.receiveWorkers("reader", &pb.KeptWorkers{Domain: "a", List: []byte(`[]`), AgeNs: uint64(age)})
	}
	wants(false, "just after it acquired the shard")
	now += firstListTimeout + time.Millisecond
	wants(true, "without a first list")
	receiveList(0)
	wants(false, "after a list")
	now += maxAge / 2
	receiveList(maxAge / 2)
	now += maxAge/2 + time.Millisecond
	wants(true, "after a list that was already old")
	receiveList(0)
	now += maxAge + time.Millisecond
	wants(true, "without a message for too long")
}

// Guards against a list that ages though its reader reports that it has not changed, because the reader has read
// the same content again and given it another version.
func TestUnchangedListStaysFresh(t *testing.T) {
	now := time.Hour
	v := &VM{now: func() time.Duration { return now }}
	e := newEngine(context.Background(), v)
	e.now = now
	e.shards["a/1"] = &heldShard{core: shard.New(now, shard.DefaultSettings(), 1, now), acquiredAt: now, storingWorkers: true}
	for version := range uint64(2) {
		e.receiveWorkers("reader", &pb.KeptWorkers{Domain: "a", List: []byte(`[]`), Version: version + 1})
	}
	e.now += time.Second
	e.receiveWorkers("reader", &pb.KeptWorkers{Domain: "a", Version: 1})
	if e.listAge("a/1") != time.Second {
		t.Error("a message about an earlier version of the list was taken as confirmation")
	}
	e.receiveWorkers("reader", &pb.KeptWorkers{Domain: "a", Version: 2})
	if age := e.listAge("a/1"); age != 0 {
		t.Errorf("the list is %v old after a message that it has not changed, want 0", age)
	}
}

// Guards against a cancelled submission that runs on: the VM that is asked to cancel it has no link to the holder.
func TestCancelReachesAHolderWithoutALink(t *testing.T) {
	testLargeWorld(t, 40, 0.05, func(w *world) {
		holder := w.holderOf("a")
		w.wantAccepted(w.submit(holder, "s", 1, runhost.Work{Time: time.Minute}, false))
		time.Sleep(2 * time.Second)
		if w.fleet.Running("s") != 1 {
			t.Fatal("it does not run")
		}
		asked := w.withoutLinkTo(w.holderOfShard(w.storedRecord("s").Shard))
		if asked == "" {
			t.Fatal("each VM has a link to the holder")
		}
		if state, err := w.vms[asked].Cancel(context.Background(), "s"); err != nil || state != submission.Cancelled {
			t.Fatalf("it cannot be cancelled: %v, %v", state, err)
		}
		time.Sleep(3*time.Second + 50*ms)
		if w.fleet.Running("s") != 0 {
			t.Errorf("it runs 3.05 s after its cancellation at %s", asked)
		}
	})
}

// storedRecord returns the record of an unfinished submission in the store.
func (w *world) storedRecord(id submission.ID) *submission.Record {
	w.t.Helper()
	it, err := w.store.Get(context.Background(), submission.OpenKey(id))
	if err != nil {
		w.t.Fatal(err)
	}
	r, err := submission.DecodeRecord(id, it.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

// withoutLinkTo returns a VM that has no link to another one; "" if all have.
func (w *world) withoutLinkTo(peer string) string {
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		linked := make(chan bool, 1)
		w.vms[name].post(engineFunc(func(e *engine) { linked <- e.links[peer] != nil }))
		if !<-linked && name != peer {
			return name
		}
	}
	return ""
}
