// Package runhost simulates a worker that accepts numbered runs under a fencing token. It
// refuses runs beyond its capacity, lists ended runs until they are acknowledged, and ends all
// runs when its lease expires. The caller passes in the time.
package runhost

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Limits of the platform's workers.
const (
	MaxLease      = time.Second
	StopDuration  = 50 * time.Millisecond
	maxListedEnds = 500 // ended runs in one reply
)

// Work is what a task does.
type Work struct {
	CPUMilli int64         `json:"cpu_milli"` // thousandths of a core
	Time     time.Duration `json:"-"`
	Fails    bool          `json:"fail,omitempty"`
	Hangs    bool          `json:"hang,omitempty"`
	Crashes  bool          `json:"crash,omitempty"` // crashes its worker when it ends
}

// ParseWork reads what a task does from its spec:
// {"run_millis":100,"cpu_milli":1000,"fail":false,"hang":false,"crash":false}. Any other spec is
// that of a task that fails at once.
func ParseWork(spec string) Work {
	var w struct {
		Work
		RunMillis uint32 `json:"run_millis"`
	}
	if err := json.Unmarshal([]byte(spec), &w); err != nil {
		return Work{Fails: true}
	}
	w.Time = time.Duration(w.RunMillis) * time.Millisecond
	return w.Work
}

// Ledger counts the runs on all workers of a test, and records what must not happen.
type Ledger struct {
	running     map[submission.TaskRef]int
	completions map[submission.TaskRef]int
	failures    map[submission.TaskRef]int
	Starts      map[submission.TaskRef]int
	// Crashes counts the workers that have crashed while they ran a task, StartsAfterCrashLimit the starts of the
	// task after CrashLimit of them had.
	Crashes               map[submission.TaskRef]int
	StartsAfterCrashLimit map[submission.TaskRef]int
	// StartsAfterCompletion counts the starts of a task after a run of it had completed, StartsWithinLease those of
	// them for which the lease of that run's worker had not lapsed.
	StartsAfterCompletion map[submission.TaskRef]int
	StartsWithinLease     map[submission.TaskRef]int
	completed             map[submission.TaskRef]completion // the last one of each task
	Violations            []string                          // tasks that ran twice at once, workers loaded beyond their capacity
}

// CrashLimit is how many workers a task that crashes its workers may crash, and MaxStartsAfterCrashLimit how
// often it may be started after that, as starts may already be in flight then.
const (
	CrashLimit               = 3
	MaxStartsAfterCrashLimit = 2
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		running:     make(map[submission.TaskRef]int),
		completions: make(map[submission.TaskRef]int),
		failures:    make(map[submission.TaskRef]int),
		Starts:      make(map[submission.TaskRef]int),

		Crashes:               make(map[submission.TaskRef]int),
		StartsAfterCrashLimit: make(map[submission.TaskRef]int),
		StartsAfterCompletion: make(map[submission.TaskRef]int),
		StartsWithinLease:     make(map[submission.TaskRef]int),
		completed:             make(map[submission.TaskRef]completion),
	}
}

// Completions returns how many times a task has completed.
func (l *Ledger) Completions(ref submission.TaskRef) int { return l.completions[ref] }

// MaxFailures returns the number of failed runs of the task of a submission that has the most.
func (l *Ledger) MaxFailures(id submission.ID) int {
	most := 0
	for ref, n := range l.failures {
		if ref.ID == id {
			most = max(most, n)
		}
	}
	return most
}

// CountRunning returns how many runs of a submission's tasks are in progress.
func (l *Ledger) CountRunning(id submission.ID) int { return SumOf(l.running, id) }

// SumOf adds up the counts of the tasks of a submission.
func SumOf(counts map[submission.TaskRef]int, id submission.ID) int {
	n := 0
	for ref, k := range counts {
		if ref.ID == id {
			n += k
		}
	}
	return n
}

// begin records that a run has started on the worker where.
func (l *Ledger) begin(now time.Duration, ref submission.TaskRef, run uint64, where string) {
	l.Starts[ref]++
	l.running[ref]++
	if l.Crashes[ref] >= CrashLimit {
		l.StartsAfterCrashLimit[ref]++
	}
	if l.completions[ref] > 0 {
		l.StartsAfterCompletion[ref]++
		if !l.completed[ref].hasLapsed(now) {
			l.StartsWithinLease[ref]++
		}
	}
	if l.running[ref] > 1 {
		l.Violations = append(l.Violations, fmt.Sprintf("%s.%d.%d runs twice at once: run %d at %s", ref.ID, ref.Step, ref.Index, run, where))
	}
}

