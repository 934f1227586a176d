package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

var (
	standard = Resources{Slots: 8, MilliCPU: 16000, MemoryMiB: 65536, Milliwatts: 200000}
	small    = Resources{Slots: 1, MilliCPU: 1000, MemoryMiB: 512, Milliwatts: 10000}
)

// fleet returns a Placer with n healthy workers, 8 to a rack.
func fleet(n int, capacity Resources) *Placer {
	p := New(Defaults())
	for i := range n {
		p.SetWorker(Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Capacity: capacity})
	}
	return p
}

func placed(out []Assignment) int {
	sum := 0
	for _, a := range out {
		sum += a.Count
	}
	return sum
}

func wantReason(t *testing.T, got Refusal, want reason.Code) {
	t.Helper()
	if got.Reason != want {
		t.Fatalf("refusal %+v, want %q", got, want)
	}
}

func TestPlaceBatchesAndSpreadsOverRacks(t *testing.T) {
	p := fleet(24, standard)
	out, refusal := p.Place(Request{Count: 12, Each: small}, nil)
	wantReason(t, refusal, "")
	racks := map[string]bool{}
	for _, a := range out {
		racks[p.byID[a.Worker].Rack] = true
		if a.Count != defaultBatchSize {
			t.Errorf("%s got %d tasks, want %d", a.Worker, a.Count, defaultBatchSize)
		}
	}
	if len(out) != 3 || len(racks) != 3 {
		t.Fatalf("%d workers in %d racks, want 3 in 3", len(out), len(racks))
	}
}

func TestPlacePartlyThenRefuses(t *testing.T) {
	p := fleet(3, standard)
	out, refusal := p.Place(Request{Count: 100, Each: small}, nil)
	wantReason(t, refusal, NoFreeSlot)
	if placed(out) != 24 || len(out) != 3 || p.FreeSlots() != 0 {
		t.Fatalf("placed %d on %d, %d slots left", placed(out), len(out), p.FreeSlots())
	}
	p.Free("w0001", small, 2)
	out, _ = p.Place(Request{Count: 9, Each: small}, out)
	if len(out) != 1 || out[0] != (Assignment{"w0001", 2}) {
		t.Fatalf("after Free got %v", out)
	}
}

func TestRefusalNamesTheShortResource(t *testing.T) {
	cases := map[reason.Code]Resources{
		ShortOfMilliwatts:   {Milliwatts: 150000},
		ShortOfMemory:       {MemoryMiB: 60000},
		ShortOfCPU:          {MilliCPU: 15000},
		ShortOfAccelerators: {Accelerators: 1},
	}
	for want, each := range cases {
		capacity := standard
		capacity.Accelerators = 1
		p := fleet(2, capacity)
		out, refusal := p.Place(Request{Count: 3, Each: each}, nil)
		wantReason(t, refusal, want)
		if placed(out) != 2 {
			t.Errorf("%s: placed %d, want 2", want, placed(out))
		}
		_, refusal = p.Place(Request{Count: 1, Each: each}, nil) // remembered
		wantReason(t, refusal, want)
	}
	p := fleet(2, standard)
	_, refusal := p.Place(Request{Count: 1, Each: Resources{Accelerators: 1}}, nil)
	wantReason(t, refusal, reason.NeverFits)
	_, refusal = p.Place(Request{Count: 1, Each: Resources{Milliwatts: 2 * standard.Milliwatts}}, nil)
	wantReason(t, refusal, ShortOfMilliwatts)
	_, refusal = New(Defaults()).Place(Request{Count: 1}, nil)
	wantReason(t, refusal, reason.NoWorkers)
}

func TestTiersInOrder(t *testing.T) {
	p := fleet(5, standard)
	for i, tier := range []Tier{Suspect, Slow, Ejected, Probation, Healthy} {
		p.SetTier(fmt.Sprintf("w%04d", i), tier)
	}
	out, refusal := p.Place(Request{Count: 30, Each: small}, nil)
	wantReason(t, refusal, NoFreeSlot)
	want := []Assignment{{"w0004", 8}, {"w0003", 1}, {"w0001", 8}, {"w0000", 1}}
	if fmt.Sprint(out) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", out, want)
	}
	p.SetTier("w0004", Ejected)
	p.SetTier("w0001", Ejected)
	_, refusal = p.Place(Request{Count: 1, Each: small}, out)
	wantReason(t, refusal, OneAtATime)
}

func TestProbationGetsTrialsUnderLightLoad(t *testing.T) {
	// Symptom: a new worker never leaves probation.
	// Sequence: it joins a fleet that has free slots on healthy workers.
	// Cause: probation comes after healthy, so its turn never came.
	for name, ids := range map[string][]string{"all": nil, "allowed": {"w0000", "w0001", "w0002"}} {
		p := fleet(3, standard)
		p.SetTier("w0002", Probation)
		var set AllowedSet
		if ids != nil {
			set = p.Allow(ids)
		}
		trials := 0
		for range 4 * defaultTrialEvery {
			out, _ := p.Place(Request{Count: 1, Each: small, Allowed: set}, nil)
			p.Free(out[0].Worker, small, 1)
			if out[0].Worker == "w0002" {
				trials++
			}
		}
		if trials != 4 {
			t.Errorf("%s: %d trials in 4 periods", name, trials)
		}
	}
}

