package policy

import (
	"maps"
	"slices"
	"time"
)

// arrivalMemory is the time constant of Arrivals: long enough for a mean over some tens of
// submissions, short enough to follow a burst within the time that a submission may wait.
const arrivalMemory = 500 * time.Millisecond

// ArrivalRate is the rate at which work of one priority arrives, as the CPU that it keeps busy.
type ArrivalRate struct {
	Priority int
	CPUMilli int64 // in thousandths of a core
}

// Arrivals measures the rate at which work arrives, by priority. The zero value has seen none.
type Arrivals struct {
	rates decaying[int] // thousandths of a core
}

// Add records that work of a priority has arrived: tasks that take cpuMilli thousandths of a core
// together, for the given time. A negative cpuMilli takes back work that has left unserved.
func (a *Arrivals) Add(now time.Duration, priority int, cpuMilli int64, runTime time.Duration) {
	a.rates.decay(now, arrivalMemory, 0)
	a.rates.add(priority, float64(cpuMilli)*float64(runTime)/float64(arrivalMemory))
}

// Rates returns the present rates, the highest priority first. Rates below a thousandth of a core
// are left out.
func (a *Arrivals) Rates(now time.Duration) []ArrivalRate {
	a.rates.decay(now, arrivalMemory, 0)
	var out []ArrivalRate
	for _, p := range slices.Sorted(maps.Keys(a.rates.sums)) {
		if a.rates.sums[p] >= 1 {
			out = append(out, ArrivalRate{Priority: p, CPUMilli: int64(a.rates.sums[p])})
		} else {
			delete(a.rates.sums, p)
		}
	}
	return out
}
