package vm

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Symptom: one task runs twice at once. Sequence: a new holder has one answer from a
// worker that runs a task of its predecessor, and the next call has none. Cause: the
// worker's lease was taken to be over, as this holder had not extended it yet; the
// earlier one had.
func TestLeaseOfAnEarlierHolderIsNotOverAtOnce(t *testing.T) {
	now := time.Hour
	v := &VM{config: Config{MaxLease: time.Second}, now: func() time.Duration { return now }}
	h := &workerSession{vm: v}
	if _, certain := h.leaseExpired(now); certain {
		t.Error("the lease of a worker that never answered is certain")
	}
	h.recordClock(now, worker.Reply{Clock: 5 * time.Minute})
	now += 900 * time.Millisecond
	if over, _ := h.leaseExpired(now); over {
		t.Error("over after 900 ms, the earlier holder may have extended it by a second")
	}
	now += 150 * time.Millisecond
	if over, certain := h.leaseExpired(now); !over || !certain {
		t.Error("not over after 1.05 s")
	}
}

// A worker's clock may be slow by 2%.
func TestLeaseIsOverOnTheSlowestClock(t *testing.T) {
	now := time.Hour
	v := &VM{config: Config{MaxLease: time.Second}, now: func() time.Duration { return now }}
	h := &workerSession{vm: v}
	h.recordClock(now, worker.Reply{Clock: 5 * time.Minute})
	h.recordDeadline(5*time.Minute + 10*time.Second)
	now += 10100 * time.Millisecond
	if over, _ := h.leaseExpired(now); over {
		t.Error("over after 10.1 s, on a slow clock 9.9 s have passed of 10")
	}
	now += 150 * time.Millisecond
	if over, _ := h.leaseExpired(now); !over {
		t.Error("not over after 10.25 s")
	}
}

// Symptom: a VM whose processor is busy makes its own starts void and repeats them, and has
// still more to do. Sequence: answers take longer than they are waited for. Cause: only
// answers that came in time told how long to wait.
func TestOrderTimeoutGrowsWithoutAnswers(t *testing.T) {
	h := &workerSession{vm: &VM{}}
	for range 10 {
		h.recordRTT(time.Millisecond)
	}
	if d := h.orderTimeout(); d != minOrderTimeout {
		t.Errorf("%v with answers in a millisecond", d)
	}
	for range 10 {
		h.recordRTT(h.orderTimeout())
	}
	if d := h.orderTimeout(); d != maxOrderTimeout {
		t.Errorf("%v after ten orders without an answer", d)
	}
	h.orderRTT.Store(0)
	for i := range 100 {
		took := time.Millisecond
		if i%18 == 0 {
			took = h.orderTimeout()
		}
		h.recordRTT(took)
		if d := h.orderTimeout(); d > maxOrderTimeout/2 {
			t.Fatalf("%v with one answer of eighteen lost", d)
		}
	}
}

// Symptom: under load on a small link sound workers pass for silent, their starts are made void and
// repeated, and nothing is served any more. Sequence: the VM's link fills; the answers of all workers
// take 60 ms, longer than orders wait. Cause: a wait has a bound for a worker that may be dead.
func TestOrderTimeoutGrowsWhenAllAnswersAreSlow(t *testing.T) {
	const queue = 60 * time.Millisecond // of the VM's own link
	v := &VM{}
	var hands []*workerSession
	for range 20 {
		hands = append(hands, &workerSession{vm: v})
	}
	unanswered := 0
	for round := range 50 {
		unanswered = 0
		for i, h := range hands {
			took := queue * time.Duration(round%5+i%3+1) / 2
			if within := h.orderTimeout(); took > within {
				h.recordOrder(within, worker.Reply{Verdict: worker.NoAnswer})
				unanswered++
				continue
			}
			h.recordOrder(took, worker.Reply{Verdict: worker.Accepted})
		}
	}
	if unanswered > 0 {
		t.Errorf("%d of 20 orders pass for unanswered after 50 rounds", unanswered)
	}
	if d := hands[0].orderTimeout(); d > maxBusyOrderTimeout {
		t.Errorf("an order waits for %v", d)
	}
}

// Symptom: what is lost with a dead worker is found out late. Sequence: a tenth of the workers die at
// once; the others answer as before. Cause: orders without an answer count as slow answers of all.
func TestDeadWorkersDoNotRaiseOrderTimeoutOfOthers(t *testing.T) {
	v := &VM{}
	dead, sound := &workerSession{vm: v}, &workerSession{vm: v}
	for i := range 300 {
		if i%10 == 0 {
			dead.recordOrder(dead.orderTimeout(), worker.Reply{Verdict: worker.NoAnswer})
			continue
		}
		sound.recordOrder(time.Millisecond, worker.Reply{Verdict: worker.Accepted})
	}
	if d := sound.orderTimeout(); d != minOrderTimeout {
		t.Errorf("an order to a sound worker waits for %v", d)
	}
	if d := dead.orderTimeout(); d > maxOrderTimeout {
		t.Errorf("an order to a dead worker waits for %v", d)
	}
}