func TestAllowedSetFollowsMembership(t *testing.T) {
	p := fleet(4, standard)
	set := p.Allow([]string{"w0001", "w0001", "later"})
	out, refusal := p.Place(Request{Count: 20, Each: small, Allowed: set}, nil)
	wantReason(t, refusal, NoFreeSlot)
	if len(out) != 1 || out[0] != (Assignment{"w0001", 8}) {
		t.Fatalf("got %v", out)
	}
	p.RemoveWorker("w0001")
	_, refusal = p.Place(Request{Count: 1, Each: small, Allowed: set}, out)
	wantReason(t, refusal, reason.NotAllowedHere)
	p.SetWorker(Worker{ID: "later", Rack: "r9", Capacity: standard})
	out, _ = p.Place(Request{Count: 1, Each: small, Allowed: set}, out)
	if len(out) != 1 || out[0].Worker != "later" {
		t.Fatalf("got %v", out)
	}
}

func TestOccupiedCapacityIsNotPlacedOn(t *testing.T) {
	// Symptom: a worker rejects starts as too many after a change of holder.
	// Sequence: the holder dies, its tasks run on, the next holder places.
	// Cause: the new holder took the worker to be idle.
	p := fleet(1, standard)
	p.Occupy("w0000", small, 6)
	out, _ := p.Place(Request{Count: 8, Each: small}, nil)
	if placed(out) != 2 {
		t.Fatalf("placed %d beside 6 running, want 2", placed(out))
	}
	if !p.Free("w0000", small, 8) || p.Free("w0000", small, 1) {
		t.Fatal("Free must accept 8 tasks and reject a ninth")
	}
	if got := p.Status()[0].Misfreed; got != 1 {
		t.Fatalf("misfreed %d, want 1", got)
	}
}

func TestMoreWorkersGainThanAreRemembered(t *testing.T) {
	// Symptom: tasks wait although workers have room.
	// Sequence: a size fits nowhere, then tasks end on very many workers.
	// Cause: only some of these workers were remembered as worth a look.
	p := fleet(2*maxGained, standard)
	heavy := Resources{Milliwatts: standard.Milliwatts}
	p.Place(Request{Count: 1 + 2*maxGained, Each: heavy}, nil)
	for _, w := range p.workers {
		p.Free(w.ID, heavy, 1)
	}
	out, _ := p.Place(Request{Count: 2 * maxGained, Each: heavy}, nil)
	if placed(out) != 2*maxGained {
		t.Fatalf("placed %d, want %d", placed(out), 2*maxGained)
	}
}

func TestSettingsValidate(t *testing.T) {
	bad := []Settings{{}, {Policy: Spread, BatchSize: 65, TrialEvery: 1}, {Policy: Random, BatchSize: 1}}
	for _, s := range bad {
		if s.Validate() == nil {
			t.Errorf("%+v passed", s)
		}
	}
}

// run applies random operations to a Placer and returns the first breach of
// the accounts: more in use than the capacity, two tasks on a worker that
// takes one, a wrong total, a reachable task refused, or an unequal replay.
func run(seed uint64, policy Policy) (trace, breach string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := Defaults()
	settings.Policy = policy
	p := New(settings)
	shapes := []Resources{small, {MemoryMiB: 30000}, {Milliwatts: 90000}, {Slots: 3}, {Accelerators: 1}}
	running := map[Assignment]int{} // worker and shape to tasks
	set := p.Allow([]string{"w1", "w3", "w5", "w7"})
	for range 200 {
		id := fmt.Sprintf("w%d", rng.IntN(10))
		shape := rng.IntN(len(shapes))
		switch rng.IntN(7) {
		case 0:
			if p.byID[id] == nil {
				p.SetWorker(Worker{id, fmt.Sprint("r", rng.IntN(3)), standard, Tier(rng.IntN(5))})
				p.byID[id].Capacity.Accelerators = 0
			}
		case 1:
			p.SetTier(id, Tier(rng.IntN(5)))
		case 2:
			p.RemoveWorker(id)
			for shape := range shapes {
				delete(running, Assignment{id, shape})
			}
		case 3:
			if n := running[Assignment{id, shape}]; n > 0 {
				if !p.Free(id, shapes[shape], n) {
					return trace, "a task that was placed could not be freed"
				}
				delete(running, Assignment{id, shape})
			}
		default:
			req := Request{Count: 1 + rng.IntN(12), Each: shapes[shape]}
			if rng.IntN(2) == 0 {
				req.Allowed = set
			}
			out, refusal := p.Place(req, nil)
			trace += fmt.Sprint(out, refusal.Reason)
			for _, a := range out {
				if p.byID[a.Worker] == nil {
					return trace, "tasks were placed on a worker that is gone"
				}
				running[Assignment{a.Worker, shape}] += a.Count
			}
			if placed(out) < req.Count && req.Allowed == nil && p.Explain(req.Each).Fit > 0 {
				return trace, "tasks were refused although a worker fits"
			}
		}
		if breach := audit(p); breach != "" {
			return trace, breach
		}
	}
	return trace, ""
}

func audit(p *Placer) string {
	offered := 0
	for _, w := range p.workers {
		offered += int(w.offered())
		if !w.Capacity.fits(&w.Used, 1) {
			return fmt.Sprintf("%s uses %+v", w.ID, w.Used)
		}
		if (w.shelf != nil) != (w.offered() > 0) {
			return w.ID + " is in the index without free slots, or the reverse"
		}
	}
	if offered != p.FreeSlots() {
		return fmt.Sprintf("FreeSlots %d, sum %d", p.FreeSlots(), offered)
	}
	return ""
}

func TestAccountsHoldUnderRandomOperations(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	for _, policy := range []Policy{Spread, Random} {
		properties.Property(string(policy), prop.ForAll(func(seed uint64) (bool, error) {
			trace, breach := run(seed, policy)
			if breach != "" {
				return false, fmt.Errorf("%s", breach)
			}
			again, _ := run(seed, policy)
			return trace == again, nil
		}, gen.UInt64()))
	}
	properties.TestingRun(t)
}
