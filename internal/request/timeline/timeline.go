// Package timeline records the steps that this process took for recent submissions
// and their reasons, in bounded memory, so that operators can ask for them later.
package timeline

import (
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Step is one event in the processing of a submission.
type Step struct {
	At     time.Time
	Event  string
	Reason reason.Code
	Detail string
}

// MaxSteps limits the steps that are kept of one submission. Beyond it, steps in the
// middle are dropped, since the first and the last ones explain most.
const MaxSteps = 48

// Store holds the timelines of recent submissions. It is safe for concurrent
// use.
type Store struct {
	mu        sync.Mutex
	capacity  int
	timelines map[ticket.ID]*submissionTimeline
	ring      []ticket.ID // IDs of the kept submissions, a ring buffer of size capacity
	oldest    int
}

type submissionTimeline struct {
	steps   []Step
	dropped int
}

// NewStore returns a store for the given number of submissions.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, timelines: make(map[ticket.ID]*submissionTimeline), ring: make([]ticket.ID, 0, capacity)}
}

// Add appends a step to a submission's timeline. A new submission replaces the
// oldest one if the store is full.
func (s *Store) Add(id ticket.ID, step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.timelines[id]
	if l == nil {
		l = &submissionTimeline{steps: make([]Step, 0, 4)}
		s.addSubmission(id)
		s.timelines[id] = l
	}
	if len(l.steps) >= MaxSteps {
		l.dropped++
		copy(l.steps[MaxSteps/2:], l.steps[MaxSteps/2+1:])
		l.steps[MaxSteps-1] = step
		return
	}
	l.steps = append(l.steps, step)
}

func (s *Store) addSubmission(id ticket.ID) {
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, id)
		return
	}
	delete(s.timelines, s.ring[s.oldest])
	s.ring[s.oldest] = id
	s.oldest = (s.oldest + 1) % s.capacity
}

// Steps returns the kept steps of a submission, oldest first.
func (s *Store) Steps(id ticket.ID) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.timelines[id]
	if l == nil {
		return nil
	}
	return append([]Step(nil), l.steps...)
}
