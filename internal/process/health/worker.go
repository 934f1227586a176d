package health

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// maxCharges bounds the open charges of one worker, one for each template.
const maxCharges = 4

// worker is the record of one worker.
type worker struct {
	id     string
	domain *domain
	tier   placement.Tier
	reason Reason

	// Failures.
	score        float64
	charges      []charge
	lastTemplate string    // that failed
	failedAt     time.Time // last failure
	holdUntil    time.Time // no task while a charge is open
	suspectUntil time.Time
	successes    int  // towards the end of probation
	lost         bool // a lost task was counted since the last connection or success

	// Ejection.
	ejected   bool // by failures
	ejections int  // in a row
	until     time.Time
	excluded  bool // counted in domain.excluded

	// Run times.
	pace     average // log of run time against other workers
	slow     bool
	slowTill time.Time

	// Connection and progress.
	silent   bool
	leaving  bool
	stalled  bool
	running  int
	progress time.Time     // last time that a task ended, or the first began
	longest  time.Duration // expected run time of any task running
}

// charge is a failure that is not decided.
type charge struct {
	template *template
	weight   float64
	started  time.Time // the failed task
	opened   time.Time
}

// domain counts the workers of one failure domain.
type domain struct {
	name     string
	workers  int
	away     int // silent or leaving
	excluded int // ejected by failures, or held
}

// admits reports whether one more worker may be excluded.
func (d *domain) admits(share float64) bool {
	return float64(d.excluded+1) <= share*float64(d.workers-d.away)
}

// doubt is the score with the open charges.
func (w *worker) doubt() float64 {
	sum := w.score
	for i := range w.charges {
		sum += w.charges[i].weight
	}
	return sum
}

// charge returns the index of the open charge for the template, or -1.
func (w *worker) charge(t *template) int {
	for i := range w.charges {
		if w.charges[i].template == t {
			return i
		}
	}
	return -1
}

// begin notes the start of a task.
func (w *worker) begin(now time.Time, expected time.Duration) {
	if w.running == 0 {
		w.progress = now
		w.longest = 0
	}
	w.running++
	w.longest = max(w.longest, expected)
}

// end notes that a task ended.
func (w *worker) end(now time.Time) {
	w.running = max(w.running-1, 0)
	w.progress = now
	w.stalled = false
}

// reconnect starts over with probation, and keeps score and backoff.
func (w *worker) reconnect(now time.Time) {
	w.silent, w.leaving, w.stalled = false, false, false
	w.successes = 0
	w.lost = false
	w.progress = now
}
