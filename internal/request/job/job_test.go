package job

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

var start = time.Unix(1000, 0)

// testSpec is a submission of n tasks that may run on w1 and w2.
func testSpec(n int) Spec {
	return Spec{
		ID:        ticket.ID{Incarnation: 1, Counter: 1},
		Inputs:    make([][]byte, n),
		Deadline:  start.Add(time.Second),
		Closers:   []string{"w1", "w2"},
		SettleFor: 100 * time.Millisecond,
	}
}

// Symptom: a task runs on two workers. Sequence: the home can not be reached,
// another entry VM asks all candidates and starts the task; the home, which
// lives, loses the answer of another task, raises its generation and hands the
// first task out as well. Cause: the raised generation was above the recovering
// entry VM's, so workers that this one had sealed accepted the home's start.
func TestRaisingNeverPassesARecovery(t *testing.T) {
	home := New(testSpec(4), 9)
	recovery, _ := Recover(testSpec(4), 5, []string{"w1", "w2"}, false, ticket.Generation{})
	for range 3 {
		before := home.Generation()
		given := home.Assign("owner", []string{"w1"}, 1)
		home.Lost("owner", before, given, "w1")
		if !before.Less(home.Generation()) {
			t.Fatalf("generation %+v is not above %+v after a lost answer", home.Generation(), before)
		}
		if !home.Generation().Less(recovery.Generation()) {
			t.Fatalf("home's %+v passes %+v of the entry VM that recovered", home.Generation(), recovery.Generation())
		}
	}
}
