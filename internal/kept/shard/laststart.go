package shard

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// untilLastStart estimates how long it takes until the last startable task of a submission starts that is served first:
// as long as it takes until enough runs have ended, at a rate per second, but no longer than the submission runs. It is 0
// if all its tasks have room.
func (s *Shard) untilLastStart(j *job, endRate float64) time.Duration {
	if endRate <= 0 {
		return 0
	}
	waiting, free := 0, s.freeMilli
	for _, t := range j.tasks {
		if !j.isStartable(t) {
			continue
		}
		if free -= t.step.CPUMilli; free < 0 {
			waiting++
		}
	}
	return min(timespan.Times(time.Second, float64(waiting)/endRate), s.estimatedRunTime(j))
}
