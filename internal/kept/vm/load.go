package vm

import (
	"maps"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// candidates returns the shards that can take a submission, or the refusal if none can.
func (e *engine) candidates(r *submission.Record, receivedAt time.Duration) ([]policy.Candidate, *Outcome) {
	shards := e.eligibleShards(r)
	if len(shards) == 0 && e.anyReachable() {
		why := policy.NoWorkerForService
		if len(e.evacuations.Domains()) > 0 {
			why = policy.AllDomainsEvacuated
		}
		return nil, &Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: string(why)}
	}
	if reason := e.admission(r, receivedAt, shards); reason.Refused() {
		return nil, &Outcome{Kind: Refused, RetryAfter: e.retryDelay(r, shards), Reason: string(reason)}
	}
	if e.bindsLate(r) {
		e.keepOrder(shards, r)
	}
	return shards, nil
}

// eligibleShards returns the shards that are reachable and may start the submission's tasks, with their
// capacity and queues. A shard whose domain is evacuated, or which has no workers of the service, is left out:
// the submission would wait there for ever.
func (e *engine) eligibleShards(r *submission.Record) []policy.Candidate {
	out := make([]policy.Candidate, 0, len(e.loadNames))
	sizeMilli := largestTaskMilli(r)
	taskTime := longestEstimate(r)
	hasPools := e.hasPools()
	for _, name := range e.loadNames {
		l := e.loads[name]
		if !e.isReachable(name, l) || e.evacuations.Evacuated(site.DomainOf(name)) || !slices.Contains(l.Services, r.Terms.Service) {
			continue
		}
		_, queue := l.QueuedAhead(0, true)
		ahead, wait := e.loadFor(r, l).QueuedAhead(r.Terms.Priority, !e.vm.config.Policy.ByPriority)
		// Tasks that this VM has sent there since the shard's last load report count as waiting there.
		sent := timespan.Times(taskTime, float64(l.sentMilli)/float64(max(l.CapacityMilli, 1)))
		c := policy.Candidate{
			Shard:       name,
			InOwnDomain: site.DomainOf(name) == e.vm.config.Domain,
			Free:        max(l.FreeSlots(sizeMilli, ahead)-int(l.sentMilli/sizeMilli), 0),
			Capacity:    int(l.CapacityMilli / sizeMilli),
			Wait:        timespan.Add(wait, sent),
			QueueTime:   timespan.Add(queue, sent),
		}
		if hasPools {
			e.addPoolQueue(&c, r)
		}
		out = append(out, c)
	}
	return out
}

// policyWork describes a submission that has not started, for the decisions of package policy.
func (e *engine) policyWork(r *submission.Record, receivedAt time.Duration) *policy.Work {
	runTime := r.CriticalPath()
	return &policy.Work{
		ID:            r.ID,
		Priority:      r.Terms.Priority,
		ReceivedAt:    receivedAt,
		Objective:     r.Terms.Objective(runTime),
		RunTime:       runTime,
		CallerTimeout: r.CallerTimeout,
	}
}

// retryDelay returns after which time a refused caller should retry.
func (e *engine) retryDelay(r *submission.Record, shards []policy.Candidate) time.Duration {
	if len(shards) == 0 {
		return defaultRetryAfter
	}
	wait, work := policy.MinWait(shards), e.workTime(r)
	if e.vm.config.Policy.RetryTurns {
		return e.turns.RetryAfter(e.now, wait, work)
	}
	return e.retrySchedule.RetryAfter(e.now, wait, work)
}

// workTime estimates how long a submission's work takes on this VM's share of the known capacity, which is
// divided evenly among this VM and its linked peers.
func (e *engine) workTime(r *submission.Record) time.Duration {
	var capacityMilli int64
	for _, l := range e.loads {
		capacityMilli += l.CapacityMilli
	}
	var work float64 // thousandths of a core times nanoseconds
	for i := range r.Steps {
		s := &r.Steps[i]
		work += float64(s.Count) * float64(s.CPUMilli) * float64(s.Estimate)
	}
	return timespan.OfNanos(work / float64(max(capacityMilli, 1)) * float64(len(e.links)+1))
}

// largestTaskMilli returns the largest CPU demand of a task, in thousandths of a core, at least 1.
func largestTaskMilli(r *submission.Record) int64 {
	size := int64(1)
	for i := range r.Steps {
		size = max(size, r.Steps[i].SizeMilli())
	}
	return size
}

func largestTaskMB(r *submission.Record) int64 {
	var size int64
	for i := range r.Steps {
		size = max(size, r.Steps[i].MemMB)
	}
	return size
}

func longestEstimate(r *submission.Record) time.Duration {
	var d time.Duration
	for i := range r.Steps {
		d = max(d, r.Steps[i].Estimate)
	}
	return d
}

