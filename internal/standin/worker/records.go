package worker

import (
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Traffic counts what passed over the streams of a worker's lease holders.
type Traffic struct {
	Received   int // messages, heartbeats among them
	Sent       int // messages, answers to heartbeats among them
	Refused    int // starts that were not accepted
	Duplicates int // of them, starts of tasks that were started before
}

// Traffic returns the counts since the worker's start.
func (w *Worker) Traffic() Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.traffic
}

// Calls counts the control calls that were made to a worker.
type Calls struct{ Seals, Follows, Stops int }

// Calls returns how many control calls were made so far.
func (w *Worker) Calls() Calls {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Starts returns how often each task was started: the number of tasks, of
// starts, and the highest count of one task.
func (w *Worker) Starts() (tasks, starts, highest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.starts {
		tasks++
		starts += n
		highest = max(highest, n)
	}
	return tasks, starts, highest
}

// EachStart calls f for every task that was ever started here.
func (w *Worker) EachStart(f func(id ticket.ID, index uint32, count int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, n := range w.starts {
		f(k.id, k.index, n)
	}
}

// Draw returns the present and the highest draw in milliwatts, idle included. A
// dead worker draws nothing.
func (w *Worker) Draw() (now, peak uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return 0, w.peakDraw
	}
	return w.draw(), w.peakDraw
}

// EachInUse calls f with the slots that each submission occupies here now.
func (w *Worker) EachInUse(f func(id ticket.ID, slots uint32)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, slots := range w.slots {
		f(id, slots)
	}
}

// PeakSlots returns the most slots that were ever in use at a time.
func (w *Worker) PeakSlots() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakSlots
}

// occupy counts the slots of a task that starts. The caller holds mu.
func (w *Worker) reserveSlots(id ticket.ID, slots uint32) {
	w.slots[id] += slots
	w.slotsInUse += slots
	w.peakSlots = max(w.peakSlots, w.slotsInUse)
}

// vacate counts the slots of a task that leaves. The caller holds mu.
func (w *Worker) releaseSlots(id ticket.ID, slots uint32) {
	w.slotsInUse -= slots
	if w.slots[id] -= slots; w.slots[id] == 0 {
		delete(w.slots, id)
	}
}
