package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

const run = 100 * time.Millisecond

// bench is a Table with a clock.
type bench struct {
	*Table
	now time.Time
}

// newBench returns a Table with n workers that have proven themselves.
func newBench(n int) *bench {
	b := &bench{New(Defaults()), epoch}
	for i := range n {
		b.Joined(b.now, fmt.Sprint("w", i), "domain")
	}
	for i := range n {
		for range Defaults().ProbationSuccesses {
			b.end(fmt.Sprint("w", i), "t", OK)
		}
	}
	return b
}

// end runs one task to its end.
func (b *bench) end(worker, template string, outcome Outcome) []Change {
	b.Started(b.now, worker, template, run)
	b.now = b.now.Add(run)
	return b.Ended(b.now, worker, template, outcome, run, run)
}

// convict lets a worker fail what another completes.
func (b *bench) convict(worker, witness string, times int) {
	for range times {
		b.end(worker, "t", Failed)
		b.end(witness, "t", OK)
	}
}

func (b *bench) want(t *testing.T, worker string, tier placement.Tier, why Reason) {
	t.Helper()
	for _, s := range b.Status() {
		if s.Worker == worker && (s.Tier != tier || s.Reason != why) {
			t.Fatalf("%s is %s (%s), want %s (%s)", worker, s.Tier, s.Reason, tier, why)
		}
	}
}

func (b *bench) wait(d time.Duration) []Change {
	b.now = b.now.Add(d)
	return b.Tick(b.now)
}

func TestProbationEndsAfterSuccesses(t *testing.T) {
	b := &bench{New(Defaults()), epoch}
	b.Joined(b.now, "w0", "domain")
	b.want(t, "w0", placement.Probation, NewWorker)
	b.end("w0", "t", OK)
	b.end("w0", "t", OK)
	b.want(t, "w0", placement.Probation, NewWorker)
	changes := b.end("w0", "t", OK)
	if len(changes) != 1 || changes[0].To != placement.Healthy || changes[0].Reason != Proven {
		t.Fatalf("changes %+v", changes)
	}
}

func TestEjectionBacksOffAndReturnsThroughProbation(t *testing.T) {
	b := newBench(8)
	b.convict("w0", "w1", 3)
	b.want(t, "w0", placement.Ejected, FailsAcross)
	base := Defaults().EjectBase
	for _, length := range []time.Duration{base, 2 * base, 4 * base} {
		until := b.Status()[0].Until
		jitter := time.Duration(Defaults().EjectJitter*float64(length)) + run
		if got := until.Sub(b.now); got < length-jitter || got > length+jitter {
			t.Fatalf("ejected for %v, want %v with jitter", got, length)
		}
		b.wait(until.Sub(b.now) - time.Millisecond)
		b.want(t, "w0", placement.Ejected, FailsAcross)
		b.wait(time.Millisecond)
		b.want(t, "w0", placement.Probation, EjectionOver)
		b.convict("w0", "w1", 1)
		b.want(t, "w0", placement.Ejected, FailsAcross)
	}
}

func TestFailuresWithoutWitnessEjectNobody(t *testing.T) {
	b := newBench(8)
	for range 20 {
		b.end("w0", "only here", Failed)
	}
	b.wait(Defaults().HoldFor)
	b.want(t, "w0", placement.Suspect, Failing)
	b.wait(Defaults().ChargeFor)
	b.want(t, "w0", placement.Healthy, Cleared)
}

func TestWitnessThatStartedEarlierProvesNothing(t *testing.T) {
	// Symptom: workers are ejected whenever a template goes bad.
	// Sequence: tasks are running when the template's back end goes; those
	// that started before complete, those that start after fail.
	// Cause: the earlier ones were taken as proof that the template works.
	b := newBench(8)
	b.end("w0", "t", Failed)
	b.Ended(b.now, "w1", "t", OK, 3*run, run)
	b.want(t, "w0", placement.Ejected, AwaitingEvidence)
	b.Ended(b.now.Add(run), "w1", "t", OK, run, run)
	b.want(t, "w0", placement.Probation, OnTrial)
}

