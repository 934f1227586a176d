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
type simulation struct {
	removed   guard
	now       time.Time
	vms       []*vm
	owners    []*owner
	workers   []*worker
	subs      []*submission
	inFlight  []*message
	lastID    uint64 // of incarnations and streams
	counters  counters
	violation error // the first one
}

// guard is a part of the protocol that a test removes, to see that the property
// notices.
type guard uint8

const (
	noGuard guard = iota
	workerGeneration
	workerDuplicate
	workerRestart
	sealAllCandidates
	homeIncarnation
	recordBeforeNotRun
)

// tally counts what happened over many worlds.
type counters struct{ attempts, starts, recoveries, completes, failures, unknowns, notRuns, secondStarts int }

func (t *counters) add(o counters) {
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
	id             ticket.ID
	home           string
	starts         []int  // by task index
	toldNotRun     bool   // somebody was told that nothing ran
	hasFinalAnswer bool   // an answer came since it was asked last
	driver         uint64 // where an answer pointed to
}

const (
	tasksPerSubmission = 6
	submissionTimeout  = 400 * time.Millisecond
	settleTimeout      = 50 * time.Millisecond
	assignLimit        = 3
	simulatedVMs       = 3
	simulatedOwners    = 2
)

// packet is one message under way.
type message struct {
	stream       uint64 // 0: a call, in no order with others
	mayDuplicate bool
	onArrival    func()
	onLoss       func()
}

func newSimulation(removed guard, workers int) *simulation {
	w := &simulation{removed: removed, now: time.Unix(1000, 0)}
	for i := range simulatedVMs {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i)}
		v.restart()
		w.vms = append(w.vms, v)
	}
	for i := range simulatedOwners {
		w.owners = append(w.owners, &owner{w: w, name: fmt.Sprintf("owner%d", i), leases: map[*worker]*lease{}})
	}
	for i := range workers {
		k := &worker{w: w, name: fmt.Sprintf("w%d", i)}
		k.restart()
		w.workers = append(w.workers, k)
		w.owners[i%simulatedOwners].acquire(k)
	}
	// Two homes, the younger and the older one of the first two VMs.
	for i := range 2 {
		w.subs = append(w.subs, &submission{
			id:     ticket.ID{Incarnation: w.vms[i].incarnation, Counter: uint64(i)},
			home:   w.vms[i].name,
			starts: make([]int, tasksPerSubmission),
		})
	}
	return w
}

func (w *simulation) nextID() uint64 { w.lastID++; return w.lastID }

func (w *simulation) reportViolation(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// send puts a message under way.
func (w *simulation) send(p *message) { w.inFlight = append(w.inFlight, p) }

// take removes the message at i, or the oldest of its stream.
func (w *simulation) remove(i int) *message {
	if s := w.inFlight[i].stream; s != 0 {
		i = slices.IndexFunc(w.inFlight, func(p *message) bool { return p.stream == s })
	}
	p := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	return p
}

func (w *simulation) deliver(i int, twice bool) {
	if len(w.inFlight) == 0 {
		return
	}
	p := w.remove(i % len(w.inFlight))
	if twice && p.mayDuplicate {
		w.send(&message{onArrival: p.onArrival, mayDuplicate: true})
	}
	p.onArrival()
}

// lose drops a message. A stream that loses one loses all later ones too.
func (w *simulation) loseMessage(i int) {
	if len(w.inFlight) == 0 {
		return
	}
	p := w.remove(i % len(w.inFlight))
	if p.stream != 0 {
		w.inFlight = slices.DeleteFunc(w.inFlight, func(o *message) bool { return o.stream == p.stream })
	}
	if p.onLoss != nil {
		p.onLoss()
	}
}

// output is what a task of a submission computes.
func (s *submission) output(index uint32) string { return fmt.Sprintf("%v/%d", s.id, index) }

// answered checks an answer that a caller of s got.
func (w *simulation) checkAnswer(s *submission, a *Answer) {
	if a.Reason == reason.RecoveredElsewhere {
		s.driver = a.Driver
		return
	}
	started := slices.Max(s.starts) > 0
	switch a.Outcome {
	case reason.Complete:
		w.counters.completes++
		for i := range s.starts {
			if i >= len(a.Outputs) || string(a.Outputs[i]) != s.output(uint32(i)) {
				w.reportViolation("complete answer of %v without the output of task %d", s.id, i)
			}
		}
	case reason.NotRun:
		w.counters.notRuns++
		s.toldNotRun = true
		if started {
			w.reportViolation("not_run, but tasks of %v have started", s.id)
		}
	case reason.Failed:
		w.counters.failures++
	case reason.Unknown:
		w.counters.unknowns++
	}
	s.hasFinalAnswer = true
}
