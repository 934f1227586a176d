package estimate

import "time"

// permilleFull is 100 percent, or full speed, in thousandths.
const permilleFull = 1000

// Declared is what a template or request declares that one task uses.
type Declared struct {
	Time       time.Duration
	Milliwatts uint32 // above idle
	MemoryMiB  uint32
}

// Basis says whether a charge is based on the declared or the learned value.
type Basis string

// Bases of an [Estimate].
const (
	ByDeclaration Basis = "declared"
	ByMeasurement Basis = "learned"
)

// Estimate is an upper estimate of what one task uses.
type Estimate struct {
	Time       time.Duration
	Milliwatts uint32 // above idle; what admission charges
	MemoryMiB  uint32
	Samples    int   // number of samples used, up to two windows
	Basis      Basis // of Milliwatts
}

// Sample is what one ended task used.
type Sample struct {
	Time       time.Duration
	Milliwatts uint32 // above idle
	MemoryMiB  uint32
	// Permille is the speed of the worker in thousandths; 0 is full speed. Time
	// and power are scaled to full speed, assuming that speed changes both in
	// proportion. Otherwise the estimator would learn from throttled workers
	// that tasks need little power, and too many would be started.
	Permille uint32
}

// Settings are the parameters of an [Estimator].
type Settings struct {
	// Window is the number of samples in a window, at most 255.
	Window int
	// Trust is the number of samples after which the declared value is ignored.
	Trust int
	// MarginPermille is the margin, in thousandths, added to a declared value.
	MarginPermille int
	// TimePermille, PowerPermille and MemoryPermille are the quantiles that are
	// charged, in thousandths.
	TimePermille   int
	PowerPermille  int
	MemoryPermille int
	// MaxKeys bounds the number of pairs of template and account.
	MaxKeys int
}

// DefaultSettings returns settings that follow a rise in power after at most 20
// samples and a fall after at most 128.
func DefaultSettings() Settings {
	return Settings{
		Window:         64,
		Trust:          32,
		MarginPermille: 500,
		TimePermille:   950,
		PowerPermille:  900,
		MemoryPermille: 990,
		MaxKeys:        1024,
	}
}

// maxCorrection bounds the correction by [Estimator.Underestimated], in
// thousandths.
const maxCorrection = 4 * permilleFull

// refreshEvery is the number of samples after which quantiles are recomputed.
const refreshEvery = 8

// key names a template of a client account.
type key struct{ template, account string }

// entry is the learned state of one key.
type entry struct {
	key     key
	used    uint64    // value of the estimator's use counter
	current int       // index of the window that is being filled
	seen    int       // samples, up to two windows
	stale   int       // samples since the quantiles were computed
	learned [3]uint32 // quantiles in microseconds, milliwatts, mebibytes
	series  [3][2]window
	// correction is the factor on the learned power, in thousandths.
	correction uint32
}

// Series of an entry.
const (
	seriesTime = iota
	seriesPower
	seriesMemory
)

// unitOf is the resolution of each series. It limits the range to 41 s, 4 kW and
// 256 GiB; greater values share the last bucket and count as its greatest sample.
var unitOf = [3]uint32{
	seriesTime:   160, // microseconds
	seriesPower:  16,  // milliwatts
	seriesMemory: 1,   // mebibytes
}

// Estimator learns the resource usage of tasks.
type Estimator struct {
	settings Settings
	entries  map[key]*entry
	uses     uint64
}

// New returns an estimator without samples.
func New(settings Settings) *Estimator {
	settings.Window = min(max(settings.Window, 1), maxWindow)
	settings.Trust = max(settings.Trust, 1)
	settings.MaxKeys = max(settings.MaxKeys, 1)
	return &Estimator{settings: settings, entries: map[key]*entry{}}
}

// Charge returns what to reserve for one task.
func (e *Estimator) Charge(template, account string, declared Declared) Estimate {
	n := e.entries[key{template, account}]
	if n == nil {
		return e.prior(declared)
	}
	e.touch(n)
	power := corrected(n.learned[seriesPower], n.correction)
	estimate := Estimate{
		Time:       micros(e.blend(n, microsOf(declared.Time), n.learned[seriesTime])),
		Milliwatts: e.blend(n, declared.Milliwatts, power),
		MemoryMiB:  e.blend(n, declared.MemoryMiB, n.learned[seriesMemory]),
		Samples:    n.seen,
		Basis:      ByDeclaration,
	}
	if estimate.Milliwatts == power {
		estimate.Basis = ByMeasurement
	}
	return estimate
}

// prior returns the estimate for a key without samples.
func (e *Estimator) prior(d Declared) Estimate {
	return Estimate{
		Time:       micros(e.withMargin(microsOf(d.Time))),
		Milliwatts: e.withMargin(d.Milliwatts),
		MemoryMiB:  e.withMargin(d.MemoryMiB),
		Basis:      ByDeclaration,
	}
}

