//go:build knownred

package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against an overload in which less is done in time the more is asked for. What is done in time stays
// within a twentieth of its most, from 1.3 to 5 times the demand that fills the capacity; below that it is limited
// by what is asked for.
func TestGoodputStaysUnderOverload(t *testing.T) {
	p := policy.Defaults()
	p.ForecastRates = true
	checkGoodput(t, p, meanSeeds, func(float64, int, int) {})
}

// Guards against a task that runs twice at once, as its caller's next attempt reaches a new holder before all workers have
// answered it: one of them still has a run of the attempt before, whose home was lost shortly before the earlier holder.
func TestNextAttemptWaitsForWorkersThatHaveNotAnswered(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	first := w.submission("a", 1, runhost.Work{Time: 2 * time.Second})
	first.Serial = 1
	w.assign(first)
	w.run(100 * ms)
	w.addHost("w1", "10.0.0.1:80")
	w.unreachable["w0"] = true
	w.newHolder(2, true)
	w.run(50 * ms)
	w.assign(w.nextAttempt(first))
	w.run(150 * ms)
	w.unreachable["w0"] = false
	w.run(3 * time.Second)
	w.expectState("a", submission.Done)
}
