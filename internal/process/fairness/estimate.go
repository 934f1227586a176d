package fairness

import "time"

const (
	// learningRate is the weight of the newest batch of run times.
	learningRate = 0.2
	// minTaskSeconds keeps a declared run time of zero from making work free.
	minTaskSeconds = 0.001
	// maxEstimates bounds the memory for learnt run times. Beyond it, declared
	// run times are used.
	maxEstimates = 4096
)

// estimate is the learnt run time of one template under one account. Declared
// run times are often far off, and an account could gain service by declaring
// too little; what its tasks really took corrects both.
type estimate struct {
	mean float64 // seconds; 0 before the first sample
}

// estimateKey names what is learnt together.
type estimateKey struct {
	account, template string
}

// seconds returns the learnt run time, or the declared one.
func (e *estimate) seconds(declared time.Duration) float64 {
	if e.known() {
		return e.mean
	}
	return max(declared.Seconds(), minTaskSeconds)
}

// known reports whether run times have been seen.
func (e *estimate) known() bool { return e != nil && e.mean > 0 }

// learn takes the mean run time of tasks that ended together.
func (e *estimate) learn(sample float64) {
	if e == nil {
		return
	}
	sample = max(sample, minTaskSeconds)
	if e.mean == 0 {
		e.mean = sample
		return
	}
	e.mean += learningRate * (sample - e.mean)
}
