package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a partitioned domain that refuses all submissions though its workers run: the domain is cut off
// from the others and from the store, and its workers crash and restart at their addresses, all at once. Their new
// incarnations were known only from the list in the store, which no VM of the domain can read.
func TestWorkersThatStartAgainInACutDomainAreUsed(t *testing.T) {
	testWorld(t, func(w *world) {
		w.cut("a", true)
		time.Sleep(time.Second)
		for i := range 3 {
			w.fleet.RestartWorker(fmt.Sprintf("worker-a%d", i), fmt.Sprintf("w-a%d-again", i))
		}
		time.Sleep(time.Second)
		w.wantEnd(w.submit("a1", "job", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
		w.cut("a", false)
		time.Sleep(2 * time.Second)
		w.wantEnd(w.submit("a2", "healed", 4, runhost.Work{Time: 100 * ms}, true), submission.Done)
	})
}

// Guards against a task that runs twice at once: a worker restarts under a new ID and is used at once, while its
// old entry is still in the list, which changes meanwhile. If the old entry were taken for a newer incarnation at
// the address, the runs there would be taken for lost.
func TestOldEntryDoesNotEndASuccessor(t *testing.T) {
	testWorld(t, func(w *world) {
		w.fleet.RestartWorker("worker-a0", "w-a0-again")
		time.Sleep(300 * ms)
		out := w.submit("a1", "job", 6, runhost.Work{Time: time.Second}, true)
		for i := range 8 { // the list changes meanwhile
			w.addDeskWorker(fmt.Sprintf("a-new%d", i), "a")
			time.Sleep(100 * ms)
		}
		w.wantEnd(out, submission.Done)
		if n := w.fleet.Starts("job"); n != 6 {
			t.Errorf("%d starts of 6 tasks", n)
		}
		if w.fleet.StartsOn("w-a0-again") == 0 {
			t.Error("the new incarnation got no task")
		}
	})
}
