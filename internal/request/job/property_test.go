package job

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	propertyRuns  = 9000
	propertySteps = 240
	minAttempts   = 100_000
)

var (
	scale = flag.Int("scale", 1, "factor for the number of event sequences")
	seed  = flag.Int64("seed", 20261203, "seed of the event sequences")
)

// step applies one event, which the code determines.
func (w *simulation) step(code uint32) {
	op, arg := int(code%200), int(code/200)
	v := w.vms[arg%len(w.vms)]
	s := w.subs[arg/3%len(w.subs)]
	o := w.owners[arg/6%len(w.owners)]
	k := w.workers[arg/12%len(w.workers)]
	switch {
	case op < 85:
		w.deliver(arg, false)
	case op < 95:
		w.deliver(arg, true)
	case op < 125:
		v.assign(s, o)
	case op < 150:
		o.startTask(arg)
	case op < 165:
		k.endTask(arg, arg%40 == 0)
	case op < 175:
		w.submit(v, s)
	case op < 180:
		o.acquire(k)
	default:
		w.fault(op-180, arg, v, s, o, k)
	}
}

// fault applies one of the rarer events, mostly faults.
func (w *simulation) fault(op, arg int, v *vm, s *submission, o *owner, k *worker) {
	switch op {
	case 0, 1, 2:
		w.loseMessage(arg)
	case 3, 4, 5:
		v.isCutOff = !v.isCutOff
	case 6:
		v.restart() // crash and restart under a new incarnation
	case 7:
		o.crash()
	case 8:
		if arg%4 == 0 {
			k.isDead = true
			k.restart()
		}
	case 9:
		if arg%4 == 0 {
			k.restart()
		}
	case 10, 11:
		k.lease = nil // lapsed while its owner was paused and does not know it
	case 12, 13:
		o.loseLease(k)
	case 14, 15:
		if ss := v.sessions[o]; ss != nil {
			v.endSession(ss)
		}
	case 16:
		if e := v.jobs[s.id]; e != nil && arg%3 == 0 {
			v.act(e, e.job.Cancel(w.now))
		}
	default:
		w.advanceTime(time.Duration(arg%60) * time.Millisecond)
	}
}

// advanceTime moves the clock and ticks all jobs.
func (w *simulation) advanceTime(d time.Duration) {
	w.now = w.now.Add(d)
	for _, v := range w.vms {
		for _, s := range w.subs {
			if e := v.jobs[s.id]; e != nil {
				v.act(e, e.job.Tick(w.now))
			}
		}
	}
}

const maxFaultFreeRounds = 60

// finishWithoutFaults ends the faults and submits both submissions again until they
// have final answers. All messages in flight arrive.
func (w *simulation) finishWithoutFaults(code uint32) {
	for _, v := range w.vms {
		v.isCutOff = false
	}
	for _, s := range w.subs {
		s.hasFinalAnswer = false
	}
	for round := range maxFaultFreeRounds {
		w.faultFreeRound(int(code) + round)
	}
	for _, s := range w.subs {
		if !s.hasFinalAnswer {
			w.reportViolation("no final answer for %v after the faults ended", s.id)
		}
	}
}

func (w *simulation) faultFreeRound(round int) {
	for _, s := range w.subs {
		if !s.hasFinalAnswer {
			w.submit(w.vms[round%len(w.vms)], s)
		}
	}
	for _, o := range w.owners {
		for _, k := range w.workers {
			if o.leases[k] != nil && k.lease != o.leases[k] {
				o.loseLease(k)
			}
			if k.lease != nil && k.lease.owner.incarnation != k.lease.ownerIncarnation {
				k.lease = nil
			}
			if k.lease == nil {
				o.acquire(k)
			}
		}
	}
	for _, v := range w.vms {
		for _, o := range w.owners {
			if ss := v.sessions[o]; ss != nil && (ss.ownerIncarnation != o.incarnation || ss.ownerNotified) {
				v.endSession(ss)
			}
			for _, s := range w.subs {
				v.assign(s, o)
			}
		}
	}
	for range 2 {
		w.drain(round)
		for _, o := range w.owners {
			for len(o.queue) > 0 {
				o.startTask(round)
			}
		}
		w.drain(round)
		for _, k := range w.workers {
			for len(k.runningTasks) > 0 {
				k.endTask(0, false)
			}
		}
	}
	w.drain(round)
	w.advanceTime(20 * time.Millisecond)
}

