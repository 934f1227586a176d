package estimate

import "time"

// permilleFull is the whole of something, or full speed, in thousandths.
const permilleFull = 1000

// Declared is what a template or a request says one task uses.
type Declared struct {
	Time       time.Duration
	Milliwatts uint32 // above idle
	MemoryMiB  uint32
}

// Basis says which figure a charge rests on.
type Basis string

// Bases of an [Estimate].
const (
	ByDeclaration Basis = "declared"
	ByMeasurement Basis = "learned"
)

// Estimate is what one task is expected to use at most.
type Estimate struct {
	Time       time.Duration
	Milliwatts uint32 // above idle; what admission charges
	MemoryMiB  uint32
	Samples    int   // that the estimate rests on, up to two windows
	Basis      Basis // of the draw
}

// Sample is what one ended task used.
type Sample struct {
	Time       time.Duration
	Milliwatts uint32 // above idle
	MemoryMiB  uint32
	// Permille is the speed the worker ran at, in thousandths; 0 stands for
	// full speed. Time and draw are scaled to full speed, on the assumption
	// that both go with speed; otherwise throttling would teach the estimator
	// that tasks need little, and more of them would be started.
	Permille uint32
}

// Settings are the policy of an [Estimator].
type Settings struct {
	// Window is the number of samples in a window, at most 255.
	Window int
	// Trust is the number of samples after which the declared figure counts
	// for nothing.
	Trust int
	// MarginPermille is added to a declared figure without any sample.
	MarginPermille int
	// TimePermille, PowerPermille and MemoryPermille are the quantiles.
	TimePermille   int
	PowerPermille  int
	MemoryPermille int
	// MaxKeys bounds the pairs of template and account.
	MaxKeys int
}

// DefaultSettings follow a rise in draw after at most 20 samples and a fall
// after at most 128.
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

// maxCorrection bounds the correction that [Estimator.Underestimated] makes.
const maxCorrection = 4 * permilleFull

// refreshEvery is how many samples pass before a quantile is computed again.
const refreshEvery = 8

// key names a template of a client account.
type key struct{ template, account string }

// entry is what is known of one key.
type entry struct {
	key     key
	used    uint64    // value of the estimator's use counter
	current int       // index of the window that is being filled
	seen    int       // samples, up to two windows
	stale   int       // samples since the quantiles were computed
	learned [3]uint32 // quantiles in microseconds, milliwatts, mebibytes
	series  [3][2]window
	// correction raises the learned draw, in thousandths.
	correction uint32
}

// Series of an entry.
const (
	seriesTime = iota
	seriesPower
	seriesMemory
)

// unitOf is the resolution of each series: the range reaches 41 s, 4 kW and
// 256 GiB. Greater values share the last bucket and its greatest sample.
var unitOf = [3]uint32{
	seriesTime:   160, // microseconds
	seriesPower:  16,  // milliwatts
	seriesMemory: 1,   // mebibytes
}

// Estimator learns what tasks use.
type Estimator struct {
	settings Settings
	entries  map[key]*entry
	uses     uint64
}

// New returns an estimator that has seen nothing.
func New(settings Settings) *Estimator {
	settings.Window = min(max(settings.Window, 1), maxWindow)
	settings.Trust = max(settings.Trust, 1)
	settings.MaxKeys = max(settings.MaxKeys, 1)
	return &Estimator{settings: settings, entries: map[key]*entry{}}
}

// Charge says what to reserve for one task.
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

// prior is the estimate without any sample.
func (e *Estimator) prior(d Declared) Estimate {
	return Estimate{
		Time:       micros(e.withMargin(microsOf(d.Time))),
		Milliwatts: e.withMargin(d.Milliwatts),
		MemoryMiB:  e.withMargin(d.MemoryMiB),
		Basis:      ByDeclaration,
	}
}

// withMargin adds the margin for a figure that nothing confirms.
func (e *Estimator) withMargin(declared uint32) uint32 {
	return clamp(uint64(declared) * uint64(permilleFull+e.settings.MarginPermille) / permilleFull)
}

// blend is the greater of the learned figure and of the declared one, which
// counts for less with each sample.
func (e *Estimator) blend(n *entry, declared, learned uint32) uint32 {
	doubt := max(0, e.settings.Trust-n.seen)
	rest := uint64(e.withMargin(declared)) * uint64(doubt) / uint64(e.settings.Trust)
	return max(uint32(rest), learned)
}

// Observe learns from an ended task.
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

// turn starts a new window in place of the older one.
func (n *entry) turn() {
	n.current = 1 - n.current
	for i := range n.series {
		n.series[i][n.current] = window{}
	}
}

// refresh computes the learned quantiles and takes a quarter off a correction,
// since the samples show the draw themselves.
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

// Underestimated tells that a worker which ran tasks of this key drew permille
// thousandths of what was charged there. The learned draw is raised by as
// much; a quarter of the correction goes with every 8 samples.
func (e *Estimator) Underestimated(template, account string, permille uint32) {
	n := e.entries[key{template, account}]
	if n == nil || permille <= permilleFull {
		return
	}
	n.correction = min(max(n.correction, permille), maxCorrection)
}

// Len is the number of keys that are kept.
func (e *Estimator) Len() int { return len(e.entries) }

// find returns a key's entry, making room for it if it is new.
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

// touch notes a use.
func (e *Estimator) touch(n *entry) {
	e.uses++
	n.used = e.uses
}

// evict drops the key that was not used for longest.
func (e *Estimator) evict() {
	var oldest *entry
	for _, n := range e.entries {
		if oldest == nil || n.used < oldest.used {
			oldest = n
		}
	}
	delete(e.entries, oldest.key)
}

// corrected raises a learned draw.
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