func TestTemplateThatFailsEverywhereIsSuspended(t *testing.T) {
	// Symptom: many workers get no tasks while one template is broken.
	// Sequence: a template fails on one worker after the other.
	// Cause: each of the workers was charged with it.
	b := newBench(40)
	for i := range 40 {
		b.end(fmt.Sprint("w", i), "bad", Failed)
	}
	charges := 0
	for _, s := range b.Status() {
		charges += s.Charges
	}
	if charges != maxAccused {
		t.Fatalf("%d workers charged, want %d", charges, maxAccused)
	}
	b.wait(Defaults().HoldFor)
	for range trustAgain {
		b.end("w39", "bad", OK) // the template was mended
	}
	for _, s := range b.Status() {
		if s.Score > 0 {
			t.Errorf("%s has score %.1f from the time when the template was bad", s.Worker, s.Score)
		}
	}
}

func TestOneJobWithBadInputCountsOnce(t *testing.T) {
	b := newBench(8)
	for range 4 {
		b.Ended(b.now.Add(run), "w0", "t", Failed, run, run)
	}
	b.now = b.now.Add(run)
	b.end("w1", "t", OK)
	if score := b.Status()[0].Score; score > 1 {
		t.Fatalf("score %.2f after four tasks of one batch, want at most 1", score)
	}
}

func TestFloorKeepsDomainServing(t *testing.T) {
	// Symptom: a failure domain has no worker left and refuses everything.
	// Sequence: a shared fault makes most of its workers fail.
	// Cause: each ejection was right by itself.
	b := newBench(8)
	for i := range 6 {
		b.convict(fmt.Sprint("w", i), "w7", 8)
	}
	ejected := 0
	for _, s := range b.Status() {
		if s.Tier == placement.Ejected {
			ejected++
		}
	}
	if ejected != 2 { // a quarter of 8
		t.Fatalf("%d of 8 ejected, want 2", ejected)
	}
	b.want(t, "w5", placement.Suspect, EjectionFloor)
}

func TestSilentLeavingReconnected(t *testing.T) {
	b := newBench(2)
	b.Silent(b.now, "w0")
	b.want(t, "w0", placement.Ejected, WorkerSilent)
	b.Reconnected(b.now, "w0")
	b.want(t, "w0", placement.Probation, NewWorker)
	b.Leaving(b.now, "w0")
	b.wait(time.Hour)
	b.want(t, "w0", placement.Ejected, WorkerLeaving)
	b.Removed("w0")
	if b.Tier("w0") != placement.Ejected || len(b.Status()) != 1 {
		t.Fatal("w0 is still known")
	}
}

func TestRestartsOverAndOverEject(t *testing.T) {
	b := newBench(8)
	for range 3 {
		for range 8 {
			b.end("w0", "t", Lost)
		}
		b.Silent(b.now, "w0")
		b.Reconnected(b.now, "w0")
	}
	b.want(t, "w0", placement.Ejected, FailsAcross)
}

func TestSlowWorkerAgainstOthers(t *testing.T) {
	b := newBench(8)
	pace := func(factor func(worker int) float64) {
		for i := range 8 * 200 {
			took := time.Duration(factor(i%8) * float64(run))
			b.now = b.now.Add(took)
			b.Ended(b.now, fmt.Sprint("w", i%8), "t", OK, took, run)
		}
	}
	pace(func(int) float64 { return 3 }) // the estimate is wrong for all
	b.want(t, "w0", placement.Healthy, Proven)
	pace(func(worker int) float64 {
		if worker == 0 {
			return 9
		}
		return 3
	})
	b.want(t, "w0", placement.Slow, SlowerThanOthers)
	b.want(t, "w1", placement.Healthy, Proven)
	b.wait(Defaults().SlowFor)
	b.want(t, "w0", placement.Healthy, Cleared)
}

