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

// startSeen is a start at a worker.
type startSeen struct {
	at     time.Time
	domain string
	worker string // its ID
	task   submission.TaskRef
}

// startLog is what the workers of a world were told to start.
type startLog struct {
	mu   sync.Mutex
	seen []startSeen
}

func watchStarts(w *world) *startLog {
	l := &startLog{}
	w.fleet.OnStart(func(at worker.Info, s worker.Start) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.seen = append(l.seen, startSeen{at: time.Now(), domain: at.Domain, worker: at.ID, task: s.Task})
	})
	return l
}

// of returns the starts of a submission's tasks.
func (l *startLog) of(id submission.ID) []startSeen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.seen), func(s startSeen) bool { return s.task.ID != id })
}

// in returns the starts in a domain from one time to another.
func (l *startLog) in(domain string, from, to time.Time) []startSeen {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []startSeen
	for _, s := range l.seen {
		if s.domain == domain && !s.at.Before(from) && s.at.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// stream hands in a transient submission of one task at a VM again and again, for some time, and
// returns how many ended well and how many did not.
func (w *world) stream(at, name string, every, during time.Duration) (done, other int) {
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
