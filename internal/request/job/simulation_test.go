package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// simulation is a small site: entry VMs that drive submissions with the real job
// machine, owners of worker leases, workers that apply the acceptance rules, and
// the messages between them.
//
// Messages of one stream (home to owner and back, owner to worker and back) keep
// their order. When a message of a stream is lost, all later ones are lost too;
// when a stream breaks, messages in flight may still arrive at any later time.
// Calls (seals, follows, submissions) can be lost, duplicated, delayed and
// reordered. Of the messages in streams, starts and results for a home can also
// be duplicated, because workers and the job machine have to tolerate that; a
// batch for an owner is not duplicated.
type simulation struct {
	disabled  guard
	now       time.Time
	vms       []*vm
	owners    []*owner
	workers   []*worker
	subs      []*submission
	inFlight  []*message
	lastID    uint64 // last number given to an incarnation or stream
	counters  counters
	violation error // the first one
}

// guard is a rule of the protocol that a test disables, to check that the property
// detects the violations.
type guard uint8

const (
	noGuard guard = iota
	workerGeneration
	workerDuplicate
	workerRestart
	sealAllCandidates
	homeIncarnation
	recordBeforeNotRun
	recordBeforeFailed
)

// counters counts events over many simulations.
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

// submission is a submission as seen by its caller and by an observer of all workers.
type submission struct {
	id             ticket.ID
	home           string
	starts         []int   // number of starts, by task index
	toldNotRun     bool    // a caller got the answer NotRun
	hasFinalAnswer bool    // a final answer has arrived; reset when the faults end
	final          *Answer // the first final answer that is not Unknown
	driver         uint64  // incarnation of the driver that an answer named
}

const (
	tasksPerSubmission = 6
	submissionTimeout  = 400 * time.Millisecond
	settleTimeout      = 50 * time.Millisecond
	assignLimit        = 3
	simulatedVMs       = 3
	simulatedOwners    = 2
)

// message is one message in flight.
type message struct {
	stream       uint64 // 0: a call, which is not ordered
	mayDuplicate bool
	onArrival    func()
	onLoss       func()
}

func newSimulation(disabled guard, workers int) *simulation {
	w := &simulation{disabled: disabled, now: time.Unix(1000, 0)}
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
	// One submission for each of the first two VMs, so that the home of one has a
	// higher incarnation than that of the other.
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

// send adds a message to those in flight.
func (w *simulation) send(p *message) { w.inFlight = append(w.inFlight, p) }

// remove removes and returns the call at i, or the oldest message of the stream
// that the message at i belongs to.
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

// loseMessage drops a message. If it belongs to a stream, all later messages of the
// stream are dropped too.
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

// output returns the expected output of a task.
func (s *submission) output(index uint32) string { return fmt.Sprintf("%v/%d", s.id, index) }

// checkAnswer records an answer to a caller of s and checks it against the starts.
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
	if a.Outcome == reason.Unknown {
		return
	}
	if s.final != nil && s.final.Outcome != a.Outcome {
		w.reportViolation("%v was answered as %s (%s), and then as %s (%s)", s.id, s.final.Outcome, s.final.Reason, a.Outcome, a.Reason)
	}
	if s.final == nil {
		s.final = a
	}
}