func TestStalledWorker(t *testing.T) {
	b := newBench(2)
	b.Started(b.now, "w0", "t", run)
	b.wait(Defaults().StallMin)
	b.want(t, "w0", placement.Healthy, Proven)
	b.wait(time.Millisecond)
	b.want(t, "w0", placement.Suspect, Stalled)
	b.Ended(b.now, "w0", "t", OK, Defaults().StallMin, run)
	b.want(t, "w0", placement.Healthy, Cleared)
}

func TestMemoryIsBounded(t *testing.T) {
	settings := Defaults()
	settings.MaxTemplates = 10
	b := &bench{New(settings), epoch}
	b.Joined(b.now, "w0", "domain")
	for i := range 100 {
		b.end("w0", fmt.Sprint("t", i), Failed)
	}
	if templates := len(b.Templates()); templates > 10 {
		t.Errorf("%d templates kept, want 10", templates)
	}
	if charges := b.Status()[0].Charges; charges > maxCharges {
		t.Errorf("%d open charges, want at most %d", charges, maxCharges)
	}
}

func TestSettingsValidate(t *testing.T) {
	s := Defaults()
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	s.MaxEjectedShare = 1
	if s.Validate() == nil || (Settings{}).Validate() == nil {
		t.Fatal("bad settings passed")
	}
}

// random applies random events and returns the trace and the first breach:
// more than the stated share excluded, or a change that does not follow on the
// tier before.
func random(seed uint64) (trace string, err error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := newBench(12)
	tiers := map[string]placement.Tier{}
	for _, s := range b.Status() {
		tiers[s.Worker] = s.Tier
	}
	for range 400 {
		id := fmt.Sprint("w", rng.IntN(12))
		var changes []Change
		switch rng.IntN(20) {
		case 0:
			changes = b.wait(time.Duration(rng.IntN(10)) * time.Second)
		case 1:
			changes = b.Silent(b.now, id)
		case 2, 3:
			changes = b.Reconnected(b.now, id)
		default:
			outcome := OK
			if rng.IntN(12) < 3*int(id[1]-'0')%12 { // each worker fails at its own rate
				outcome = Failed
			}
			changes = b.end(id, fmt.Sprint("t", rng.IntN(3)), outcome)
		}
		trace += fmt.Sprint(changes)
		for _, c := range changes {
			if tiers[c.Worker] != c.From {
				return trace, fmt.Errorf("%+v follows on %s", c, tiers[c.Worker])
			}
			tiers[c.Worker] = c.To
		}
		if excluded := b.domains["domain"].excluded; excluded > 12/4 {
			return trace, fmt.Errorf("%d of 12 excluded", excluded)
		}
	}
	return trace, consistent(b, tiers)
}

func consistent(b *bench, tiers map[string]placement.Tier) error {
	for _, s := range b.Status() {
		if tiers[s.Worker] != s.Tier {
			return fmt.Errorf("%s is %s, the changes say %s", s.Worker, s.Tier, tiers[s.Worker])
		}
	}
	for _, tpl := range b.templates {
		for _, w := range tpl.accused {
			if w.charge(tpl) < 0 {
				return fmt.Errorf("%s is accused by %s without a charge", w.id, tpl.name)
			}
		}
	}
	return nil
}

func TestChangesAddUpUnderRandomEvents(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("floor holds, changes add up, replay is equal", prop.ForAll(func(seed uint64) (bool, error) {
		trace, err := random(seed)
		again, _ := random(seed)
		return trace == again && err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func BenchmarkEnded(b *testing.B) {
	for _, n := range []int{50, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newBench(n)
			ids := table.sortedIDs()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				table.end(ids[i%n], "t", OK)
			}
		})
	}
}

func BenchmarkTick2900(b *testing.B) {
	table := newBench(2900)
	b.ReportAllocs()
	for b.Loop() {
		table.Tick(table.now)
	}
}