// end records that a run has ended.
func (l *Ledger) end(ref submission.TaskRef, reason worker.EndReason) {
	l.running[ref]--
	switch reason {
	case worker.Completed:
		l.completions[ref]++
	case worker.Failed:
		l.failures[ref]++
	}
}

// completion says on which worker a run completed, and how often the worker's lease had lapsed until then.
type completion struct {
	host   *Host
	lapses int
}

// hasLapsed reports whether the worker's lease has lapsed since, or the worker has ended.
func (c completion) hasLapsed(now time.Duration) bool {
	return c.host.crashed || c.host.lapses > c.lapses || c.host.deadline < now
}

type run struct {
	task      submission.TaskRef
	number    uint64
	work      Work
	startedAt time.Duration
	stopAt    time.Duration // when it ends after a stop; 0: it was not told to stop
}

// Host is one incarnation of a worker.
type Host struct {
	Info   worker.Info
	WorkOf func(worker.Start) Work // what the task of a start does
	Ledger *Ledger
	// IgnoresCapacity makes the worker accept starts beyond its capacity, which the ledger records as
	// violations.
	IgnoresCapacity bool
	// ClockOffset is how far the worker's clock is ahead of the time that callers pass in.
	ClockOffset time.Duration

	token          uint64
	deadline       time.Duration // end of the lease, in the caller's time
	lapses         int           // how often the lease was extended after it had lapsed
	running        []*run
	ended          []worker.Ended
	lastEnd        uint64 // Seq of the newest entry of ended
	crashed        bool
	supersededUpTo map[submission.TaskRef]uint64 // by task: runs up to this number are not started any more
}

// New returns a worker that has just been started.
func New(info worker.Info, ledger *Ledger, workOf func(worker.Start) Work) *Host {
	return &Host{Info: info, WorkOf: workOf, Ledger: ledger, supersededUpTo: make(map[submission.TaskRef]uint64)}
}

// Advance simulates the worker up to now: runs end, and the lease expires.
func (h *Host) Advance(now time.Duration) {
	slices.SortStableFunc(h.running, func(a, b *run) int { return cmp.Compare(h.endsAt(a), h.endsAt(b)) })
	for len(h.running) > 0 {
		r := h.running[0]
		at := h.endsAt(r)
		if h.deadline < at && h.deadline <= now {
			h.expireLease()
			return
		}
		if at > now {
			return
		}
		if r.work.Crashes && h.endReason(r) != worker.Stopped {
			h.Crash()
			return
		}
		h.finish(r, h.endReason(r))
	}
}

// endsAt returns when a run ends, unless the lease expires first.
func (h *Host) endsAt(r *run) time.Duration {
	if r.stopAt > 0 && (r.work.Hangs || r.stopAt < r.startedAt+r.work.Time) {
		return r.stopAt
	}
	if r.work.Hangs {
		return 1 << 62
	}
	return r.startedAt + r.work.Time
}

// endReason returns how a run ends at endsAt.
func (h *Host) endReason(r *run) worker.EndReason {
	switch {
	case r.stopAt > 0 && (r.work.Hangs || r.stopAt < r.startedAt+r.work.Time):
		return worker.Stopped
	case r.work.Fails:
		return worker.Failed
	default:
		return worker.Completed
	}
}

// expireLease ends all runs because the lease has expired.
func (h *Host) expireLease() {
	for len(h.running) > 0 {
		h.finish(h.running[0], worker.LeaseExpired)
	}
}

func (h *Host) finish(r *run, reason worker.EndReason) {
	h.running = slices.DeleteFunc(h.running, func(o *run) bool { return o == r })
	h.lastEnd++
	h.ended = append(h.ended, worker.Ended{Seq: h.lastEnd, Task: r.task, Run: r.number, Reason: reason})
	h.supersededUpTo[r.task] = max(h.supersededUpTo[r.task], r.number)
	h.Ledger.end(r.task, reason)
	if reason == worker.Completed {
		h.Ledger.completed[r.task] = completion{h, h.lapses}
	}
}

// Crash ends the worker with all its runs.
func (h *Host) Crash() {
	for _, r := range h.running {
		h.Ledger.end(r.task, worker.LeaseExpired)
		h.Ledger.Crashes[r.task]++
	}
	h.running = nil
	h.crashed = true
}

// Crashed reports whether the worker has crashed.
func (h *Host) Crashed() bool { return h.crashed }

