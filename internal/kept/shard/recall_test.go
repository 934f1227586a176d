package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a caller that is told that its submission has not run, though it has or will. The home VM recalls
// a part while start orders of it are in flight, lost or delayed, and may assign it again only under a new serial.
// A part must not be rejected once a start was sent, and not be started once it was rejected.
func TestRejectedPartsNeverRun(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 60
	parameters.Rng.Seed(23)
	properties := gopter.NewProperties(parameters)
	properties.Property("a part that is rejected never ran and never runs under that serial", prop.ForAll(
		func(seed uint64) bool { return runRecalls(t, seed) }, gen.UInt64()))
	properties.TestingRun(t)
}

// runRecalls assigns parts to a full shard, recalls them at random times, and reports whether no rejected part
// has run.
func runRecalls(t *testing.T, seed uint64) bool {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(t, 2)
	w.losesStartReply = func(StartAction) bool { return rng.IntN(5) == 0 }
	w.startDelay = func(StartAction) time.Duration {
		if rng.IntN(6) == 0 {
			return time.Duration(rng.IntN(2000)) * ms
		}
		return 0
	}
	w.run(50 * ms)
	for i := range 12 {
		rec := w.submission(submission.ID(fmt.Sprint("part-", i)), 2, runhost.Work{Time: time.Duration(50+rng.IntN(300)) * ms})
		rec.Partial = true
		rec.Serial = uint64(i + 1)
		w.assign(rec)
	}
	rejected := make(map[submission.ID]bool)
	for range 300 {
		id := submission.ID(fmt.Sprint("part-", rng.IntN(12)))
		if rng.IntN(8) == 0 {
			w.shard.Recall(w.now, id)
			w.execute()
		}
		w.step()
		for id, state := range w.states {
			rejected[id] = rejected[id] || state == submission.Rejected
		}
	}
	w.run(3 * time.Second)
	for id := range rejected {
		if rejected[id] && w.startCount(id) > 0 {
			t.Logf("seed %d: %s was rejected and has run", seed, id)
			return false
		}
	}
	return len(w.ledger.Violations) == 0
}
