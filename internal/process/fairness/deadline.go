package fairness

import "time"

const (
	// wheelTick and wheelBuckets span ten seconds; a later deadline stays in its
	// bucket for another turn.
	wheelTick    = 10 * time.Millisecond
	wheelBuckets = 1024
)

// wheel finds the jobs whose deadline passed. It is a hashed timing wheel and
// not a heap, because a wave of cancellations has to leave it in constant time
// per job.
type wheel[K comparable] struct {
	buckets [wheelBuckets]*job[K]
	swept   int64 // the tick up to which buckets were looked at
}

// tickOf numbers the tick that holds a time in seconds.
func tickOf(at float64) int64 { return int64(at / wheelTick.Seconds()) }

// add registers a job by its deadline, in seconds. A deadline that has passed
// goes where the next sweep looks.
func (w *wheel[K]) add(j *job[K], deadline float64) {
	tick := max(tickOf(deadline), w.swept)
	j.bucket = int(tick % wheelBuckets)
	j.timerPrev = nil
	j.timerNext = w.buckets[j.bucket]
	if j.timerNext != nil {
		j.timerNext.timerPrev = j
	}
	w.buckets[j.bucket] = j
}

// remove forgets a job; one without a deadline is left alone.
func (w *wheel[K]) remove(j *job[K]) {
	if j.bucket == noIndex {
		return
	}
	if j.timerPrev == nil {
		w.buckets[j.bucket] = j.timerNext
	} else {
		j.timerPrev.timerNext = j.timerNext
	}
	if j.timerNext != nil {
		j.timerNext.timerPrev = j.timerPrev
	}
	j.bucket, j.timerPrev, j.timerNext = noIndex, nil, nil
}

// expired returns the jobs whose deadline is not after now.
func (w *wheel[K]) expired(now time.Time, nowSeconds float64) []*job[K] {
	last := tickOf(nowSeconds)
	first := max(w.swept, last-wheelBuckets+1)
	var out []*job[K]
	for tick := first; tick <= last; tick++ {
		for j := w.buckets[tick%wheelBuckets]; j != nil; j = j.timerNext {
			if !j.Deadline.After(now) {
				out = append(out, j)
			}
		}
	}
	w.swept = max(w.swept, last)
	return out
}
