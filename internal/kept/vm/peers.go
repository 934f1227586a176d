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
)

// PeerUp, PeerLost and Frame implement link.Events.

// PeerUp says that a link stands.
func (e *engine) PeerUp(name string, incarnation uint64) {
	e.vm.post(peerUpEvent{name: name, incarnation: incarnation})
}

// PeerLost says that a link could not be had back.
func (e *engine) PeerLost(name, why string) { e.vm.post(peerLostEvent{name: name, why: why}) }

// Frame takes what a peer says.
func (e *engine) Frame(from string, f *pb.KeptFrame) {
	for _, r := range f.Replies {
		e.vm.calls.deliver(r)
	}
	e.vm.calls.setReachesStore(from, f.ReachesStore)
	e.setLinkWanted(from, f.Wanted)
	f.Replies = nil // they have been handed over
	if link.CarriesMessages(f) {
		e.vm.post(frameEvent{from: from, frame: f})
	}
}

// unusedLinkTTL is for how long a link is kept that neither end needs: holders change hands and
// back within seconds, and a link that is closed takes what waits in it along.
const unusedLinkTTL = 3 * time.Second

// InboundStreamEnded says that a stream from a peer has ended.
func (e *engine) InboundStreamEnded(from string) { e.setLinkWanted(from, false) }

// setLinkWanted takes whether a peer needs the link from here.
func (e *engine) setLinkWanted(from string, wanted bool) {
	before, _ := e.linkWantedBy.Swap(from, wanted)
	if was, _ := before.(bool); was != wanted {
		e.vm.post(linkNeedEvent{})
	}
}

func (ev linkNeedEvent) apply(e *engine) { e.linksOutdated = true }

// updateLinks opens and closes links as VMs and holders come and go. A link is kept while this
// VM needs it, its peer does, or something of this VM is under way there.
func (e *engine) updateLinks() {
	wanted := make(map[string]site.Peer)
	own := make(map[string]bool)
	for _, p := range e.site.Peers(e.now) {
		wanted[p.Name] = p
		own[p.Name] = true
	}
	e.linkWantedBy.Range(func(name, is any) bool {
		if m, there := e.site.Member(name.(string)); there && is.(bool) && !own[m.Name] {
			wanted[m.Name] = site.Peer{Member: m}
		}
		return true
	})
	for name, l := range e.links {
		if p, still := wanted[name]; still && p.Address == l.Address() {
			l.SetNeeded(own[name])
			e.linkNeededAt[name] = e.now
			continue
		}
		if m, there := e.site.Member(name); there && m.Address == l.Address() && (e.now-e.linkNeededAt[name] < unusedLinkTTL || e.hasWorkWith(name)) {
			l.SetNeeded(false)
			continue
		}
		go l.Close()
		delete(e.links, name)
		delete(e.linkUp, name)
		delete(e.linkNeededAt, name)
		e.waiting.forgetPeer(name)
		e.site.LinkClosed(name)
		e.vm.calls.setLink(name, nil)
	}
	for name, p := range wanted {
		if e.links[name] == nil {
			e.openLink(p, own[name])
		}
	}
	e.linksUpdatedAt = e.now
}

func (e *engine) openLink(p site.Peer, own bool) {
	settings := link.DefaultSettings()
	if !p.FastDetection {
		settings = link.RelaxedSettings(settings)
	}
	settings.Now = e.vm.now
	settings.ReachesStore = e.vm.router.ReachesStore
	l := link.Open(e.ctx, settings, e.vm.heartbeat(), p.Name, p.Address, e.vm.config.PeerDial, e)
	l.SetNeeded(own)
	e.links[p.Name] = l
	e.linkNeededAt[p.Name] = e.now
	e.vm.calls.setLink(p.Name, l)
}

// linkTo returns the link to a peer that there is something to say to. One that was not needed
// so far is opened; nil: there is no such VM.
func (e *engine) linkTo(peer string) *link.Link {
	if e.links[peer] == nil {
		m, there := e.site.Member(peer)
		if !there || peer == e.vm.config.Name {
			return nil
		}
		e.openLink(site.Peer{Member: m}, true)
	}
	return e.links[peer]
}

// hasWorkWith reports whether a peer holds parts of submissions of this VM, or this VM's shards
// hold some of the peer's: what is said of them goes over the link.
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

// linkUpdateInterval is between two looks at which links are needed on a large site. While it starts, each VM
// hears of hundreds of VMs and holders within a second.
const linkUpdateInterval = 50 * time.Millisecond

