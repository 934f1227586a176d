package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// kind is one kind of work of a played load.
type workKind struct {
	name      string
	priority  int
	tasks     int
	time      time.Duration
	perSecond float64
}

// Three kinds as urgent callers send them: short and wide, short, long. Their demand is
// about a fifth, a half and a quarter of the room of twelve workers of two tasks each.
var urgentKinds = []workKind{
	{name: "check", priority: 0, tasks: 8, time: 60 * ms, perSecond: 9},
	{name: "hold", priority: 1, tasks: 2, time: 200 * ms, perSecond: 27},
	{name: "price", priority: 2, tasks: 4, time: 900 * ms, perSecond: 1.7},
}

// outcome is what the callers of one kind got.
type outcome struct{ asked, inTime, late, refused int }

// played is a load on one shard, with the callers' side of it.
type loadRun struct {
	w             *world
	rng           *rand.Rand
	objectiveEnds map[submission.ID]time.Duration // end of the objective
	kinds         map[submission.ID]int
	outcomes      []outcome
	n             int
}

// runLoad plays kinds of work at some times their rate for a while, on workers with room
// for two tasks each. Estimates are off by up to a half either way.
func runLoad(t *testing.T, p policy.Settings, kinds []workKind, workers int, times float64, length time.Duration, seed uint64) []outcome {
	t.Helper()
	l := &loadRun{
		w:             newWorld(t, workers),
		rng:           rand.New(rand.NewPCG(seed, 1)),
		objectiveEnds: make(map[submission.ID]time.Duration),
		kinds:         make(map[submission.ID]int),
		outcomes:      make([]outcome, len(kinds)),
	}
	l.w.policy = p
	l.w.newHolder(2, true)
	l.w.run(100 * ms)
	next := make([]time.Duration, len(kinds))
	for i := range kinds {
		next[i] = l.w.now + l.nextInterval(kinds[i].perSecond*times)
	}
	for end := l.w.now + length; l.w.now < end; {
		for i := range kinds {
			for next[i] <= l.w.now {
				l.send(i, kinds[i])
				next[i] += l.nextInterval(kinds[i].perSecond * times)
			}
		}
		l.w.step()
		l.countEnded()
	}
	for range 1000 {
		l.w.step()
		l.countEnded()
	}
	if len(l.w.ledger.Faults) > 0 {
		t.Fatalf("%v", l.w.ledger.Faults)
	}
	return l.outcomes
}

func (l *loadRun) nextInterval(perS float64) time.Duration {
	return time.Duration(l.rng.ExpFloat64() / perS * float64(time.Second))
}

func (l *loadRun) send(i int, k workKind) {
	l.n++
	id := submission.ID(fmt.Sprintf("%s-%d", k.name, l.n))
	rec := l.w.submission(id, k.tasks, runhost.Work{Time: k.time, CPUMilli: 8000})
	rec.Steps[0].Estimate = time.Duration(float64(k.time) * (0.67 + 0.83*l.rng.Float64()))
	rec.Terms.Priority = k.priority
	rec.Queue = k.name
	rec.CallerTimeout = 1500*ms + 2*k.time
	objective := rec.Terms.Objective(k.time)
	l.objectiveEnds[id] = l.w.now + objective
	l.kinds[id] = i
	l.outcomes[i].asked++
	l.w.assign(rec)
}

// collect counts the submissions that have ended.
func (l *loadRun) countEnded() {
	for id, due := range l.objectiveEnds {
		state := l.w.states[id]
		if !state.Final() {
			continue
		}
		o := &l.outcomes[l.kinds[id]]
		objective := due - l.w.now
		switch {
		case state == submission.Rejected:
			o.refused++
		case state == submission.Done && objective >= 0:
			o.inTime++
		case state == submission.Done:
			o.late++
		}
		delete(l.objectiveEnds, id)
		delete(l.w.states, id)
	}
}

// share is the mean share of the kinds that was done in time: each kind counts the same, as
// each takes a like share of the room.
func inTimeShare(got []outcome) float64 {
	sum := 0.0
	for _, o := range got {
		sum += float64(o.inTime) / float64(max(o.asked, 1))
	}
	return sum / float64(len(got))
}

// Symptom: at a load above the room nearly all are served too late, and few are refused.
// Sequence: eight seconds of 1.3 times the demand that fills the room. Cause: the order went
// by priority and deadline alone, so that what was late already made the next one late too.
// In time are 0.58 of each kind without the bands and 0.78 with them; at 1.0 times the demand
// 0.80 and 0.90, at 1.15 times 0.67 and 0.83, at 1.4 times 0.42 and 0.71.
func TestOverloadIsBorneByFew(t *testing.T) {
	with, without := policy.Defaults(), policy.Defaults()
	without.Bands = false
	var shares [2]float64
	for i, p := range []policy.Settings{with, without} {
		for seed := range uint64(2) {
			got := runLoad(t, p, urgentKinds, 12, 1.3, 8*time.Second, seed)
			shares[i] += inTimeShare(got) / 2
			t.Logf("bands %v: %+v", p.Bands, got)
		}
	}
	t.Logf("in time %.3f, without bands %.3f", shares[0], shares[1])
	if shares[0] < 0.65 || shares[0] < shares[1]+0.1 {
		t.Errorf("in time %.3f, without bands %.3f", shares[0], shares[1])
	}
}

// Symptom: urgent callers are refused at once, though what they want would come first.
// Sequence: much work of a lower priority waits at the shard. Cause: the forecast counted all
// that waits. On days with overload 123 of 2,276 urgent submissions were refused so.
func TestWhatComesFirstDoesNotWaitForTheRest(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	for i := range 30 {
		rec := w.submission(submission.ID(fmt.Sprint("bulk-", i)), 2, runhost.Work{Time: 200 * ms})
		rec.Terms.Priority = 1
		w.assign(rec)
	}
	w.run(20 * ms)
	load := w.shard.Load(w.now)
	p := policy.Defaults()
	urgent := &policy.Work{ReceivedAt: w.now, Objective: 156 * ms, RunTime: 60 * ms}
	_, all := load.QueuedAhead(0, true)
	_, ahead := load.QueuedAhead(0, !p.ByPriority)
	if reason := policy.Admit(w.now, urgent, []policy.Candidate{{Shard: "a", Capacity: 4, Wait: ahead}}); reason.Refused() {
		t.Errorf("refused (%s) with %v before it", reason, ahead)
	}
	if reason := policy.Admit(w.now, urgent, []policy.Candidate{{Shard: "a", Capacity: 4, Wait: all}}); !reason.Refused() {
		t.Errorf("all that waits, %v, does not refuse it: the test shows nothing", all)
	}
	if _, same := load.QueuedAhead(1, false); same < all/2 {
		t.Errorf("%v of %v are before work of the same priority", same, all)
	}
}
