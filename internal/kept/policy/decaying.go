package policy

import (
	"math"
	"time"
)

// decaying are sums by key of what was added lately: each amount counts the less, the longer ago it was added. The zero
// value is empty.
type decaying[K comparable] struct {
	sums map[K]float64 // at the time at
	at   time.Duration
}

// decay reduces the sums to what they are now, with a time constant, and drops those below least.
func (d *decaying[K]) decay(now, memory time.Duration, least float64) {
	if now <= d.at {
		return
	}
	f := math.Exp(-float64(now-d.at) / float64(memory))
	for k := range d.sums {
		if d.sums[k] *= f; d.sums[k] < least {
			delete(d.sums, k)
		}
	}
	d.at = now
}

// add adds an amount to a sum, which does not fall below 0.
func (d *decaying[K]) add(k K, amount float64) {
	if d.sums == nil {
		d.sums = make(map[K]float64)
	}
	d.sums[k] = max(d.sums[k]+amount, 0)
}
