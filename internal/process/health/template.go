package health

import (
	"math"
	"time"
)

const (
	// badRate is the failure rate of a bad worker, whatever the template.
	badRate = 0.9
	// leastRate is the lowest failure rate believed of a template. It gives a
	// single failure its largest weight.
	leastRate = 0.01
	// priorFailed and priorEnded stand for outcomes before the first. A new
	// template is taken to work: that it does not shows by the lack of
	// successes elsewhere, and then its failures are not confirmed. Fewer would
	// let the first failure of a bad worker pass for the template's own rate.
	priorFailed = leastRate * priorEnded
	priorEnded  = 64
	// window is the number of outcomes after which older ones count half.
	window = 256
	// trustAgain is how many successes in a row make a suspended template's
	// failures count again.
	trustAgain = 3
	// maxAccused is how many workers can have an open charge for one template.
	// When one more fails it before any other worker completes it, the
	// template is suspended.
	maxAccused = 3
)

// unit is the log-likelihood ratio of one failure of a template that
// otherwise never fails.
var unit = math.Log(badRate / leastRate)

// template remembers how one template does on workers beyond suspicion.
type template struct {
	name          string
	failed, ended float64
	suspended     bool // found at fault: charges no worker
	successes     int  // in a row
	accused       []*worker
	pace          average // log of run time over estimate
	used          time.Time
}

// count records an outcome on a worker beyond suspicion.
func (t *template) count(failed bool) {
	if t.ended >= window {
		t.ended /= 2
		t.failed /= 2
	}
	t.ended++
	if failed {
		t.failed++
	}
}

// succeed ends the suspension after enough successes in a row.
func (t *template) succeed() {
	t.successes++
	if t.successes >= trustAgain {
		t.suspended = false
	}
}

// suspend stops the template's failures from being charged to workers.
func (t *template) suspend() {
	t.suspended = true
	t.successes = 0
}

// rate returns the expected failure rate on a good worker.
func (t *template) rate() float64 {
	rate := (t.failed + priorFailed) / (t.ended + priorEnded)
	return max(rate, leastRate)
}

// fullWeight is the weight below which failures are discounted further.
const fullWeight = 0.8

// weight returns how much one failure speaks against the worker, 0 to 1. The
// likelihood ratio alone would, over millions of tasks of a template that
// fails often, eject good workers after a run of bad luck.
func (t *template) weight() float64 {
	weight := max(math.Log(badRate/t.rate())/unit, 0)
	return weight * min(weight/fullWeight, 1)
}

// relief returns how much one success speaks for the worker.
func (t *template) relief() float64 {
	return max(math.Log((1-t.rate())/(1-badRate))/unit, 0)
}

// average is an exponentially weighted mean that starts as a plain one.
type average struct {
	mean    float64
	samples int
}

// paceMemory is the number of samples that an average looks back on.
const paceMemory = 256

func (a *average) add(x float64) {
	a.samples++
	a.mean += (x - a.mean) / float64(min(a.samples, paceMemory))
}
