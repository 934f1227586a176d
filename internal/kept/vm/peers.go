package vm

import (
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// PeerUp, PeerLost, Frame and InboundStreamEnded implement link.Events.

// PeerUp is called when a link is established.
func (e *engine) PeerUp(name string, incarnation uint64) {
	e.vm.deliver(peerUpEvent{name: name, incarnation: incarnation})
}

// PeerLost is called when a broken link could not be re-established.
func (e *engine) PeerLost(name, why string) { e.vm.deliver(peerLostEvent{name: name, why: why}) }

// Frame is called for each frame from a peer.
func (e *engine) Frame(from string, f *pb.KeptFrame) {
	for _, r := range f.Replies {
		e.vm.calls.deliver(r)
	}
	e.vm.calls.setReachesStore(from, f.ReachesStore)
	e.setLinkNeeded(from, f.Wanted)
	f.Replies = nil // they have been delivered
	if link.CarriesMessages(f) {
		e.vm.deliver(frameEvent{from: from, frame: f})
	}
}

// unusedLinkTTL is how long a link is kept that neither end needs: shards may change hands and
// back within seconds, and closing a link drops the frames in its queue.
const unusedLinkTTL = 3 * time.Second

// InboundStreamEnded is called when a stream from a peer has ended.
func (e *engine) InboundStreamEnded(from string) { e.setLinkNeeded(from, false) }

// setLinkNeeded records whether a peer needs the link from this VM to it.
func (e *engine) setLinkNeeded(from string, needed bool) {
	before, _ := e.linkNeededBy.Swap(from, needed)
	if was, _ := before.(bool); was != needed {
		e.vm.post(linkNeedEvent{})
	}
}

func (ev linkNeedEvent) apply(e *engine) { e.linksOutdated = true }

// updateLinks opens and closes links as VMs and holders come and go. A link is kept while this
// VM or its peer needs it, and while submissions of one of them are in flight at the other.
func (e *engine) updateLinks() {
	wanted := make(map[string]site.Peer)
	needed := make(map[string]bool)
	for _, p := range e.site.Peers(e.now) {
		wanted[p.Name] = p
		needed[p.Name] = true
	}
	e.linkNeededBy.Range(func(name, byPeer any) bool {
		if m, isMember := e.site.Member(name.(string)); isMember && byPeer.(bool) && !needed[m.Name] {
			wanted[m.Name] = site.Peer{Member: m}
		}
		return true
	})
	for name, l := range e.links {
		if p, still := wanted[name]; still && p.Address == l.Address() {
			l.SetNeeded(needed[name])
			e.linkNeededAt[name] = e.now
			continue
		}
		if m, isMember := e.site.Member(name); isMember && m.Address == l.Address() && (e.now-e.linkNeededAt[name] < unusedLinkTTL || e.hasWorkWith(name)) {
			l.SetNeeded(false)
			continue
		}
		go l.Close()
		delete(e.links, name)
		delete(e.linkUp, name)
		e.checkAll = true
		delete(e.linkNeededAt, name)
		e.waiting.forgetPeer(name)
		e.forgetPools(name)
		e.site.LinkClosed(name)
		e.vm.calls.setLink(name, nil)
	}
	for name, p := range wanted {
		if e.links[name] == nil {
			e.openLink(p, needed[name])
		}
	}
	e.linksUpdatedAt = e.now
}

// openLink opens a link to a peer. needed: this VM needs it, not only the peer.
func (e *engine) openLink(p site.Peer, needed bool) {
	settings := link.DefaultSettings()
	if !p.FastDetection {
		settings = link.RelaxedSettings(settings)
	}
	settings.Now = e.vm.now
	settings.ReachesStore = e.vm.router.ReachesStore
	l := link.Open(e.ctx, settings, e.vm.heartbeat(), p.Name, p.Address, e.vm.config.PeerDial, e)
	l.SetNeeded(needed)
	e.links[p.Name] = l
	e.linkNeededAt[p.Name] = e.now
	e.vm.calls.setLink(p.Name, l)
}

// linkTo returns the link to a peer, and opens it if there is none yet; nil: there is no such
// VM.
func (e *engine) linkTo(peer string) *link.Link {
	if e.links[peer] == nil {
		m, isMember := e.site.Member(peer)
		if !isMember || peer == e.vm.config.Name {
			return nil
		}
		e.openLink(site.Peer{Member: m}, true)
	}
	return e.links[peer]
}

// hasWorkWith reports whether a peer's shards hold unfinished parts of submissions of this VM, or
// this VM's shards hold some of the peer's: messages about them use the link.
func (e *engine) hasWorkWith(name string) bool {
	for _, t := range e.transients {
		for _, p := range t.parts {
			if p.holder == name && !p.state.Final() && !t.state.Final() {
				return true
			}
		}
	}
	for _, h := range e.shards {
		if h.core.HasSubmissionsOf(name) {
			return true
		}
	}
	return false
}

// linkUpdateInterval is the shortest time between updates of the links on a large site: while it starts, each
// VM learns of hundreds of VMs and holders within a second.
const linkUpdateInterval = 50 * time.Millisecond

// maintainLinks updates the links when VMs or holders have changed, and every unusedLinkTTL to close those
// that nobody needs any more.
func (e *engine) maintainLinks() {
	due := e.linksOutdated && (len(e.links) <= site.MaxFullMeshPeers || e.now-e.linksUpdatedAt >= linkUpdateInterval)
	if due || e.now-e.linksUpdatedAt >= unusedLinkTTL {
		e.linksOutdated = false
		e.updateLinks()
	}
}

// apply brings a peer that can be reached again up to date.
func (ev peerUpEvent) apply(e *engine) {
	if !e.linkUp[ev.name] {
		klog.InfoS("kept: peer reached", "peer", ev.name, "incarnation", ev.incarnation)
	}
	e.setLinkUp(ev.name, true)
	if old := e.peerIncarnations[ev.name]; old != 0 && old != ev.incarnation {
		e.dropLostHome(ev.name) // its previous process ended unnoticed
	}
	e.peerIncarnations[ev.name] = ev.incarnation
	e.requeryHolder(ev.name)
	e.repeatDemands(ev.name)
	e.sendEvacuations(ev.name)
	e.resendLists(ev.name)
	e.site.SetLinkLost(ev.name, false)
	for _, h := range e.shards {
		h.loadSentAt = e.now - loadInterval // the peer may have missed the last report
	}
	for _, p := range e.heldPools {
		p.sentAt = e.now - loadInterval
	}
}

// domainOf returns the failure domain of an entry VM, or "" if the VM is not known (any more).
func (e *engine) domainOf(name string) string {
	if name == e.vm.config.Name {
		return e.vm.config.Domain
	}
	m, _ := e.site.Member(name)
	return m.Domain
}

// setLinkUp records whether the link to a peer is established. Submissions may have to be given to other VMs.
func (e *engine) setLinkUp(peer string, up bool) {
	e.linkUp[peer] = up
	if up {
		e.linkUpAt[peer] = e.now
	}
	e.checkAll = true
}

// requeryHolder has a holder asked again about all submissions that it has: messages in flight on an
// earlier stream may be lost.
func (e *engine) requeryHolder(holder string) {
	for _, h := range e.tracked {
		if h.holder == holder {
			h.queriedAt = 0
		}
	}
	for _, t := range e.transients {
		for _, p := range t.parts {
			if p.holder == holder {
				p.queriedAt, p.updatedAt = 0, 0
			}
		}
	}
}

// apply marks a peer as unreachable.
func (ev peerLostEvent) apply(e *engine) {
	if e.linkUp[ev.name] {
		e.vm.metrics.peersLost.Inc(1)
		klog.InfoS("kept: peer lost", "peer", ev.name, "why", ev.why)
	}
	e.setLinkUp(ev.name, false)
	e.waiting.forgetPeer(ev.name)
	e.site.SetLinkLost(ev.name, true)
	e.updateSitePacing()
	e.vm.calls.setReachesStore(ev.name, false)
	e.forgetPools(ev.name)
	e.dropLostHome(ev.name)
}

// dropLostHome cancels, in the shards held here, the transient submissions whose home, the VM that
// accepted them, cannot be reached.
func (e *engine) dropLostHome(peer string) {
	e.dropDemandsOf(peer)
	for name, h := range e.shards {
		if n := h.core.HomeLost(e.now, peer); n > 0 {
			klog.InfoS("kept: transient submissions cancelled, their home is lost", "home", peer, "shard", name, "submissions", n)
		}
	}
}

// apply handles all messages of a frame.
func (ev frameEvent) apply(e *engine) {
	f := ev.frame
	for _, a := range f.Assign {
		e.receiveAssign(ev.from, a)
	}
	for _, n := range f.Notes {
		ref := submission.TaskRef{ID: submission.ID(n.Id)}
		ref.Step, ref.Index = int(n.Step), int(n.Index)
		e.applyTaskOutcome(ref, int(n.Fails), n.FailedRuns)
	}
	for _, w := range f.Losses {
		ref := submission.TaskRef{ID: submission.ID(w.Id)}
		ref.Step, ref.Index = int(w.Step), int(w.Index)
		e.applyTaskLosses(ref, decodeLosses(w.Losses))
	}
	for _, s := range f.States {
		e.applyStateReport(submission.ID(s.Id), stateReport{shard: s.Shard, token: s.Token, state: submission.State(s.State), serial: s.Serial, returned: decodeReturned(s.Returned), tasks: int(s.Tasks)})
	}
	for _, ref := range f.Cancelled {
		if ref.Shard == "" {
			e.applyStateReport(submission.ID(ref.Id), stateReport{state: submission.Cancelled})
		}
		e.logCancellation(ev.from, ref)
		e.cancelInOwnShards(ref)
	}
	for _, ref := range f.Queries {
		e.receiveQuery(ev.from, ref) // after the cancellations, which are sent with a question whether they were heard
	}
	for _, ref := range f.TakenBack {
		e.receiveRecall(ref)
	}
	for _, c := range f.Confirms {
		e.receiveConfirm(ev.from, c)
	}
	for _, c := range f.Confirmed {
		e.receiveConfirmed(c)
	}
	e.receivePoolMessages(ev.from, f)
	for _, l := range f.Loads {
		e.updateLoad(ev.from, l.Shard, l.Token, decodeLoad(l))
	}
	if f.Unplaced != nil {
		e.waiting.setUnplaced(ev.from, f.Unplaced.ByQueue)
	}
	for _, w := range f.Workers {
		e.receiveWorkers(ev.from, w)
	}
	e.receiveEvacuations(ev.from, f.Evacuations)
	for _, w := range f.Elsewhere {
		e.waiting.updateDomain(w.Domain, domainReport{counts: w.ByQueue, unplaced: w.Unplaced, countedAt: e.now - time.Duration(w.AgeNs)})
	}
	for _, c := range f.Calls {
		e.relayCall(ev.from, c)
	}
}

// relayCall calls the store for a peer and sends back the reply.
func (e *engine) relayCall(from string, c *pb.KeptCall) {
	l := e.links[from]
	if l == nil {
		return
	}
	e.vm.spawn(func() {
		r := e.vm.serveRelayedCall(e.ctx, c)
		l.Send(&pb.KeptFrame{Replies: []*pb.KeptReply{r}})
	})
}

// decodeLoad converts a load report.
func decodeLoad(l *pb.KeptLoad) shard.Load {
	out := shard.Load{
		Ready:            l.Ready,
		CapacityMilli:    l.RoomMilli,
		Services:         l.Services,
		UnstartedByQueue: make(map[string]int, len(l.Waiting)),
	}
	for _, free := range l.FreeMilli {
		out.FreeMilli = append(out.FreeMilli, int64(free))
	}
	for q, n := range l.Waiting {
		out.UnstartedByQueue[q] = int(n)
	}
	for _, a := range l.Arriving {
		out.Arriving = append(out.Arriving, policy.ArrivalRate{Priority: int(a.Priority), CPUMilli: max(a.Milli, 0)})
	}
	out.Queued = decodeQueued(l.Queued)
	out.Standings = decodeStandings(l.Standings)
	return out
}

func decodeQueued(queued []*pb.KeptQueued) []shard.QueuedWork {
	var out []shard.QueuedWork
	for _, q := range queued {
		out = append(out, shard.QueuedWork{
			Band:      policy.LatenessBand(q.Band),
			Priority:  int(q.Priority),
			CPUMilli:  q.Milli,
			DrainTime: timespan.OfNanos(float64(q.TakesNs)),
			Standing:  decodeStanding(q.Standing),
		})
	}
	return out
}
