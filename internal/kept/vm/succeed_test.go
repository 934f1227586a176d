package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Symptom: a domain that is cut off refuses everything though its workers are there. Sequence: the
// domain is cut off from the others and from the store; its workers crash and start again at their
// addresses, all together. Cause: their new lives were only known from the list, which nobody there
// can read.
func TestWorkersThatStartAgainInACutDomainAreUsed(t *testing.T) {
	testWorld(t, func(w *world) {
		w.cut("a", true)
		time.Sleep(time.Second)
		for i := range 3 {
			w.fleet.Reborn(fmt.Sprintf("worker-a%d", i), fmt.Sprintf("w-a%d-again", i))
		}
		time.Sleep(time.Second)
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
		w.cut("a", false)
		time.Sleep(2 * time.Second)
		w.wantEnd(w.submit("a2", "healed", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}

// Symptom: a task runs twice at once. Sequence: a worker starts again and is used at once; its old
// entry is still in the list, which changes meanwhile. Cause would be: the old entry passes for a
// newer life at the address, and what runs there for lost.
func TestOldEntryDoesNotEndASuccessor(t *testing.T) {
	testWorld(t, func(w *world) {
		w.fleet.Reborn("worker-a0", "w-a0-again")
		time.Sleep(300 * ms)
		out := w.submit("a1", "job", 6, runhost.Work{Time: time.Second}, true)
		for i := range 8 { // the list changes beside it
			w.addDeskWorker(fmt.Sprintf("a-new%d", i), "a")
			time.Sleep(100 * ms)
		}
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks", n)
		}
		if w.fleet.StartsOn("w-a0-again") == 0 {
			t.Error("the new life was given nothing")
		}
	})
}