// maxMessagesPerRound limits the messages of one round: more indicate an endless exchange.
const maxMessagesPerRound = 5000

func (w *simulation) drain(round int) {
	for i := 0; len(w.inFlight) > 0; i++ {
		w.deliver(round*7919+i*31, false)
		if i > maxMessagesPerRound {
			w.reportViolation("more messages than expected in one round")
			w.inFlight = nil
		}
	}
}

// runSequence applies a sequence of events to a new simulation and returns the first
// violation.
func runSequence(disabled guard, codes []uint32, total *counters) error {
	w := newSimulation(disabled, 2+int(codes[0]%3))
	for _, s := range w.subs {
		for _, k := range w.workers {
			k.ticketIncarnation(s)
		}
		w.submit(w.vms[0], s)
	}
	for _, code := range codes {
		if w.step(code); w.violation != nil {
			break
		}
	}
	if w.violation == nil {
		w.finishWithoutFaults(codes[0])
	}
	total.add(w.counters)
	return w.violation
}

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(*seed)
	p.MinSuccessfulTests = runs
	p.MaxShrinkCount = 0
	return p
}

func sequences() gopter.Gen { return gen.SliceOfN(propertySteps, gen.UInt32()) }

// Guards against a task that runs twice, so that a crew is booked twice or an order
// reaches a bench twice, against the answer NotRun for a submission that ran, and against
// two different final answers to one submission. The
// events are starts, results, seals and submissions in any order, with messages lost,
// late, duplicated and reordered, and crashes, pauses and restarts of every process.
// The failure would be a driver that takes a task for not started although another
// driver has started it, or a start in flight still will.
func TestNoTaskStartsTwice(t *testing.T) {
	var total counters
	properties := gopter.NewProperties(parameters(propertyRuns * *scale))
	properties.Property("at most one start, whole answers, true refusals, an answer in the end", prop.ForAll(
		func(codes []uint32) (bool, error) {
			err := runSequence(noGuard, codes, &total)
			return err == nil, err
		}, sequences()))
	properties.TestingRun(t)
	t.Logf("%d sequences, seed %d: %+v", propertyRuns**scale, *seed, total)
	if total.attempts < minAttempts || total.recoveries == 0 || total.unknowns == 0 || total.notRuns == 0 {
		t.Errorf("too few attempts, recoveries, unknown or not_run answers: %+v", total)
	}
}

// Guards against a property that cannot fail: each rule of the protocol is disabled in
// turn, and the property has to detect a violation.
func TestPropertySeesRemovedGuards(t *testing.T) {
	guards := map[string]guard{
		"a worker that ignores generations":           workerGeneration,
		"a restarted worker that takes old tickets":   workerRestart,
		"a worker that ignores its records":           workerDuplicate,
		"a recovery that asks one candidate":          sealAllCandidates,
		"a restarted home that takes its old tickets": homeIncarnation,
		"not run without recording it at a candidate": recordBeforeNotRun,
		"failed without recording it at a candidate":  recordBeforeFailed,
	}
	for name, disabled := range guards {
		t.Run(name, func(t *testing.T) {
			var total counters
			var found error
			property := prop.ForAll(func(codes []uint32) bool {
				found = runSequence(disabled, codes, &total)
				return found == nil
			}, sequences())
			if property.Check(parameters(propertyRuns)).Passed() {
				t.Fatal("the property passes although the guard is disabled")
			}
			t.Logf("after %d attempts: %v", total.attempts, found)
		})
	}
}