// maintainLinks opens and closes links when VMs or holders have changed, and looks now and then whether
// links are kept that nobody needs any more.
func (e *engine) maintainLinks() {
	due := e.linksOutdated && (len(e.links) <= site.MaxFullMeshPeers || e.now-e.linksUpdatedAt >= linkUpdateInterval)
	if due || e.now-e.linksUpdatedAt >= unusedLinkTTL {
		e.linksOutdated = false
		e.updateLinks()
	}
}

func (ev peerUpEvent) apply(e *engine) {
	if !e.linkUp[ev.name] {
		klog.InfoS("kept: peer reached", "peer", ev.name, "incarnation", ev.incarnation)
	}
	e.linkUp[ev.name] = true
	if old := e.peerIncarnations[ev.name]; old != 0 && old != ev.incarnation {
		e.dropLostHome(ev.name) // its earlier process ended without being missed
	}
	e.peerIncarnations[ev.name] = ev.incarnation
	e.requeryHolder(ev.name)
	e.sendEvacuations(ev.name)
	e.resendLists(ev.name)
	e.site.SetLinkLost(ev.name, false)
	for _, h := range e.shards {
		h.loadSentAt = e.now - loadInterval // the peer may have missed the last word
	}
}

// doubt has a holder asked anew: what was under way on an earlier stream may be lost.
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

func (ev peerLostEvent) apply(e *engine) {
	if e.linkUp[ev.name] {
		e.vm.metrics.peersLost.Inc(1)
		klog.InfoS("kept: peer lost", "peer", ev.name, "why", ev.why)
	}
	e.linkUp[ev.name] = false
	e.waiting.forgetPeer(ev.name)
	e.site.SetLinkLost(ev.name, true)
	e.updateSitePacing()
	e.vm.calls.setReachesStore(ev.name, false)
	e.dropLostHome(ev.name)
}

// dropLostHome ends the transient submissions of a VM that cannot be reached.
func (e *engine) dropLostHome(peer string) {
	for name, h := range e.shards {
		if n := h.core.HomeLost(e.now, peer); n > 0 {
			klog.InfoS("kept: submissions ended, their home is lost", "home", peer, "shard", name, "submissions", n)
		}
	}
}

func (ev frameEvent) apply(e *engine) {
	f := ev.frame
	for _, a := range f.Assign {
		e.receiveAssign(ev.from, a)
	}
	for _, n := range f.Notes {
		ref := submission.TaskRef{ID: submission.ID(n.Id)}
		ref.Step, ref.Index = int(n.Step), int(n.Index)
		e.applyTaskOutcome(ref, int(n.Fails))
	}
	for _, w := range f.Losses {
		ref := submission.TaskRef{ID: submission.ID(w.Id)}
		ref.Step, ref.Index = int(w.Step), int(w.Index)
		e.applyTaskLosses(ref, decodeLosses(w.Losses))
	}
	for _, s := range f.States {
		e.applyStateReport(submission.ID(s.Id), stateReport{shard: s.Shard, token: s.Token, state: submission.State(s.State), serial: s.Serial, returned: decodeReturned(s.Returned)})
	}
	for _, ref := range f.Queries {
		e.receiveQuery(ev.from, ref)
	}
	for _, ref := range f.Cancelled {
		if ref.Shard == "" {
			e.applyStateReport(submission.ID(ref.Id), stateReport{state: submission.Cancelled})
		}
		e.cancelInOwnShards(ref)
	}
	for _, ref := range f.TakenBack {
		e.receiveRecall(ref)
	}
	for _, l := range f.Loads {
		e.updateLoad(ev.from, l.Shard, l.Token, decodeLoad(l))
	}
	if f.Unplaced != nil {
		e.waiting.setUnplaced(ev.from, f.Unplaced.ByQueue)
	}
	for _, w := range f.Workers {
		e.handleWorkers(ev.from, w)
	}
	e.receiveEvacuations(ev.from, f.Evacuations)
	for _, w := range f.Elsewhere {
		e.waiting.updateDomain(w.Domain, domainReport{counts: w.ByQueue, at: e.now - time.Duration(w.AgeNs)})
	}
	for _, c := range f.Calls {
		e.relayCall(ev.from, c)
	}
}

// relay makes a call of the store for a peer.
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
	for _, q := range l.Queued {
		out.Queued = append(out.Queued, shard.QueuedWork{
			Band:      policy.LatenessBand(q.Band),
			Priority:  int(q.Priority),
			CPUMilli:  q.Milli,
			DrainTime: time.Duration(q.TakesNs),
		})
	}
	return out
}