// withMargin adds the margin for a declared value.
func (e *Estimator) withMargin(declared uint32) uint32 {
	return clamp(uint64(declared) * uint64(permilleFull+e.settings.MarginPermille) / permilleFull)
}

// blend returns the greater of the learned value and the declared one, whose weight
// decreases with each sample.
func (e *Estimator) blend(n *entry, declared, learned uint32) uint32 {
	doubt := max(0, e.settings.Trust-n.seen)
	rest := uint64(e.withMargin(declared)) * uint64(doubt) / uint64(e.settings.Trust)
	return max(uint32(rest), learned)
}

// Observe records the usage of an ended task.
func (e *Estimator) Observe(template, account string, s Sample) {
	n := e.find(key{template, account})
	if n.series[seriesPower][n.current].total >= uint8(e.settings.Window) {
		n.turn()
	}
	values := s.values()
	rises := false
	for i, v := range values {
		n.series[i][n.current].add(units(v, unitOf[i]))
		rises = rises || v > n.learned[i]
	}
	n.seen = min(n.seen+1, 2*e.settings.Window)
	n.stale++
	if n.stale >= refreshEvery || (rises && n.seen <= e.settings.Trust) {
		e.refresh(n)
	}
}

// values scales a sample to full speed.
func (s Sample) values() [3]uint32 {
	speed := uint64(s.Permille)
	if speed == 0 || speed > permilleFull {
		speed = permilleFull
	}
	return [3]uint32{
		seriesTime:   clamp(uint64(microsOf(s.Time)) * speed / permilleFull),
		seriesPower:  clamp(uint64(s.Milliwatts) * permilleFull / speed),
		seriesMemory: s.MemoryMiB,
	}
}

// turn replaces the older window with a new one.
func (n *entry) turn() {
	n.current = 1 - n.current
	for i := range n.series {
		n.series[i][n.current] = window{}
	}
}

// refresh recomputes the learned quantiles and reduces the correction by a quarter,
// since new samples show the higher power themselves.
func (e *Estimator) refresh(n *entry) {
	n.stale = 0
	n.correction -= (n.correction - permilleFull) / 4
	permille := [3]int{
		seriesTime:   e.settings.TimePermille,
		seriesPower:  e.settings.PowerPermille,
		seriesMemory: e.settings.MemoryPermille,
	}
	for i := range n.series {
		learned := quantileOf(&n.series[i][0], &n.series[i][1], permille[i])
		n.learned[i] = fromUnits(learned, unitOf[i])
	}
}

// Underestimated records that a worker that ran tasks of this key used permille
// thousandths of the power charged there. The learned power is raised by that
// factor; every 8 samples reduce the correction by a quarter.
func (e *Estimator) Underestimated(template, account string, permille uint32) {
	n := e.entries[key{template, account}]
	if n == nil || permille <= permilleFull {
		return
	}
	n.correction = min(max(n.correction, permille), maxCorrection)
}

// Len returns the number of stored keys.
func (e *Estimator) Len() int { return len(e.entries) }

// find returns a key's entry, creating it (and evicting another) if needed.
func (e *Estimator) find(k key) *entry {
	n := e.entries[k]
	if n == nil {
		if len(e.entries) >= e.settings.MaxKeys {
			e.evict()
		}
		n = &entry{key: k, correction: permilleFull}
		e.entries[k] = n
	}
	e.touch(n)
	return n
}

// touch marks an entry as most recently used.
func (e *Estimator) touch(n *entry) {
	e.uses++
	n.used = e.uses
}

// evict drops the least recently used key.
func (e *Estimator) evict() {
	var oldest *entry
	for _, n := range e.entries {
		if oldest == nil || n.used < oldest.used {
			oldest = n
		}
	}
	delete(e.entries, oldest.key)
}

// corrected applies a correction to the learned power.
func corrected(learned, permille uint32) uint32 {
	return clamp(uint64(learned) * uint64(permille) / permilleFull)
}

// clamp limits a value to 32 bits.
func clamp(v uint64) uint32 { return uint32(min(v, 1<<32-1)) }

// units rounds a value up to a unit of its series, so that no quantile is below
// the samples.
func units(v, unit uint32) uint32 { return clamp((uint64(v) + uint64(unit) - 1) / uint64(unit)) }

// fromUnits is the inverse of units.
func fromUnits(v, unit uint32) uint32 { return clamp(uint64(v) * uint64(unit)) }

// microsOf gives a duration in microseconds, at most 71 minutes.
func microsOf(d time.Duration) uint32 { return clamp(uint64(max(0, d) / time.Microsecond)) }

// micros is the inverse of microsOf.
func micros(v uint32) time.Duration { return time.Duration(v) * time.Microsecond }
