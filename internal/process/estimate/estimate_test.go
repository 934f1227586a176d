package estimate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySeed = 20261202

var declared = Declared{Time: 200 * time.Millisecond, Milliwatts: 30_000, MemoryMiB: 512}

// sample is a task that uses a fraction of what was declared.
func sample(permille int) Sample {
	return Sample{
		Time:       declared.Time * time.Duration(permille) / 1000,
		Milliwatts: declared.Milliwatts * uint32(permille) / 1000,
		MemoryMiB:  declared.MemoryMiB * uint32(permille) / 1000,
	}
}

func learn(e *Estimator, n, permille int) {
	for range n {
		e.Observe("fit-check", "ventilsvaz", sample(permille))
	}
}

func charge(e *Estimator) uint32 {
	return e.Charge("fit-check", "ventilsvaz", declared).Milliwatts
}

func TestPriorGivesWayToEvidence(t *testing.T) {
	e := New(DefaultSettings())
	if got := charge(e); got != 45_000 {
		t.Fatalf("without samples %d mW are charged, want declared and margin", got)
	}
	learn(e, 16, 333)
	if got := charge(e); got != 22_500 {
		t.Fatalf("after half the trust %d mW are charged, want 22500", got)
	}
	learn(e, 16, 333)
	got := e.Charge("fit-check", "ventilsvaz", declared)
	if got.Milliwatts != 10_000 || got.Basis != ByMeasurement || got.Samples != 32 {
		t.Fatalf("over-declared by 3: %+v, want the learned 9990 mW, rounded up to 16", got)
	}
}

// Guards against a template that uses three times the power it is charged: after many
// small samples its input changes, and the old samples must not hide the new ones.
func TestRiseAndFallAreFollowed(t *testing.T) {
	e := New(DefaultSettings())
	learn(e, 1000, 500)
	rise := 0
	for rise < 300 && charge(e) < 45_000 {
		learn(e, 1, 1500)
		rise++
	}
	if rise > 20 {
		t.Errorf("a rise was followed after %d samples, want at most 20", rise)
	}
	learn(e, 1000, 1500)
	fall := 0
	for fall < 300 && charge(e) > 15_008 {
		learn(e, 1, 500)
		fall++
	}
	if fall > 128 {
		t.Errorf("a fall was followed after %d samples, want at most 128", fall)
	}
	t.Logf("rise followed after %d samples, fall after %d", rise, fall)
}

// Guards against power above the charge after throttling. Tasks of a worker at half
// speed show half the power; if its samples were not scaled to full speed, twice as
// many tasks would be started.
func TestSlowedSamplesAreScaled(t *testing.T) {
	e := New(DefaultSettings())
	half := sample(500)
	half.Permille = 500
	half.Time = 2 * declared.Time
	for range 100 {
		e.Observe("fit-check", "ventilsvaz", half)
	}
	got := e.Charge("fit-check", "ventilsvaz", declared)
	if got.Milliwatts != declared.Milliwatts || got.Time != declared.Time {
		t.Fatalf("charged %+v, want full speed figures", got)
	}
}

func TestCorrectionRaisesAndDecays(t *testing.T) {
	e := New(DefaultSettings())
	learn(e, 100, 1000)
	e.Underestimated("fit-check", "ventilsvaz", 1500)
	if got := charge(e); got != 45_000 {
		t.Fatalf("corrected charge is %d mW, want 45000", got)
	}
	learn(e, 4*64, 1000)
	if got := charge(e); got < 30_000 || got > 31_000 {
		t.Fatalf("after four windows the charge is %d mW, want near 30000", got)
	}
}

func TestQuantileIsWithinABucket(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(p)
	properties.Property("no less than the quantile, at most 1/16 above", prop.ForAll(
		func(values []uint32) bool {
			var a, b window
			for i, v := range values {
				[]*window{&a, &b}[i%2].add(v)
			}
			got := quantileOf(&a, &b, 950)
			below, near := 0, 0
			for _, v := range values {
				if v <= got {
					below++
				}
				if v <= got && uint64(v)*17/16 >= uint64(got) {
					near++
				}
			}
			return below*1000 >= len(values)*950 && near > 0
		}, gen.SliceOfN(200, gen.UInt32Range(0, 1<<rangeBits-1))))
	properties.TestingRun(t)
}

// Guards against unbounded memory: as accounts and templates come and go, the estimator
// must not keep a key for every pair ever seen.
func TestKeysAndMemoryAreBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := New(DefaultSettings())
	for account := range 44 {
		for template := range 20 {
			e.Observe(fmt.Sprint("template-", template), fmt.Sprint("account-", account), sample(1000))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d keys take %d bytes", e.Len(), used)
	if e.Len() != 880 || used > 2_000_000 {
		t.Errorf("%d keys take %d bytes, want 880 in under 2 MB", e.Len(), used)
	}
	learn(e, 100, 300)
	for i := range 5000 {
		e.Observe("t", fmt.Sprint(i), sample(1000))
		e.Charge("fit-check", "ventilsvaz", declared)
	}
	if e.Len() != DefaultSettings().MaxKeys {
		t.Errorf("%d keys are kept, want %d", e.Len(), DefaultSettings().MaxKeys)
	}
	if got := charge(e); got != 9_008 {
		t.Errorf("a key in use was evicted: %d mW charged", got)
	}
	runtime.KeepAlive(e)
}

func BenchmarkCharge(b *testing.B) {
	e := New(DefaultSettings())
	learn(e, 300, 800)
	b.ReportAllocs()
	for b.Loop() {
		charge(e)
	}
}

func BenchmarkObserve(b *testing.B) {
	e := New(DefaultSettings())
	b.ReportAllocs()
	for b.Loop() {
		learn(e, 1, 800)
	}
}
