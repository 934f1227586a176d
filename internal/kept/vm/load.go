package vm

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// candidates returns the shards that can take a submission, or why none does.
func (e *engine) candidates(r *submission.Record) ([]candidate, *Outcome) {
	var out []candidate
	size := largestTask(r)
	for _, name := range slices.Sorted(maps.Keys(e.loads)) {
		if !e.reachable(name) {
			continue
		}
		l := e.loads[name]
		out = append(out, candidate{
			shard:   name,
			own:     site.DomainOf(name) == e.vm.config.Domain,
			free:    max(l.Fit(size)-int(l.sent/size), 0),
			room:    int(l.RoomMilli / size),
			backlog: l.Backlog,
		})
	}
	if len(out) == 0 {
		return nil, &Outcome{Kind: Busy, RetryAfter: retryAfter, Why: "no shard can be reached"}
	}
	useful := submission.LateFactor * r.Terms.Objective(r.Chain())
	least := slices.MinFunc(out, func(a, b candidate) int { return cmp.Compare(a.backlog, b.backlog) }).backlog
	if least > useful {
		return nil, &Outcome{Kind: Busy, RetryAfter: least, Why: "it could not be done in time"}
	}
	return out, nil
}

// largestTask is the processor that a task takes, thousandths of a core.
func largestTask(r *submission.Record) int64 {
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

// tellLoads tells all peers how much the shards of this VM could take.
func (e *engine) tellLoads() {
	for name, h := range e.shards {
		since := e.at - h.loadAt
		if since < max(e.loadAtMost, loadAtMost) {
			continue
		}
		load := h.core.Load(e.at)
		if since < loadEvery && sameLoad(load, h.load) {
			continue
		}
		h.loadAt = e.at
		h.load = load
		e.vm.figures.shard(name).set(len(h.hands), &load)
		e.takeLoad(e.vm.config.Name, name, h.holding.Token, load)
		out := &pb.KeptLoad{
			Shard:       name,
			Token:       h.holding.Token,
			Ready:       load.Ready,
			RoomMilli:   load.RoomMilli,
			QueuedMilli: load.QueuedMilli,
			BacklogNs:   int64(load.Backlog),
			Waiting:     make(map[string]uint32, len(load.Waiting)),
		}
		for _, free := range load.FreeMilli {
			out.FreeMilli = append(out.FreeMilli, uint32(max(free, 0)))
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
	return a.Ready == b.Ready && slices.Equal(a.FreeMilli, b.FreeMilli) && a.RoomMilli == b.RoomMilli &&
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

func (ev holdsEvent) apply(e *engine) { ev.reply <- e.shards[ev.shard] != nil }
