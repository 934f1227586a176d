package vm

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// The waiting submissions of a queue are counted by the holders of shards, as part of their load reports, and
// by the home VMs of those that no holder has, or whose holder cannot be reached ("unplaced" submissions). Without
// the counts of the home VMs, the submissions last sent to a domain that was then cut off would be left out: the
// queue would seem empty while submissions accepted a few seconds ago wait for the partition to heal. So would those
// that wait at their home VM for the grants of pools.
//
// On a large site a VM gets load reports only for the shards of its own failure domain and of a few others, and the
// counts of few home VMs. To cover the rest of the site, holders count for their own domain, of which they have links
// to all VMs, and all holders forward the counts, with their age, to the VMs that they have links to: each count
// reaches each VM through a few holders.

// queueCounts are numbers of submissions by queue name.
type queueCounts map[string]uint32

// raise replaces the counts that are lower than others.
func (c queueCounts) raise(others queueCounts) {
	for queue, n := range others {
		c[queue] = max(c[queue], n)
	}
}

// domainReport is the number of submissions that wait in a failure domain, as counted by a holder there.
type domainReport struct {
	counts    queueCounts // at the shards
	unplaced  queueCounts // at the home VMs
	countedAt time.Duration
}

// waitingReports are the counts that other VMs have reported.
type waitingReports struct {
	domains  map[string]domainReport
	unplaced map[string]queueCounts // by home VM: accepted, not started, holder unreachable
}

func newWaitingReports() waitingReports {
	return waitingReports{domains: make(map[string]domainReport), unplaced: make(map[string]queueCounts)}
}

// updateDomain stores a report about a domain unless a newer one is known.
func (w *waitingReports) updateDomain(domain string, r domainReport) {
	if r.countedAt > w.domains[domain].countedAt {
		w.domains[domain] = r
	}
}

// fresh returns the reports that are not too old to be used and forwarded.
func (w *waitingReports) fresh(now time.Duration) map[string]domainReport {
	out := make(map[string]domainReport)
	for domain, r := range w.domains {
		if now-r.countedAt < maxWaitingReportAge {
			out[domain] = r
		}
	}
	return out
}

func (w *waitingReports) setUnplaced(peer string, counts queueCounts) { w.unplaced[peer] = counts }

func (w *waitingReports) forgetPeer(peer string) { delete(w.unplaced, peer) }

// Interval and maximum age of domain reports. Callers may get a count that is two seconds old.
const (
	waitingReportInterval = 500 * time.Millisecond
	maxWaitingReportAge   = 2 * time.Second
)

func (ev waitingEvent) apply(e *engine) {
	var n uint32
	for _, counts := range e.unplacedByDomain() {
		n += counts[ev.queue]
	}
	for _, domain := range e.vm.config.Domains {
		n += e.waitingIn(domain)[ev.queue]
	}
	ev.reply <- int(n)
}

// unplacedByDomain counts the unplaced submissions of the home VMs of each failure domain: those of which the VMs told
// this one, or the report of a holder there if that is more, as it covers all VMs of the domain. A submission that a shard
// has taken since the report is counted at both until the next report.
func (e *engine) unplacedByDomain() map[string]queueCounts {
	out := e.toldUnplaced()
	for domain, r := range e.waiting.fresh(e.now) {
		if out[domain] == nil {
			out[domain] = make(queueCounts)
		}
		out[domain].raise(r.unplaced)
	}
	return out
}

// toldUnplaced sums, by the failure domain of the home VM, the unplaced submissions of this VM and of those that tell
// it theirs.
func (e *engine) toldUnplaced() map[string]queueCounts {
	out := map[string]queueCounts{e.vm.config.Domain: e.ownUnplaced()}
	for peer, counts := range e.waiting.unplaced {
		domain := e.domainOf(peer)
		if out[domain] == nil {
			out[domain] = make(queueCounts)
		}
		for queue, n := range counts {
			out[domain][queue] += n
		}
	}
	return out
}

// waitingIn counts the submissions that wait at the shards of a failure domain: the sum of the load reports
// that this VM has, or the report of a holder there if that is more, as it covers all shards of the domain.
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
	if r, reported := e.waiting.fresh(e.now)[domain]; reported && domain != e.vm.config.Domain {
		out.raise(r.counts)
	}
	return out
}

// broadcastWaiting sends the peers of a holder the count of its own domain and the reports that it has of other
// domains. A report without any waiting submission is sent as well, to replace the one before.
func (e *engine) broadcastWaiting() {
	hearAll := len(e.vm.config.Domains) < 2 && len(e.links) <= site.MaxFullMeshPeers
	if len(e.shards) == 0 || hearAll || e.now-e.waitingReportedAt < waitingReportInterval {
		return
	}
	e.waitingReportedAt = e.now
	own := e.vm.config.Domain
	e.waiting.updateDomain(own, domainReport{counts: e.waitingIn(own), unplaced: e.toldUnplaced()[own], countedAt: e.now})
	var reports []*pb.KeptWaiting
	for domain, r := range e.waiting.fresh(e.now) {
		reports = append(reports, &pb.KeptWaiting{Domain: domain, AgeNs: uint64(e.now - r.countedAt), ByQueue: r.counts, Unplaced: r.unplaced})
	}
	for peer := range e.links {
		f := e.frame(peer)
		f.Elsewhere = append(f.Elsewhere, reports...)
	}
}

// ownUnplaced counts the submissions of this VM that have not started, as far as it knows, and that no holder counts:
// stored ones whose shard's holder cannot be reached, and transient ones that no shard has.
func (e *engine) ownUnplaced() queueCounts {
	out := make(queueCounts)
	for _, h := range e.tracked {
		if h.record != nil && h.stored && h.state == submission.Queued && !e.reachable(h.shard) {
			out[h.record.Queue]++
		}
	}
	e.unboundCounts(out)
	return out
}

// broadcastUnplaced sends the peers this VM's unplaced submissions, repeatedly while there are any, as peers may
// join or restart.
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