// broadcastLoads sends the loads of this VM's shards to the peers: soon after a change, and at intervals. Peers
// of other failure domains get them less often on a large site. What changes without a placement of tasks is found some
// time later.
func (e *engine) broadcastLoads() {
	minInterval := max(minLoadInterval, time.Duration(len(e.links))*loadIntervalPerPeer)
	for name, h := range e.shards {
		since := e.now - h.loadSentAt
		if since < minInterval || since < loadInterval && h.core.RoomVersion() == h.loadVersion && e.now-h.loadCheckedAt < minInterval {
			continue
		}
		h.loadVersion, h.loadCheckedAt = h.core.RoomVersion(), e.now
		load := h.core.Load(e.now)
		if since < loadInterval && sameLoad(load, h.sentLoad) {
			continue
		}
		h.loadSentAt = e.now
		h.sentLoad = load
		e.vm.metrics.shard(name).set(len(h.sessions), &load)
		e.updateLoad(e.vm.config.Name, name, h.holding.Token, load)
		allDomains := e.now-h.loadSentFarAt >= farLoadInterval || len(e.links) <= site.MaxFullMeshPeers
		if allDomains {
			h.loadSentFarAt = e.now
		}
		e.sendLoad(name, encodeLoad(name, h.holding.Token, &load), allDomains)
	}
}

// sendLoad sends a load report to the peers of the shard's failure domain, or of all domains.
func (e *engine) sendLoad(name string, out *pb.KeptLoad, allDomains bool) {
	for _, peer := range e.loadReaders(site.DomainOf(name), allDomains) {
		f := e.frame(peer)
		f.Loads = append(f.Loads, out)
	}
}

// loadReaders returns the peers to which a load of a failure domain is reported: those of the domain, or all.
func (e *engine) loadReaders(domain string, allDomains bool) []string {
	var out []string
	for peer := range e.links {
		if allDomains || e.domainOf(peer) == domain {
			out = append(out, peer)
		}
	}
	return out
}

func encodeLoad(name string, token uint64, load *shard.Load) *pb.KeptLoad {
	out := &pb.KeptLoad{
		Shard:     name,
		Token:     token,
		Ready:     load.Ready,
		RoomMilli: load.CapacityMilli,
		Services:  load.Services,
		Waiting:   make(map[string]uint32, len(load.UnstartedByQueue)),
	}
	out.Queued = encodeQueued(load.Queued)
	out.Standings = encodeStandings(load.Standings)
	for _, a := range load.Arriving {
		out.Arriving = append(out.Arriving, &pb.KeptArriving{Priority: int32(a.Priority), Milli: a.CPUMilli})
	}
	for _, free := range load.FreeMilli {
		out.FreeMilli = append(out.FreeMilli, uint32(max(free, 0)))
	}
	for q, n := range load.UnstartedByQueue {
		out.Waiting[q] = uint32(n)
	}
	return out
}

func encodeQueued(queued []shard.QueuedWork) []*pb.KeptQueued {
	var out []*pb.KeptQueued
	for _, q := range queued {
		out = append(out, &pb.KeptQueued{
			Band:     uint32(q.Band),
			Priority: int32(q.Priority),
			Milli:    q.CPUMilli,
			TakesNs:  int64(q.DrainTime),
			Standing: uint32(q.Standing),
		})
	}
	return out
}

// sameLoad reports whether a load need not be sent again. The arrivals, which change all the time, are left out.
func sameLoad(a, b shard.Load) bool {
	return a.Ready == b.Ready && slices.Equal(a.FreeMilli, b.FreeMilli) && a.CapacityMilli == b.CapacityMilli &&
		slices.Equal(a.Queued, b.Queued) && maps.Equal(a.Standings, b.Standings) && slices.Equal(a.Services, b.Services) && maps.Equal(a.UnstartedByQueue, b.UnstartedByQueue)
}

// updateLoad stores a load report unless one of a newer holder is known.
func (e *engine) updateLoad(holder, name string, token uint64, load shard.Load) {
	l := e.loads[name]
	if l == nil {
		l = &knownLoad{}
		e.loads[name] = l
		i, _ := slices.BinarySearch(e.loadNames, name)
		e.loadNames = slices.Insert(e.loadNames, i, name)
	}
	if token < l.token {
		return // from a previous holder
	}
	e.holdersMoved = e.holdersMoved || l.holder != holder
	if l.token != token {
		e.repeatDemands(holder) // its pool may be a new one
	}
	e.checkAll = e.checkAll || l.holder != holder || l.token != token || l.Ready != load.Ready
	*l = knownLoad{Load: load, holder: holder, token: token, receivedAt: e.now}
}

func (ev holdsEvent) apply(e *engine) { ev.reply <- e.shards[ev.shard] != nil }
