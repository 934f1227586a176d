package vm

import (
	"maps"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// lateFactor is how many times its objective a submission may take and still be of
// use to its caller.
const lateFactor = 3

// chooseShard picks the shard that can begin a submission soonest.
func (e *engine) chooseShard(r *submission.Record) (name string, refusal *Outcome) {
	if !r.Transient && e.vm.router.Down() {
		return "", &Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "the store does not answer"}
	}
	need := demand(r)
	var best string
	var bestWait float64
	for _, candidate := range slices.Sorted(maps.Keys(e.loads)) {
		if !e.reachable(candidate) {
			continue
		}
		wait := e.waitAt(candidate, need)
		if best == "" || wait < bestWait {
			best, bestWait = candidate, wait
		}
	}
	if best == "" {
		return "", &Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "no shard can be reached"}
	}
	l := e.loads[best]
	longest := longestEstimate(r)
	useful := lateFactor * (time.Duration(r.Terms.Stretch*float64(longest)) + r.Terms.Target)
	if l.FreeMilli-l.sent < need && l.Backlog > useful {
		return "", &Outcome{Kind: Busy, RetryAfter: l.Backlog, Why: "it could not be done in time"}
	}
	return best, nil
}

func longestEstimate(r *submission.Record) time.Duration {
	var d time.Duration
	for i := range r.Steps {
		d = max(d, r.Steps[i].Estimate)
	}
	return d
}

// domainBonus prefers the caller's own failure domain among shards with room.
const domainBonus = 0.1

// waitAt ranks a shard for a submission; lower is better. With room it is below
// zero, the more the freer the shard is.
func (e *engine) waitAt(name string, need int64) float64 {
	l := e.loads[name]
	if l.RoomMilli == 0 {
		return 1e9
	}
	free := float64(l.FreeMilli-l.sent-need) / float64(l.RoomMilli)
	wait := l.Backlog.Seconds() - free
	if name == e.vm.config.Domain && free > 0 {
		wait -= domainBonus
	}
	return wait
}

// tellLoads tells all peers how much the shards of this VM could take.
func (e *engine) tellLoads() {
	for name, h := range e.shards {
		since := e.at - h.loadAt
		if since < loadAtMost {
			continue
		}
		load := h.core.Load(e.at)
		if since < loadEvery && sameLoad(load, h.load) {
			continue
		}
		h.loadAt = e.at
		h.load = load
		e.takeLoad(e.vm.config.Name, name, h.holding.Token, load)
		out := &pb.KeptLoad{
			Shard:     name,
			Token:     h.holding.Token,
			Ready:     load.Ready,
			FreeMilli: load.FreeMilli,
			RoomMilli: load.RoomMilli,
			BacklogNs: int64(load.Backlog),
			Waiting:   make(map[string]uint32, len(load.Waiting)),
		}
		for q, n := range load.Waiting {
			out.Waiting[q] = uint32(n)
		}
		for peer := range e.links {
			f := e.frame(peer)
			f.Loads = append(f.Loads, out)
		}
	}
}

func sameLoad(a, b shard.Load) bool {
	return a.Ready == b.Ready && a.FreeMilli == b.FreeMilli && a.RoomMilli == b.RoomMilli &&
		a.Backlog == b.Backlog && maps.Equal(a.Waiting, b.Waiting)
}

func (e *engine) takeLoad(holder, name string, token uint64, load shard.Load) {
	l := e.loads[name]
	if l == nil {
		l = &loadView{}
		e.loads[name] = l
	}
	if token < l.token {
		return // of an earlier holder
	}
	*l = loadView{Load: load, holder: holder, token: token, at: e.at}
}

func (ev waitingEvent) apply(e *engine) {
	n := 0
	for _, l := range e.loads {
		n += l.Waiting[ev.queue]
	}
	ev.reply <- n
}
