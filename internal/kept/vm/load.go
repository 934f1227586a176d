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
)

// candidates returns the shards that can take a submission, or why none does.
func (e *engine) candidates(r *submission.Record, came time.Duration) ([]policy.Candidate, *Outcome) {
	shards := e.eligibleShards(r)
	if len(shards) == 0 && e.anyReachable() {
		why := policy.NoWorkerForService
		if len(e.evacuations.Domains()) > 0 {
			why = policy.AllDomainsEvacuated
		}
		return nil, &Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: string(why)}
	}
	if reason := policy.Admit(e.now, e.policyWork(r, came), shards); reason.Refused() {
		return nil, &Outcome{Kind: Refused, RetryAfter: e.retryDelay(r, shards), Reason: string(reason)}
	}
	return shards, nil
}

// eligibleShards returns what the shards that can be reached, and may start its tasks, could take
// of a submission. One whose domain is evacuated, or without workers of its service, would keep it
// waiting for ever.
func (e *engine) eligibleShards(r *submission.Record) []policy.Candidate {
	var out []policy.Candidate
	size := largestTaskMilli(r)
	task := longestEstimate(r)
	for _, name := range slices.Sorted(maps.Keys(e.loads)) {
		l := e.loads[name]
		if !e.reachable(name) || e.evacuations.Evacuated(site.DomainOf(name)) || !slices.Contains(l.Services, r.Terms.Service) {
			continue
		}
		_, queue := l.QueuedAhead(0, true)
		ahead, wait := l.QueuedAhead(r.Terms.Priority, !e.vm.config.Policy.ByPriority)
		// What this VM has sent there since the shard's last word counts as waiting there.
		sent := time.Duration(float64(task) * float64(l.sentMilli) / float64(max(l.CapacityMilli, 1)))
		out = append(out, policy.Candidate{
			Shard:       name,
			InOwnDomain: site.DomainOf(name) == e.vm.config.Domain,
			Free:        max(l.FreeSlots(size, ahead)-int(l.sentMilli/size), 0),
			Capacity:    int(l.CapacityMilli / size),
			Wait:        wait + sent,
			QueueTime:   queue + sent,
		})
	}
	return out
}

// work is a submission that came at a time and has not begun, as the policy sees it.
func (e *engine) policyWork(r *submission.Record, came time.Duration) *policy.Work {
	takes := r.CriticalPath()
	return &policy.Work{
		ID:            r.ID,
		Priority:      r.Terms.Priority,
		ReceivedAt:    came,
		Objective:     r.Terms.Objective(takes),
		RunTime:       takes,
		CallerTimeout: r.CallerTimeout,
	}
}

// retryDelay is after what time a caller that is refused should try again.
func (e *engine) retryDelay(r *submission.Record, shards []policy.Candidate) time.Duration {
	if len(shards) == 0 {
		return defaultRetryAfter
	}
	return e.retrySchedule.RetryAfter(e.now, policy.MinWait(shards), e.workTime(r))
}

// workTime is the time that a submission's work takes on this VM's share of all room.
func (e *engine) workTime(r *submission.Record) time.Duration {
	var room int64
	for _, l := range e.loads {
		room += l.CapacityMilli
	}
	var work float64 // thousandths of a core times nanoseconds
	for i := range r.Steps {
		s := &r.Steps[i]
		work += float64(s.Count) * float64(s.CPUMilli) * float64(s.Estimate)
	}
	return time.Duration(work / float64(max(room, 1)) * float64(len(e.links)+1))
}

// largestTaskMilli is the processor that a task takes, thousandths of a core.
func largestTaskMilli(r *submission.Record) int64 {
	size := int64(1)
	for i := range r.Steps {
		size = max(size, r.Steps[i].CPUMilli)
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

// broadcastLoads tells all peers how much the shards of this VM could take.
func (e *engine) broadcastLoads() {
	pace := max(minLoadInterval, time.Duration(len(e.links))*loadIntervalPerPeer)
	for name, h := range e.shards {
		since := e.now - h.loadSentAt
		if since < pace {
			continue
		}
		load := h.core.Load(e.now)
		if since < loadInterval && sameLoad(load, h.sentLoad) {
			continue
		}
		h.loadSentAt = e.now
		h.sentLoad = load
		e.vm.metrics.shard(name).set(len(h.sessions), &load)
		e.updateLoad(e.vm.config.Name, name, h.holding.Token, load)
		far := e.now-h.loadSentFarAt >= farLoadInterval || len(e.links) <= site.MaxFullMeshPeers
		if far {
			h.loadSentFarAt = e.now
		}
		e.sendLoad(name, encodeLoad(name, h.holding.Token, &load), far)
	}
}

// sendLoad tells peers of a load, those of other failure domains only if it is their turn.
func (e *engine) sendLoad(name string, out *pb.KeptLoad, far bool) {
	domain := site.DomainOf(name)
	for peer := range e.links {
		if m, _ := e.site.Member(peer); far || m.Domain == domain {
			f := e.frame(peer)
			f.Loads = append(f.Loads, out)
		}
	}
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
	for _, q := range load.Queued {
		out.Queued = append(out.Queued, &pb.KeptQueued{
			Band:     uint32(q.Band),
			Priority: int32(q.Priority),
			Milli:    q.CPUMilli,
			TakesNs:  int64(q.DrainTime),
		})
	}
	for _, free := range load.FreeMilli {
		out.FreeMilli = append(out.FreeMilli, uint32(max(free, 0)))
	}
	for q, n := range load.UnstartedByQueue {
		out.Waiting[q] = uint32(n)
	}
	return out
}

func sameLoad(a, b shard.Load) bool {
	return a.Ready == b.Ready && slices.Equal(a.FreeMilli, b.FreeMilli) && a.CapacityMilli == b.CapacityMilli &&
		slices.Equal(a.Queued, b.Queued) && slices.Equal(a.Services, b.Services) && maps.Equal(a.UnstartedByQueue, b.UnstartedByQueue)
}

func (e *engine) updateLoad(holder, name string, token uint64, load shard.Load) {
	l := e.loads[name]
	if l == nil {
		l = &knownLoad{}
		e.loads[name] = l
	}
	if token < l.token {
		return // of an earlier holder
	}
	*l = knownLoad{Load: load, holder: holder, token: token, receivedAt: e.now}
}

func (ev holdsEvent) apply(e *engine) { ev.reply <- e.shards[ev.shard] != nil }
