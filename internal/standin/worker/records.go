package worker

import (
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Traffic counts the messages on the streams of a worker's lease holders.
type Traffic struct {
	Received   int // messages, including heartbeats
	Sent       int // messages, including answers to heartbeats
	Refused    int // starts that were refused, duplicates included
	Duplicates int // refused because the task had been started before
}

// Traffic returns the counts since the worker was created.
func (w *Worker) Traffic() Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.traffic
}

// Calls counts the control calls (Seal, Follow, StopSubmission) that a worker received.
type Calls struct{ Seals, Follows, Stops int }

// Calls returns the counts of control calls since the worker was created.
func (w *Worker) Calls() Calls {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Starts returns how many distinct tasks were started, how many starts there were
// in total, and the highest number of starts of one task.
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

// EachStart calls f for every task that was ever started here, with its number of
// starts. f must not call the worker.
func (w *Worker) EachStart(f func(id ticket.ID, index uint32, count int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, n := range w.starts {
		f(k.id, k.index, n)
	}
}

// Draw returns the current and the highest draw in milliwatts, idle draw
// included. A killed worker draws nothing.
func (w *Worker) Draw() (now, peakDraw uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return 0, w.peakDraw
	}
	return w.draw(), w.peakDraw
}

// EachInUse calls f for each submission with the number of slots it uses now. f
// must not call the worker.
func (w *Worker) EachInUse(f func(id ticket.ID, slots uint32)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, slots := range w.slots {
		f(id, slots)
	}
}

// PeakSlots returns the highest number of slots that were in use at a time.
func (w *Worker) PeakSlots() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakSlots
}

// reserveSlots adds the slots of a task that starts. The caller holds mu.
func (w *Worker) reserveSlots(id ticket.ID, slots uint32) {
	w.slots[id] += slots
	w.slotsInUse += slots
	w.peakSlots = max(w.peakSlots, w.slotsInUse)
}

// releaseSlots subtracts the slots of a task that has ended. The caller holds mu.
func (w *Worker) releaseSlots(id ticket.ID, slots uint32) {
	w.slotsInUse -= slots
	if w.slots[id] -= slots; w.slots[id] == 0 {
		delete(w.slots, id)
	}
}
