package power

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/estimate"
)

// harness runs one entry VM with its workers on a virtual clock, with a queue
// that is never empty. Workers have their guard on: a worker whose tasks would
// draw more than its allotment slows all of them until they fit.
type harness struct {
	now     time.Time
	rng     *rand.Rand
	ledger  *Ledger
	learned *estimate.Estimator
	learns  bool
	workers []*harnessWorker
	queue   []harnessTask
	next    uint64
	part    Milliwatts
	result  harnessResult
}

type harnessWorker struct {
	name     string
	allotted Milliwatts
	permille int64
	running  map[TaskKey]*harnessTask
	reports  []Milliwatts // of the last report lag
}

type harnessTask struct {
	kind    int
	actual  estimate.Sample
	left    time.Duration // at full speed
	ran     time.Duration
	charged Milliwatts
}

// harnessResult is what a run measures.
type harnessResult struct {
	peak, sum Milliwatts
	steps     int
	slowed    int // worker steps in which the guard had to slow
	stopped   int
	done      int
}

const (
	harnessStep    = 5 * time.Millisecond
	harnessSlots   = 8
	harnessWorkers = 12
	harnessKinds   = 8
)

// kindOf gives a kind's mean draw and run time.
func kindOf(kind int) (Milliwatts, time.Duration) {
	return Milliwatts(18_000 + 4_000*kind), time.Duration(60+110*kind) * time.Millisecond
}

func newHarness(learns bool) *harness {
	h := &harness{
		now:     time.Unix(1, 0),
		rng:     rand.New(rand.NewPCG(propertySeed, 1)),
		ledger:  New(VM{"vm0", 1}, DefaultSettings()),
		learned: estimate.New(estimate.DefaultSettings()),
		learns:  learns,
		part:    harnessWorkers * 250_000,
	}
	var known []Candidate
	for i := range harnessWorkers {
		w := &harnessWorker{name: string(rune('a' + i)), allotted: modelIdle, permille: permilleFull}
		w.running = map[TaskKey]*harnessTask{}
		h.workers = append(h.workers, w)
		known = append(known, Candidate{w.name, 1, modelIdle, modelCeiling})
		grant := Grant{Epoch: 1, Incarnation: 1, Idle: modelIdle}
		h.do(h.ledger.LeaseAcquired(h.now, w.name, grant))
	}
	plan, _ := Build(1, h.part, known)
	actions, _ := h.ledger.SetPlan(h.now, plan)
	h.do(actions)
	return h
}

// do carries out actions at once, and the events that follow from them.
func (h *harness) do(actions []Action) {
	for len(actions) > 0 {
		var more []Action
		switch a := actions[0].(type) {
		case Allot:
			h.worker(a.Worker).allotted = a.Record.Allotted
			more = h.ledger.Allotted(h.now, a.Worker, a.Epoch, a.Sequence)
		case Throttle:
			h.worker(a.Worker).permille = a.Permille
			more = h.ledger.Throttled(h.now, a.Worker, a.Epoch, a.Permille)
		case Checkpoint:
			h.end(a.Worker, a.Task)
		case Stop:
			h.end(a.Worker, a.Task)
		case EstimateLow:
			h.underestimated(a)
		}
		actions = append(actions[1:], more...)
	}
}

// underestimated tells the estimator about everything that runs there.
func (h *harness) underestimated(a EstimateLow) {
	permille := uint32((a.Reported - modelIdle) * permilleFull / max(1, a.Charged-modelIdle))
	for _, task := range h.worker(a.Worker).running {
		h.learned.Underestimated(kindName(task.kind), "", permille)
	}
}

func (h *harness) end(worker string, key TaskKey) {
	delete(h.worker(worker).running, key)
	h.ledger.Release(worker, key)
	h.result.stopped++
}

func (h *harness) worker(name string) *harnessWorker { return h.workers[name[0]-'a'] }

func kindName(kind int) string { return string(rune('A' + kind)) }

// fill keeps 64 tasks waiting and starts what fits, on the worker with most
// headroom first.
func (h *harness) fill(factor float64) {
	for len(h.queue) < 64 {
		h.queue = append(h.queue, h.newTask())
	}
	for i := 0; i < len(h.queue); {
		if h.start(&h.queue[i], factor) {
			h.queue = append(h.queue[:i], h.queue[i+1:]...)
			continue
		}
		i++
	}
}

// newTask draws a task whose figures vary by a sixth around its kind's.
func (h *harness) newTask() harnessTask {
	kind := h.rng.IntN(harnessKinds)
	power, length := kindOf(kind)
	vary := func() float64 { return max(0.5, 1+h.rng.NormFloat64()/12) }
	actual := estimate.Sample{
		Time:       time.Duration(float64(length) * vary()),
		Milliwatts: uint32(float64(power) * vary()),
		MemoryMiB:  256,
	}
	return harnessTask{kind: kind, actual: actual, left: actual.Time}
}

