package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against stored submissions that wait for most of a minute though all workers are idle: all that the workers run
// fails, so that each of them is ejected.
func TestFailingSubmissionsEndThoughAllWorkersAreEjected(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	for i := range 25 {
		w.assign(w.storedSubmission(submission.ID(fmt.Sprintf("s%d", i)), 1, runhost.Work{Time: 20 * ms, Fails: true}))
	}
	w.run(20 * time.Second)
	for i := range 25 {
		if id := submission.ID(fmt.Sprintf("s%d", i)); w.finals[id] != submission.Failed {
			t.Errorf("%s has not ended, it is %s", id, w.states[id])
		}
	}
}

// Guards against a submission that never ends, and whose progress is never stored again, as one write found the queue of
// the journal full.
func TestWritesThatWereNotQueuedAreRepeated(t *testing.T) {
	w := newWorld(t, 1)
	w.run(50 * ms)
	w.assign(w.storedSubmission("a", 1, runhost.Work{Time: 20 * ms, Fails: true}))
	refused := map[string]int{}
	for range 1000 {
		w.now += testTick
		w.hosts["w0"].Advance(w.now)
		w.sendHold("w0")
		w.shard.Tick(w.now)
		a := w.shard.TakeActions()
		for _, s := range a.Starts {
			w.sendStart(s)
		}
		for _, s := range a.Saves {
			refused["progress"]++
			w.shard.WriteNotQueued(w.now, s.Record.ID)
		}
		for _, f := range a.Finals {
			if refused["final"]++; refused["final"] < 3 {
				w.shard.WriteNotQueued(w.now, f.ID)
				continue
			}
			w.finals[f.ID] = f.State
			w.shard.FinalStored(w.now, f.ID)
		}
	}
	if w.finals["a"] != submission.Failed || w.shard.Size() > 0 {
		t.Errorf("its final state is %s after %v refused writes, want failed", w.finals["a"], refused)
	}
}

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
