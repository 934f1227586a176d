package shard

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a submission that fails before its attempts are used up. A failed run was recorded, and the holder was
// lost before the worker heard that its end is acknowledged: the worker lists the end to the next holder once more.
func TestRecordedFailureIsNotCountedAgain(t *testing.T) {
	for name, transient := range map[string]bool{"stored": false, "transient": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.run(50 * ms)
			rec := w.submission("a", 1, runhost.Work{Time: 20 * ms, Fails: true})
			rec.Transient = transient
			rec.Terms.Attempts = 3
			w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: 1})
			next := *rec
			for next.Progress.Failed[submission.Task{}] == 0 {
				w.step()
				next.Progress = w.shard.jobs["a"].progress()
			}
			decoded, err := submission.DecodeRecord("a", next.Encode())
			if err != nil {
				t.Fatal(err)
			}
			w.newHolder(2, true) // its first hold acknowledges nothing
			if transient {
				w.shard.Resume(w.now, decoded)
			} else {
				w.shard.AddRecords(w.now, []StoredRecord{{Record: decoded, Revision: 2}})
			}
			w.run(3 * time.Second)
			if w.states["a"] != submission.Failed {
				t.Errorf("it is %s, want failed", w.states["a"])
			}
			if n := w.startCount("a"); n != 3 {
				t.Errorf("failed after %d runs, want 3", n)
			}
		})
	}
}