func (h *harness) start(task *harnessTask, factor float64) bool {
	power, length := kindOf(task.kind)
	wrong := estimate.Declared{
		Time:       time.Duration(float64(length) * factor),
		Milliwatts: uint32(float64(power) * factor),
		MemoryMiB:  256,
	}
	task.charged = Milliwatts(wrong.Milliwatts)
	if h.learns {
		task.charged = Milliwatts(h.learned.Charge(kindName(task.kind), "", wrong).Milliwatts)
	}
	best := h.roomiest()
	if best == nil {
		return false
	}
	h.next++
	key := TaskKey{SubmissionCounter: h.next}
	load := Load{Milliwatts: task.charged, Ends: h.now.Add(task.left)}
	if _, ok := h.ledger.Charge(best.name, key, load); !ok {
		return false
	}
	copied := *task
	best.running[key] = &copied
	return true
}

// roomiest is the worker with a free slot and most headroom.
func (h *harness) roomiest() *harnessWorker {
	var best *harnessWorker
	for _, w := range h.workers {
		if len(w.running) >= harnessSlots {
			continue
		}
		if best == nil || h.ledger.Headroom(w.name) > h.ledger.Headroom(best.name) {
			best = w
		}
	}
	return best
}

// run lets the worker's tasks go on for a step and gives its draw.
func (h *harness) run(w *harnessWorker) Milliwatts {
	var wanted Milliwatts
	for _, task := range w.running {
		wanted += Milliwatts(task.actual.Milliwatts)
	}
	permille := w.permille
	room := w.allotted - modelIdle
	if wanted*Milliwatts(permille)/permilleFull > room {
		h.result.slowed++
		permille = int64(room * permilleFull / wanted)
	}
	for _, key := range w.keys() {
		task := w.running[key]
		task.ran += harnessStep
		task.left -= harnessStep * time.Duration(permille) / permilleFull
		if task.left <= 0 {
			h.finish(w, key, task)
		}
	}
	return modelIdle + wanted*Milliwatts(permille)/permilleFull
}

// keys lists the running tasks in a fixed order, so that a seed gives one run.
func (w *harnessWorker) keys() []TaskKey {
	keys := make([]TaskKey, 0, len(w.running))
	for key := range w.running {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
	return keys
}

// finish reports what a worker measured: mean speed, and draw at that speed.
func (h *harness) finish(w *harnessWorker, key TaskKey, task *harnessTask) {
	delete(w.running, key)
	h.ledger.Release(w.name, key)
	h.result.done++
	speed := min(permilleFull, uint32(task.actual.Time*permilleFull/task.ran))
	seen := task.actual
	seen.Time = task.ran
	seen.Milliwatts = seen.Milliwatts * speed / permilleFull
	seen.Permille = speed
	h.learned.Observe(kindName(task.kind), "", seen)
}

// simulate runs for a virtual time; draw is averaged after the warm-up.
func (h *harness) simulate(factor float64, warm, total time.Duration) harnessResult {
	lag := int(DefaultSettings().ReportLag / harnessStep / 2)
	for step := 0; time.Duration(step)*harnessStep < total; step++ {
		h.now = h.now.Add(harnessStep)
		h.fill(factor)
		if step%4 == 0 {
			h.do(h.ledger.Tick(h.now))
		}
		var draw Milliwatts
		for _, w := range h.workers {
			now := h.run(w)
			draw += now
			w.reports = append(w.reports, now)
			if len(w.reports) > lag {
				age := time.Duration(lag) * harnessStep
				h.do(h.ledger.Report(h.now, w.name, w.reports[0], age))
				w.reports = w.reports[1:]
			}
		}
		h.result.peak = max(h.result.peak, draw)
		if time.Duration(step)*harnessStep >= warm {
			h.result.sum += draw
			h.result.steps++
		}
	}
	return h.result
}

// used is the share of the part that was drawn after the warm-up.
func (r harnessResult) used(part Milliwatts) float64 {
	return float64(r.sum) / float64(r.steps) / float64(part)
}

// Symptom: a third of the cap lies idle, or draw passes it. Sequence: templates
// declare three times what their tasks draw, or a third of it. Cause: admission
// that trusts the declaration.
func TestCapIsUsedAndKeptWithWrongDeclarations(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		learns bool
		least  float64
	}{
		{"right", 1, true, 0.9},
		{"over-declared x3", 3, true, 0.9},
		{"under-declared x3", 1.0 / 3, true, 0.9},
		{"over-declared x3, declared figures only", 3, false, 0},
		{"under-declared x3, declared figures only", 1.0 / 3, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(c.learns)
			r := h.simulate(c.factor, 10*time.Second, 60*time.Second)
			t.Logf("used %.3f of the part, peak %.4f, %d tasks done, %d stopped, guard slowed in %d of %d worker steps",
				r.used(h.part), float64(r.peak)/float64(h.part), r.done, r.stopped, r.slowed, 12_000*harnessWorkers)
			if r.peak > h.part {
				t.Errorf("peak draw %d mW, part %d mW", r.peak, h.part)
			}
			if r.used(h.part) < c.least {
				t.Errorf("used %.3f of the part, want %.2f", r.used(h.part), c.least)
			}
		})
	}
}
