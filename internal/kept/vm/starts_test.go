package vm

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// observedStart is a start that a worker has accepted.
type observedStart struct {
	at     time.Time
	domain string
	worker string // the worker's ID
	task   submission.TaskRef
}

// startLog records the starts that the workers of a world have accepted.
type startLog struct {
	mu     sync.Mutex
	starts []observedStart
}

// watchStarts records all starts from now on.
func watchStarts(w *world) *startLog {
	l := &startLog{}
	w.fleet.OnStart(func(at worker.Info, s worker.Start) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.starts = append(l.starts, observedStart{at: time.Now(), domain: at.Domain, worker: at.ID, task: s.Task})
	})
	return l
}

// ofSubmission returns the starts of a submission's tasks.
func (l *startLog) ofSubmission(id submission.ID) []observedStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.starts), func(s observedStart) bool { return s.task.ID != id })
}

// inDomain returns the starts in a domain from one time (included) to another (excluded).
func (l *startLog) inDomain(domain string, from, to time.Time) []observedStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []observedStart
	for _, s := range l.starts {
		if s.domain == domain && !s.at.Before(from) && s.at.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// submitRepeatedly sends transient submissions of one task to a VM at an interval, for some time, and returns
// how many were done and how many had another outcome.
func (w *world) submitRepeatedly(at, name string, every, during time.Duration) (done, other int) {
	var outs []chan Outcome
	for i := range int(during / every) {
		outs = append(outs, w.submit(at, submission.ID(fmt.Sprintf("%s%d", name, i)), 1, runhost.Work{Time: 40 * ms}, true))
		time.Sleep(every)
	}
	for _, out := range outs {
		if o := <-out; o.Kind == Ended && o.State == submission.Done {
			done++
		} else {
			other++
		}
	}
	return done, other
}
