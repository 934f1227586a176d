package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
)

// maxBound is how many of the submissions that wait here a Room names. Each may hold one worker back.
const maxBound = 4

// RoomVersion changes with each placement of tasks: whenever Room may have changed.
func (s *Shard) RoomVersion() uint64 { return s.roomVersion }

// Room returns the capacity that tasks may use which are not here yet, as of the last placement of tasks. What
// is reserved for such tasks is part of it.
func (s *Shard) Room(now time.Duration) pool.Room {
	r := pool.Room{Token: s.token, At: now, Workers: make([]pool.Worker, 0, len(s.room))}
	for _, c := range s.room {
		if s.isUsable(now, c.host) {
			r.Workers = append(r.Workers, s.roomOf(c))
		}
	}
	for _, j := range s.byUrgency(now) {
		if len(r.Bound) < maxBound {
			r.Bound = append(r.Bound, s.boundWork(j))
		}
		for _, t := range j.tasks {
			if j.isStartable(t) {
				r.Waiting++
			}
		}
	}
	r.EndRate = s.endRate()
	return r
}

func (s *Shard) roomOf(c *candidate) pool.Worker {
	free := pool.Resources{CPUMilli: c.freeCPUMilli, MemMB: c.freeMemMB, GPU: c.freeGPU}
	return pool.Worker{Info: c.host.info, Free: free.Plus(c.reserved), Tasks: c.tasks, Health: c.host.health}
}

// boundWork describes a submission that waits here by its next task.
func (s *Shard) boundWork(j *job) pool.Bound {
	step := j.tasks[slices.IndexFunc(j.tasks, j.isStartable)].step
	w := s.policyWork(j)
	w.RemainingWork = j.startableWork()
	return pool.Bound{Queue: j.rec.Queue, Work: *w, Since: j.waitingSince(), Size: pool.SizeOf(j.rec.Terms.Service, step)}
}

// endRate returns how many runs are expected to end per second, by their usual durations.
func (s *Shard) endRate() float64 {
	rate := 0.0
	for _, j := range s.jobs {
		factor := s.durationFactor(j.rec.Queue)
		for _, t := range j.tasks {
			if t.occupies() {
				rate += 1 / max(factor*t.step.Estimate.Seconds(), time.Millisecond.Seconds())
			}
		}
	}
	return rate
}

// Pace returns how many times its estimate a run of a queue usually takes here; known is false if none was seen.
func (s *Shard) Pace(queue string) (factor float64, known bool) {
	p := s.paceByQueue[queue]
	return p.Factor(), p != nil
}

// SetReserved replaces what is reserved on the workers, by their IDs, for tasks that are not here yet. Other tasks
// do not start there, and the load report does not offer it.
func (s *Shard) SetReserved(reserved map[string]pool.Resources) {
	if maps.Equal(s.reserved, reserved) {
		return
	}
	for id, before := range s.reserved {
		s.placementDue = s.placementDue || !reserved[id].Covers(before)
	}
	s.reserved = reserved
}

// keepRoom keeps the workers for Room after a placement: those that are not set aside for suspects.
func (s *Shard) keepRoom(usable, shared []*candidate) {
	s.roomVersion++
	if !s.settings.Policy.LateBinding {
		return
	}
	s.room = usable
	if s.hasLosses {
		s.room = shared
	}
}

// takeReserved takes what is reserved on a worker from the free capacity.
func (c *candidate) takeReserved(r pool.Resources) {
	c.reserved = r
	c.freeCPUMilli -= r.CPUMilli
	c.freeMemMB -= r.MemMB
	c.freeGPU -= r.GPU
}