// fenced reports whether a token is lower than the highest one so far, and remembers it if not.
func (h *Host) fenced(token uint64) bool {
	if token < h.token {
		return true
	}
	h.token = token
	return false
}

// Start handles a request to run a task.
func (h *Host) Start(now time.Duration, s worker.Start) worker.Reply {
	h.Advance(now)
	s.Deadline = h.toCallerTime(s.Deadline)
	reply := worker.Reply{Clock: now + h.ClockOffset}
	if h.fenced(s.Token) {
		reply.Verdict = worker.Fenced
		return reply
	}
	for _, r := range h.running {
		if r.task == s.Task && r.number == s.Run {
			return reply
		}
	}
	work := h.WorkOf(s)
	switch {
	case s.Deadline > 0 && now > s.Deadline:
		reply.Verdict = worker.DeadlinePassed
	case s.Run <= h.supersededUpTo[s.Task]:
		reply.Verdict = worker.Superseded
	case h.usedCPUMilli()+work.CPUMilli > h.Info.CPUMilli && !h.IgnoresCapacity:
		reply.Verdict = worker.NoRoom
	default:
		if usedCPUMilli := h.usedCPUMilli() + work.CPUMilli; usedCPUMilli > h.Info.CPUMilli {
			h.Ledger.Violations = append(h.Ledger.Violations, fmt.Sprintf("%s of %d has %d in use after a start", h.Info.ID, h.Info.CPUMilli, usedCPUMilli))
		}
		h.running = append(h.running, &run{task: s.Task, number: s.Run, work: work, startedAt: now})
		h.Ledger.begin(now, s.Task, s.Run, h.Info.ID)
	}
	if reply.Verdict != worker.DeadlinePassed {
		h.extendLease(now, s.Deadline)
	}
	return reply
}

func (h *Host) usedCPUMilli() int64 {
	var sum int64
	for _, r := range h.running {
		sum += r.work.CPUMilli
	}
	return sum
}

// toCallerTime converts a time of the worker's clock to the caller's time; 0 stays 0.
func (h *Host) toCallerTime(clock time.Duration) time.Duration {
	if clock == 0 {
		return 0
	}
	return clock - h.ClockOffset
}

// extendLease moves the end of the lease to deadline, but at most MaxLease from now and never back.
func (h *Host) extendLease(now, deadline time.Duration) {
	if h.deadline < now {
		h.lapses++
	}
	h.deadline = max(h.deadline, min(deadline, now+MaxLease))
}

// Stop handles a request to stop a run.
func (h *Host) Stop(now time.Duration, s worker.Stop) worker.Reply {
	h.Advance(now)
	reply := worker.Reply{Clock: now + h.ClockOffset}
	if h.fenced(s.Token) {
		reply.Verdict = worker.Fenced
		return reply
	}
	h.supersededUpTo[s.Task] = max(h.supersededUpTo[s.Task], s.Run)
	for _, r := range h.running {
		if r.task == s.Task && r.number == s.Run && r.stopAt == 0 {
			r.stopAt = now + StopDuration
		}
	}
	return reply
}

// HasUnackedEnds reports whether runs have ended whose end was not acknowledged.
func (h *Host) HasUnackedEnds() bool { return len(h.ended) > 0 }

// Hold extends the lease and returns the runs in progress and those that have ended. It does not wait.
func (h *Host) Hold(now time.Duration, o worker.Hold) (worker.Listing, worker.Reply) {
	h.Advance(now)
	reply := worker.Reply{Clock: now + h.ClockOffset, Born: h.Info.Born}
	if h.fenced(o.Token) {
		reply.Verdict = worker.Fenced
		return worker.Listing{}, reply
	}
	h.extendLease(now, h.toCallerTime(o.Deadline))
	h.ended = slices.DeleteFunc(h.ended, func(e worker.Ended) bool { return e.Seq <= o.AckedEnd })
	l := worker.Listing{Clock: reply.Clock, Born: reply.Born, Ended: slices.Clone(h.ended[:min(len(h.ended), maxListedEnds)])}
	l.MoreEnded = len(h.ended) > maxListedEnds
	for _, r := range h.running {
		percent := 0
		if !r.work.Hangs && r.work.Time > 0 {
			percent = int(100 * (now - r.startedAt) / r.work.Time)
		}
		l.Running = append(l.Running, worker.Running{Task: r.task, Run: r.number, Percent: percent})
	}
	return l, reply
}
