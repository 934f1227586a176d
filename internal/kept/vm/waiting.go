package vm

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A queue's waiting submissions are counted by the holders, with the load of their shards,
// and by the homes of those whose holder is out of reach. Without the homes' share a domain
// that is cut off takes what it was sent last out of the count: a queue would pass for
// empty while submissions that were accepted a few seconds ago wait for the heal.

func (ev waitingEvent) apply(e *engine) {
	n := e.waiting()[ev.queue]
	if e.at-e.elsewhere.at < elsewhereFresh {
		n = max(n, e.elsewhere.byQueue[ev.queue])
	}
	ev.reply <- int(n)
}

// waiting counts what waits as far as this VM hears of it, by queue.
func (e *engine) waiting() map[string]uint32 {
	out := e.ownUnplaced()
	for _, l := range e.loads {
		for queue, n := range l.Waiting {
			out[queue] += uint32(n)
		}
	}
	for _, byQueue := range e.unplaced {
		for queue, n := range byQueue {
			out[queue] += n
		}
	}
	return out
}

// A VM that holds nothing hears of the shards of its own failure domain and of a few others.
// Asked what waits in a queue it would leave out the rest of the site, so holders, which hear
// of all shards, tell the VMs of their domain.

// waitingWord is what a holder says waits on the whole site.
type waitingWord struct {
	byQueue map[string]uint32
	at      time.Duration
}

// Times of the holders' word. A count may be two seconds old when a caller gets it.
const (
	elsewhereEvery = 700 * time.Millisecond
	elsewhereFresh = 1200 * time.Millisecond
)

// tellElsewhere tells the VMs that hold nothing what waits on the whole site.
func (e *engine) tellElsewhere() {
	if len(e.shards) == 0 || e.at-e.elsewhereAt < elsewhereEvery {
		return
	}
	e.elsewhereAt = e.at
	now := e.waiting()
	if len(now) == 0 && !e.toldElsewhere {
		return
	}
	e.toldElsewhere = len(now) > 0
	for peer := range e.links {
		if !e.site.Holds(peer) {
			e.frame(peer).Elsewhere = &pb.KeptUnplaced{ByQueue: now}
		}
	}
}

// ownUnplaced counts the stored submissions that this VM took, that have not begun as far
// as it knows, and whose shard's holder cannot be reached.
func (e *engine) ownUnplaced() map[string]uint32 {
	out := make(map[string]uint32)
	for _, h := range e.homes {
		if h.record != nil && h.created && h.state == submission.Queued && !e.reachable(h.shard) {
			out[h.record.Queue]++
		}
	}
	return out
}

// tellUnplaced tells all peers of this VM's share of the count, again and again while
// there is one: a peer may have come, or started again, since.
func (e *engine) tellUnplaced() {
	if e.at-e.unplacedAt < loadEvery {
		return
	}
	e.unplacedAt = e.at
	now := e.ownUnplaced()
	if len(now) == 0 && !e.toldUnplaced {
		return
	}
	e.toldUnplaced = len(now) > 0
	for peer := range e.links {
		e.frame(peer).Unplaced = &pb.KeptUnplaced{ByQueue: now}
	}
}
