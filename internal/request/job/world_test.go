package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// world is a small site: entry VMs that drive submissions with the real job
// machine, owners of worker leases, workers that apply the acceptance rules, and
// the messages between them.
//
// Messages of one stream (home to owner and back, owner to worker and back) keep
// their order and lose their tail when the stream breaks; what is under way
// then may still arrive, at any later time. Calls (seals, follows, submissions)
// are lost, doubled, delayed and reordered at will. Of messages in streams, the
// starts and the results for a home are doubled too, because the workers and the
// machine promise to bear it; a batch for an owner is not.
type world struct {
	removed  guard
	now      time.Time
	vms      []*vm
	owners   []*owner
	workers  []*worker
	subs     []*submission
	net      []*packet
	lastID   uint64 // of incarnations and streams
	tally    tally
	violated error // the first one
}

// guard is a part of the protocol that a test removes, to see that the property
// notices.
type guard uint8

const (
	nothing guard = iota
	workerGeneration
	workerDuplicate
	workerRestart
	askAll
	homeIncarnation
	closeFirst
)

// tally counts what happened over many worlds.
type tally struct{ attempts, starts, recoveries, completes, failures, unknowns, notRuns, secondStarts int }

func (t *tally) add(o tally) {
	t.attempts += o.attempts
	t.starts += o.starts
	t.recoveries += o.recoveries
	t.completes += o.completes
	t.failures += o.failures
	t.unknowns += o.unknowns
	t.notRuns += o.notRuns
	t.secondStarts += o.secondStarts
}

// submission is what its caller and an observer of all workers know.
type submission struct {
	id     ticket.ID
	home   string
	starts []int  // by task index
	never  bool   // somebody was told that nothing ran
	final  bool   // an answer came since it was asked last
	driver uint64 // where an answer pointed to
}

const (
	tasksEach   = 6
	deadlineIn  = 400 * time.Millisecond
	settleIn    = 50 * time.Millisecond
	offerLimit  = 3
	worldVMs    = 3
	worldOwners = 2
)

// packet is one message under way.
type packet struct {
	stream  uint64 // 0: a call, in no order with others
	doubles bool
	arrive  func()
	lost    func()
}

func newWorld(removed guard, workers int) *world {
	w := &world{removed: removed, now: time.Unix(1000, 0)}
	for i := range worldVMs {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i)}
		v.start()
		w.vms = append(w.vms, v)
	}
	for i := range worldOwners {
		w.owners = append(w.owners, &owner{w: w, name: fmt.Sprintf("owner%d", i), leases: map[*worker]*lease{}})
	}
	for i := range workers {
		k := &worker{w: w, name: fmt.Sprintf("w%d", i)}
		k.restart()
		w.workers = append(w.workers, k)
		w.owners[i%worldOwners].acquire(k)
	}
	// Two homes, the younger and the older one of the first two VMs.
	for i := range 2 {
		w.subs = append(w.subs, &submission{
			id:     ticket.ID{Incarnation: w.vms[i].inc, Counter: uint64(i)},
			home:   w.vms[i].name,
			starts: make([]int, tasksEach),
		})
	}
	return w
}

func (w *world) next() uint64 { w.lastID++; return w.lastID }

func (w *world) violate(format string, args ...any) {
	if w.violated == nil {
		w.violated = fmt.Errorf(format, args...)
	}
}

// send puts a message under way.
func (w *world) send(p *packet) { w.net = append(w.net, p) }

// take removes the message at i, or the oldest of its stream.
func (w *world) take(i int) *packet {
	if s := w.net[i].stream; s != 0 {
		i = slices.IndexFunc(w.net, func(p *packet) bool { return p.stream == s })
	}
	p := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return p
}

func (w *world) deliver(i int, twice bool) {
	if len(w.net) == 0 {
		return
	}
	p := w.take(i % len(w.net))
	if twice && p.doubles {
		w.send(&packet{arrive: p.arrive, doubles: true})
	}
	p.arrive()
}

// lose drops a message. A stream that loses one loses all later ones too.
func (w *world) lose(i int) {
	if len(w.net) == 0 {
		return
	}
	p := w.take(i % len(w.net))
	if p.stream != 0 {
		w.net = slices.DeleteFunc(w.net, func(o *packet) bool { return o.stream == p.stream })
	}
	if p.lost != nil {
		p.lost()
	}
}

// output is what a task of a submission computes.
func (s *submission) output(index uint32) string { return fmt.Sprintf("%v/%d", s.id, index) }

// answered checks an answer that a caller of s got.
func (w *world) answered(s *submission, a *Answer) {
	if a.Reason == reason.RecoveredElsewhere {
		s.driver = a.Driver
		return
	}
	started := slices.Max(s.starts) > 0
	switch a.Outcome {
	case reason.Complete:
		w.tally.completes++
		for i := range s.starts {
			if i >= len(a.Outputs) || string(a.Outputs[i]) != s.output(uint32(i)) {
				w.violate("complete answer of %v without the output of task %d", s.id, i)
			}
		}
	case reason.NotRun:
		w.tally.notRuns++
		s.never = true
		if started {
			w.violate("not_run, but tasks of %v have started", s.id)
		}
	case reason.Failed:
		w.tally.failures++
	case reason.Unknown:
		w.tally.unknowns++
	}
	s.final = true
}
