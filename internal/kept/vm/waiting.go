package vm

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A queue's waiting submissions are counted by the holders, with the load of their shards,
// and by the homes of those whose holder is out of reach. Without the homes' share a domain
// that is cut off takes what it was sent last out of the count: a queue would pass for
// empty while submissions that were accepted a few seconds ago wait for the heal.

func (ev waitingEvent) apply(e *engine) {
	n := e.ownUnplaced()[ev.queue]
	for _, byQueue := range e.unplaced {
		n += byQueue[ev.queue]
	}
	for _, domain := range e.vm.config.Domains {
		n += e.waitingIn(domain)[ev.queue]
	}
	ev.reply <- int(n)
}

// A VM hears of the shards of its own failure domain and, on a large site, of a few others. Asked
// what waits in a queue it would leave out the rest of the site. So the holders of a domain count
// for it, and all holders pass the counts on, with their age, to the VMs they have links to: each
// count reaches each VM over a few holders.

// waitingWord is what waits in a failure domain, as a holder there said.
type waitingWord struct {
	byQueue map[string]uint32
	at      time.Duration
}

// Times of the holders' words. Callers may get a count that is two seconds old.
const (
	elsewhereEvery = 500 * time.Millisecond
	elsewhereFresh = 2 * time.Second
)

// waitingIn counts what waits at the shards of a failure domain: what is known of them, or what
// holders say if that is more, as it is of all shards.
func (e *engine) waitingIn(domain string) map[string]uint32 {
	out := make(map[string]uint32)
	for name, l := range e.loads {
		if site.DomainOf(name) != domain {
			continue
		}
		for queue, n := range l.Waiting {
			out[queue] += uint32(n)
		}
	}
	if w := e.elsewhere[domain]; domain != e.vm.config.Domain && e.at-w.at < elsewhereFresh {
		for queue, n := range w.byQueue {
			out[queue] = max(out[queue], n)
		}
	}
	return out
}

func (e *engine) takeElsewhere(w *pb.KeptWaiting) {
	at := e.at - time.Duration(w.AgeNs)
	if at > e.elsewhere[w.Domain].at {
		e.elsewhere[w.Domain] = waitingWord{byQueue: w.ByQueue, at: at}
	}
}

// tellElsewhere tells the peers of a holder what waits in its domain, and what it has heard of the
// others. A word that nothing waits replaces the one before.
func (e *engine) tellElsewhere() {
	if len(e.shards) == 0 || len(e.vm.config.Domains) < 2 || e.at-e.elsewhereAt < elsewhereEvery {
		return
	}
	e.elsewhereAt = e.at
	own := e.vm.config.Domain
	e.elsewhere[own] = waitingWord{byQueue: e.waitingIn(own), at: e.at}
	var words []*pb.KeptWaiting
	for domain, w := range e.elsewhere {
		if age := e.at - w.at; age < elsewhereFresh {
			words = append(words, &pb.KeptWaiting{Domain: domain, AgeNs: uint64(age), ByQueue: w.byQueue})
		}
	}
	for peer := range e.links {
		f := e.frame(peer)
		f.Elsewhere = append(f.Elsewhere, words...)
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
