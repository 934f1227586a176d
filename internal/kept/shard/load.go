package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
)

// Load is what the shard could take.
func (s *Shard) Load(now time.Duration) Load {
	l := Load{Ready: s.recordsLoaded && s.anyAnswered() && !s.listOutdated, UnstartedByQueue: make(map[string]int)}
	for _, h := range s.workers {
		if s.isUsable(now, h) || h.hasAnswered && now < h.fullUntil && !s.isClosed() {
			l.CapacityMilli += int64(float64(h.info.CPUMilli) * h.health.UsableShare())
		}
	}
	open, _ := s.divideCandidates(s.candidates(now))
	for _, r := range open {
		if r.host.health.CanAccept(now, s.runCount(r)) {
			l.FreeMilli = append(l.FreeMilli, r.freeCPUMilli)
		}
	}
	for _, j := range s.jobs {
		if j.firstRunAt == 0 && !j.state.Final() {
			l.UnstartedByQueue[j.rec.Queue]++
		}
	}
	l.Queued = s.queued(now, l.CapacityMilli)
	l.Services = s.services()
	return l
}

// services returns the services of the workers.
func (s *Shard) services() []string {
	var out []string
	for _, h := range s.workers {
		if !slices.Contains(out, h.info.Service) {
			out = append(out, h.info.Service)
		}
	}
	slices.Sort(out)
	return out
}

// queued sums what waits for room by band and priority.
func (s *Shard) queued(now time.Duration, room int64) []QueuedWork {
	type key struct {
		band     policy.LatenessBand
		priority int
	}
	sums := make(map[key]*QueuedWork)
	for _, j := range s.jobs {
		if j.state.Final() || !j.hasStartable() {
			continue
		}
		k := key{s.policyWork(j).Band(now), j.rec.Terms.Priority}
		q := sums[k]
		if q == nil {
			q = &QueuedWork{Band: k.band, Priority: k.priority}
			sums[k] = q
		}
		factor := s.durationFactor(j.rec.Queue)
		for _, t := range j.tasks {
			if j.isStartable(t) {
				q.CPUMilli += t.step.CPUMilli
				q.DrainTime += time.Duration(factor * float64(t.step.Estimate) * float64(t.step.CPUMilli) / float64(max(room, 1)))
			}
		}
	}
	out := make([]QueuedWork, 0, len(sums))
	for _, q := range sums {
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b QueuedWork) int {
		return cmp.Or(cmp.Compare(a.Band, b.Band), cmp.Compare(a.Priority, b.Priority))
	})
	return out
}

// Fit is how many tasks of a size could start beside what is served before them.
func (l *Load) FreeSlots(milli, ahead int64) int {
	if milli <= 0 {
		return 0
	}
	n := 0
	for _, free := range l.FreeMilli {
		n += int(free / milli)
	}
	return max(n-int((ahead+milli-1)/milli), 0)
}
