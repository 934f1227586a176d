// Package timeline keeps, within a fixed bound of memory, what this process did
// with each submission and why, so that it can be explained later.
package timeline

import (
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Step is one thing that happened to a submission.
type Step struct {
	At     time.Time
	Event  string
	Reason reason.Code
	Detail string
}

// MaxSteps bounds the steps of one submission. Past it the middle is dropped:
// the start and the end explain most.
const MaxSteps = 48

// Store holds the timelines of recent submissions. It is safe for concurrent
// use.
type Store struct {
	mu       sync.Mutex
	capacity int
	logs     map[ticket.ID]*log
	order    []ticket.ID // oldest first, a ring of size capacity
	next     int
}

type log struct {
	steps   []Step
	dropped int
}

// NewStore returns a store for the given number of submissions.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, logs: make(map[ticket.ID]*log), order: make([]ticket.ID, 0, capacity)}
}

// Add appends a step, forgetting the oldest submission when the store is full.
func (s *Store) Add(id ticket.ID, step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logs[id]
	if l == nil {
		l = &log{steps: make([]Step, 0, 4)}
		s.remember(id)
		s.logs[id] = l
	}
	if len(l.steps) >= MaxSteps {
		l.dropped++
		copy(l.steps[MaxSteps/2:], l.steps[MaxSteps/2+1:])
		l.steps[MaxSteps-1] = step
		return
	}
	l.steps = append(l.steps, step)
}

func (s *Store) remember(id ticket.ID) {
	if len(s.order) < s.capacity {
		s.order = append(s.order, id)
		return
	}
	delete(s.logs, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % s.capacity
}

// Steps returns what is known of a submission, oldest first.
func (s *Store) Steps(id ticket.ID) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logs[id]
	if l == nil {
		return nil
	}
	return append([]Step(nil), l.steps...)
}
