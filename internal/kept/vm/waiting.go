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
//
// A VM hears of the shards of its own failure domain and, on a large site, of a few others. Asked
// what waits in a queue it would leave out the rest of the site. So the holders of a domain count
// for it, and all holders pass the counts on, with their age, to the VMs they have links to: each
// count reaches each VM over a few holders.

// queueCounts are numbers of submissions by queue.
type queueCounts map[string]uint32

// domainReport is what waits in a failure domain, as a holder there counted it.
type domainReport struct {
	counts queueCounts
	at     time.Duration
}

// waitingReports are what other VMs say of what waits.
type waitingReports struct {
	domains  map[string]domainReport
	unplaced map[string]queueCounts // by VM: taken there, not begun, holder out of reach
}

func newWaitingReports() waitingReports {
	return waitingReports{domains: make(map[string]domainReport), unplaced: make(map[string]queueCounts)}
}

// updateDomain takes a report of a domain unless a newer one is known.
func (w *waitingReports) updateDomain(domain string, r domainReport) {
	if r.at > w.domains[domain].at {
		w.domains[domain] = r
	}
}

// fresh returns the reports that are not too old to be passed on.
func (w *waitingReports) fresh(now time.Duration) map[string]domainReport {
	out := make(map[string]domainReport)
	for domain, r := range w.domains {
		if now-r.at < maxWaitingReportAge {
			out[domain] = r
		}
	}
	return out
}

func (w *waitingReports) setUnplaced(peer string, counts queueCounts) { w.unplaced[peer] = counts }

func (w *waitingReports) forgetPeer(peer string) { delete(w.unplaced, peer) }

// unplacedIn sums what the other VMs could not place of a queue.
func (w *waitingReports) unplacedIn(queue string) uint32 {
	var n uint32
	for _, counts := range w.unplaced {
		n += counts[queue]
	}
	return n
}

// Times of the holders' reports. Callers may get a count that is two seconds old.
const (
	waitingReportInterval = 500 * time.Millisecond
	maxWaitingReportAge   = 2 * time.Second
)

func (ev waitingEvent) apply(e *engine) {
	n := e.ownUnplaced()[ev.queue] + e.waiting.unplacedIn(ev.queue)
	for _, domain := range e.vm.config.Domains {
		n += e.waitingIn(domain)[ev.queue]
	}
	ev.reply <- int(n)
}

// waitingIn counts what waits at the shards of a failure domain: what is known of them, or what
// holders say if that is more, as it is of all shards.
func (e *engine) waitingIn(domain string) queueCounts {
	out := make(queueCounts)
	for name, l := range e.loads {
		if site.DomainOf(name) != domain {
			continue
		}
		for queue, n := range l.UnstartedByQueue {
			out[queue] += uint32(n)
		}
	}
	if r, told := e.waiting.fresh(e.now)[domain]; told && domain != e.vm.config.Domain {
		for queue, n := range r.counts {
			out[queue] = max(out[queue], n)
		}
	}
	return out
}

// broadcastWaiting tells the peers of a holder what waits in its domain, and what it has heard of the
// others. A report that nothing waits replaces the one before.
func (e *engine) broadcastWaiting() {
	if len(e.shards) == 0 || len(e.vm.config.Domains) < 2 || e.now-e.waitingReportedAt < waitingReportInterval {
		return
	}
	e.waitingReportedAt = e.now
	own := e.vm.config.Domain
	e.waiting.updateDomain(own, domainReport{counts: e.waitingIn(own), at: e.now})
	var reports []*pb.KeptWaiting
	for domain, r := range e.waiting.fresh(e.now) {
		reports = append(reports, &pb.KeptWaiting{Domain: domain, AgeNs: uint64(e.now - r.at), ByQueue: r.counts})
	}
	for peer := range e.links {
		f := e.frame(peer)
		f.Elsewhere = append(f.Elsewhere, reports...)
	}
}

// ownUnplaced counts the stored submissions that this VM took, that have not begun as far
// as it knows, and whose shard's holder cannot be reached.
func (e *engine) ownUnplaced() queueCounts {
	out := make(queueCounts)
	for _, h := range e.tracked {
		if h.record != nil && h.stored && h.state == submission.Queued && !e.reachable(h.shard) {
			out[h.record.Queue]++
		}
	}
	return out
}

// broadcastUnplaced tells all peers of this VM's share of the count, again and again while
// there is one: a peer may have come, or started again, since.
func (e *engine) broadcastUnplaced() {
	if e.now-e.unplacedSentAt < loadInterval {
		return
	}
	e.unplacedSentAt = e.now
	now := e.ownUnplaced()
	if len(now) == 0 && !e.unplacedSent {
		return
	}
	e.unplacedSent = len(now) > 0
	for peer := range e.links {
		e.frame(peer).Unplaced = &pb.KeptUnplaced{ByQueue: now}
	}
}
