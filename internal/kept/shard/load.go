package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// Load returns the present capacity and queue of the shard.
func (s *Shard) Load(now time.Duration) Load {
	l := Load{Ready: s.recordsLoaded && s.anyAnswered() && !s.listOutdated, UnstartedByQueue: make(map[string]int)}
	for _, h := range s.workers {
		if s.isUsable(now, h) || h.hasAnswered && now < h.fullUntil && !s.isClosed() {
			l.CapacityMilli += int64(float64(h.info.CPUMilli) * s.settings.Policy.UsableShare(now, &h.health))
		}
	}
	shared, _ := s.divideCandidates(now, s.candidates(now))
	for _, c := range shared {
		if c.host.health.CanAccept(now, c.tasks) {
			l.FreeMilli = append(l.FreeMilli, c.freeCPUMilli)
		}
	}
	for _, j := range s.jobs {
		if j.firstRunAt == 0 && !j.state.Final() {
			l.UnstartedByQueue[j.rec.Queue]++
		}
	}
	l.Queued = s.queued(now, l.CapacityMilli)
	l.Standings = s.standings
	l.Arriving = s.arrivals.Rates(now)
	l.Services = s.services()
	l.SpeedSpread = s.speedSpread()
	return l
}

// services returns the services of the known workers, sorted.
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

// queued sums the startable tasks by band, priority and standing. capacity is the CPU of the usable workers, in
// thousandths of a core. Tasks that are larger than each worker are left out: they keep nobody waiting.
func (s *Shard) queued(now time.Duration, capacity int64) []QueuedWork {
	largest := s.largestCapacity()
	sums := make(map[policy.QueueKey]*QueuedWork)
	for _, j := range s.jobs {
		if j.state.Final() || !j.hasStartable() {
			continue
		}
		k := policy.QueueKey{Band: s.policyWork(j).Band(now), Priority: j.rec.Terms.Priority, Standing: s.standing(j)}
		q := sums[k]
		if q == nil {
			q = &QueuedWork{Band: k.Band, Priority: k.Priority, Standing: k.Standing}
			sums[k] = q
		}
		factor := s.durationFactor(j.rec.Queue)
		for _, t := range j.tasks {
			if j.isStartable(t) && largest.holds(t.step) {
				q.CPUMilli += t.step.CPUMilli
				q.DrainTime = timespan.Add(q.DrainTime, timespan.Times(t.step.Estimate, factor*float64(t.step.CPUMilli)/float64(max(capacity, 1))))
			}
		}
	}
	out := make([]QueuedWork, 0, len(sums))
	for _, k := range slices.SortedFunc(maps.Keys(sums), policy.QueueKey.Compare) {
		out = append(out, *sums[k])
	}
	return out
}

// capacityBound is the most of each resource that any worker of a shard has. The zero value stands for workers that are not
// known.
type capacityBound struct{ cpuMilli, memMB, gpu int64 }

// largestCapacity returns the most of each resource that any known worker has.
func (s *Shard) largestCapacity() capacityBound {
	var b capacityBound
	for _, h := range s.workers {
		b.cpuMilli = max(b.cpuMilli, h.info.CPUMilli)
		b.memMB = max(b.memMB, h.info.MemMB)
		b.gpu = max(b.gpu, h.info.GPU)
	}
	return b
}

// holds reports whether some worker may have room for a task of a step.
func (b capacityBound) holds(step *submission.Step) bool {
	return b == capacityBound{} || step.CPUMilli <= b.cpuMilli && step.MemMB <= b.memMB && step.GPU <= b.gpu
}

// FreeSlots returns how many tasks of milli thousandths of a core the free capacity has room for after
// ahead thousandths of a core of queued work that is served first.
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
