package vm

import (
	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A queue's waiting submissions are counted by the holders, with the load of their shards,
// and by the homes of those whose holder is out of reach. Without the homes' share a domain
// that is cut off takes what it was sent last out of the count: a queue would pass for
// empty while submissions that were accepted a few seconds ago wait for the heal.

func (ev waitingEvent) apply(e *engine) {
	n := int(e.ownUnplaced()[ev.queue])
	for _, l := range e.loads {
		n += l.Waiting[ev.queue]
	}
	for _, byQueue := range e.unplaced {
		n += int(byQueue[ev.queue])
	}
	ev.reply <- n
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
