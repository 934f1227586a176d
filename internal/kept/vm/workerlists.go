package vm

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// The holder of a failure domain's first shard is the domain's list reader: it reads the list of workers
// from the store and sends it to the other holders of the domain when it changes. Workers rewrite their
// entries at each heartbeat: on a site of 1,100 workers a reader receives 730 entries a second, of which
// at most one has changed, and on a link of 2 Mbit/s the list of 120 workers takes a fifth of the
// bandwidth. A holder that hears nothing from the reader reads the list itself, so the loss of the reader
// only delays changes for a while.
//
// A worker that announces that it leaves must get no new tasks within a time that the operators set. So
// each list has an age, counted from when the store was asked for it, and while the store answers nothing
// starts on workers of a list that is missing or too old: this VM may have just acquired the shard, or the
// reader may be slow.

// Intervals of the lists of workers.
const (
	fullListInterval    = 2 * time.Second        // between sends of the full list
	changedListInterval = 150 * time.Millisecond // the same while the list changes
	firstListTimeout    = 400 * time.Millisecond // a new holder that got no list for this long reads it itself
)

// Times of the lists of workers, as fractions of Config.MaxLeaveNoticeDelay.
const (
	listWatchShare   = 0.2   // longest wait of the store for a change before it answers that there is none
	listConfirmShare = 0.125 // between messages that the list has not changed
	listRereadShare  = 0.6   // a holder whose list from the reader is older reads the list itself
	listExpiryShare  = 0.9   // nothing starts on an older list
)

// storeSteadyPeriod is how long all calls of the store must have been answered before an old list keeps
// tasks from starting. Around an outage, or in a domain that is cut off, an old list is all there is.
const storeSteadyPeriod = 2500 * time.Millisecond

// defaultLeaveNoticeDelay replaces a Config.MaxLeaveNoticeDelay of 0.
const defaultLeaveNoticeDelay = 2 * time.Second

// leaveNoticeShare returns a fraction of the time within which an announcement to leave must take effect.
func (c *Config) leaveNoticeShare(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(c.MaxLeaveNoticeDelay, defaultLeaveNoticeDelay)))
}

// workerList is the list of the workers of a failure domain.
type workerList struct {
	infos       []worker.Info // by ID
	requestedAt time.Duration // when this VM, or the sender, asked the store for it
	version     uint64        // as numbered by this VM, or by the sender
	from        string        // the VM that sent it; "": this VM read it from the store

	layout         site.ShardLayout         // that byShard follows
	shardByAddress map[string]string        // of the workers, by address
	byShard        map[string][]worker.Info // nil: not computed yet

	sentTo      map[string]bool // other holders that have the list
	sentVersion uint64          // the last version that was sent to all of them
	sentAt      time.Duration   // when anything about the list was last sent to them
	fullSentAt  time.Duration   // when the full list was last sent to all of them
}

// readHere reports whether this VM read the list from the store.
func (l *workerList) readHere() bool { return l.from == "" }

// isListReader reports whether this VM reads the list of workers for all holders of a domain.
func (e *engine) isListReader(domain string) bool {
	return e.shards[site.ShardName(domain, 0)] != nil
}

// heldDomains returns the failure domains of which this VM holds a shard.
func (e *engine) heldDomains() map[string]bool {
	out := make(map[string]bool)
	for name := range e.shards {
		out[site.DomainOf(name)] = true
	}
	return out
}

// updateLists decides whether this VM reads the list of workers from the store, and sends it to the other
// holders of the domains whose list reader this VM is.
func (e *engine) updateLists() {
	readingWorkers := false
	calls := e.vm.router.LastCalls()
	for name, h := range e.shards {
		domain := site.DomainOf(name)
		l := e.workerLists[domain]
		switch {
		case e.isListReader(domain):
			readingWorkers = true
			if l != nil {
				e.sendWorkers(domain, l)
			}
		case l == nil:
			readingWorkers = readingWorkers || e.now-h.acquiredAt > firstListTimeout
		default:
			readingWorkers = readingWorkers || l.readHere() || e.isListStale(l)
		}
		h.core.SetListOutdated(e.isListOutdated(l, calls))
	}
	e.holdersChanged = false
	if readingWorkers != e.readingWorkers {
		e.readingWorkers = readingWorkers
		e.lastWorkersRead = workersEvent{}
		e.vm.setReadWorkers(readingWorkers)
	}
}

// isListStale reports whether a list from the reader is so old that this VM reads the list itself.
func (e *engine) isListStale(l *workerList) bool {
	return e.now-l.requestedAt > e.vm.config.leaveNoticeShare(listRereadShare)
}

// isListOutdated reports whether nothing may start on a list because it is too old, or missing (nil), and
// the store can provide a newer one. While the store does not answer, the list, or the workers that the
// previous holder stored, are all there is.
func (e *engine) isListOutdated(l *workerList, c relay.LastCalls) bool {
	if l == nil {
		return c.AnsweredAt >= c.UnansweredAt
	}
	return e.now-c.UnansweredAt > storeSteadyPeriod && c.AnsweredAt-l.requestedAt > e.vm.config.leaveNoticeShare(listExpiryShare)
}

// sendWorkers sends the list of a domain's workers to the other holders of the domain. The full list goes to
// all when it has changed and every fullListInterval, and to each new holder; otherwise a message says that
// it has not changed.
func (e *engine) sendWorkers(domain string, l *workerList) {
	changed := l.version != l.sentVersion
	interval := e.vm.config.leaveNoticeShare(listConfirmShare)
	if changed {
		interval = changedListInterval
	}
	due := e.now-l.sentAt >= interval
	if !due && !e.holdersChanged {
		return
	}
	all := due && (changed || e.now-l.fullSentAt >= fullListInterval)
	sentTo := make(map[string]bool)
	var list []byte
	for _, holder := range e.site.HoldersIn(domain) {
		if holder == e.vm.config.Name || e.links[holder] == nil {
			continue
		}
		w := &pb.KeptWorkers{Domain: domain, AgeNs: uint64(e.now - l.requestedAt), Version: l.version}
		switch {
		case all || !l.sentTo[holder]:
			if list == nil {
				list = encodeWorkers(l.infos)
			}
			w.List = list
		case !due:
			sentTo[holder] = true
			continue
		}
		sentTo[holder] = true
		f := e.frame(holder)
		f.Workers = append(f.Workers, w)
	}
	l.sentTo = sentTo
	if due {
		l.sentAt = e.now
	}
	if all {
		l.fullSentAt, l.sentVersion = e.now, l.version
	}
}

// resendLists has the full lists sent to a peer again, as its process or its link is new.
func (e *engine) resendLists(peer string) {
	for _, l := range e.workerLists {
		delete(l.sentTo, peer)
	}
	e.holdersChanged = true
}

// dropUnusedList removes the list of a domain in which this VM holds no more shards: it would be out of date
// by the time it acquires another.
func (e *engine) dropUnusedList(domain string) {
	if !e.heldDomains()[domain] {
		delete(e.workerLists, domain)
	}
}

// receiveWorkers applies a list, or the message that it has not changed, from a domain's list reader.
func (e *engine) receiveWorkers(from string, w *pb.KeptWorkers) {
	if !e.heldDomains()[w.Domain] {
		return // this VM has just lost its shard there
	}
	requestedAt := e.now - time.Duration(w.AgeNs)
	l := e.workerLists[w.Domain]
	if l != nil && requestedAt < l.requestedAt {
		return // older than the list here: from a previous reader, or one that the store does not answer
	}
	if len(w.List) == 0 {
		if l != nil && l.from == from && l.version == w.Version {
			l.requestedAt = requestedAt
		}
		return
	}
	var infos []worker.Info
	if err := json.Unmarshal(w.List, &infos); err != nil {
		klog.ErrorS(err, "kept: list of workers from a peer cannot be decoded", "peer", from, "domain", w.Domain)
		return
	}
	e.setList(w.Domain, infos, requestedAt, from, w.Version)
}

// encodeWorkers encodes a list of workers for peers. Encoding an entry cannot fail.
func encodeWorkers(infos []worker.Info) []byte {
	list, err := json.Marshal(infos)
	if err != nil {
		panic("vm: list of workers cannot be encoded as JSON: " + err.Error())
	}
	return list
}

// apply uses a list that this VM has read from the store.
func (ev workersEvent) apply(e *engine) {
	if !e.readingWorkers {
		return // the read was in flight when a list from the reader arrived
	}
	e.lastWorkersRead = ev
	for domain := range e.heldDomains() {
		e.useLastRead(domain)
	}
}

// useLastRead replaces the list of a domain by the one that this VM read last, unless it has a newer one or
// a fresh one from the domain's list reader.
func (e *engine) useLastRead(domain string) {
	l := e.workerLists[domain]
	switch {
	case !e.readingWorkers, e.lastWorkersRead.workers == nil, l != nil && e.lastWorkersRead.requestedAt < l.requestedAt:
	case l != nil && !e.isListReader(domain) && !l.readHere() && !e.isListStale(l):
	default:
		infos := []worker.Info{}
		for _, info := range e.lastWorkersRead.workers {
			if info.Domain == domain {
				infos = append(infos, info)
			}
		}
		e.setList(domain, infos, e.lastWorkersRead.requestedAt, "", 0)
	}
}

// setList replaces the list of a domain's workers and, if it has changed, updates the workers of the shards
// held here. from is the VM that sent it; "": this VM read it.
func (e *engine) setList(domain string, infos []worker.Info, requestedAt time.Duration, from string, version uint64) {
	slices.SortFunc(infos, func(a, b worker.Info) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Revision, b.Revision))
	})
	l := e.workerLists[domain]
	if l == nil {
		l = &workerList{}
		e.workerLists[domain] = l
	}
	changed := l.infos == nil || !slices.EqualFunc(l.infos, infos, sameWorker)
	switch {
	case from != "":
		l.version = version
	case changed || !l.readHere():
		l.version = e.nextListVersion()
	}
	l.infos, l.requestedAt, l.from = infos, requestedAt, from
	if changed {
		l.byShard = nil
		klog.InfoS("kept: list of workers changed", "domain", domain, "workers", len(infos), "leaving", countLeaving(infos),
			"told_by", from, "age", e.now-requestedAt)
	}
	for name, h := range e.shards {
		switch {
		case site.DomainOf(name) != domain:
		case changed:
			e.updateWorkers(h)
		default:
			e.storeWorkers(h)
		}
	}
}

// workersByShard groups the workers by shard. The shard of an address is computed only once, as that hashes
// the address with each shard of the domain.
func (l *workerList) workersByShard(d site.ShardLayout) map[string][]worker.Info {
	if l.layout != d {
		l.layout, l.shardByAddress, l.byShard = d, nil, nil
	}
	if l.byShard != nil {
		return l.byShard
	}
	shardByAddress := make(map[string]string, len(l.infos))
	l.byShard = make(map[string][]worker.Info)
	for _, info := range l.infos {
		name, known := l.shardByAddress[info.Address]
		if !known {
			name = d.ShardOf(info.Address)
		}
		shardByAddress[info.Address] = name
		l.byShard[name] = append(l.byShard[name], info)
	}
	l.shardByAddress = shardByAddress
	return l.byShard
}

// nextListVersion returns the version of a list that this VM has read; no other process uses the same
// number.
func (e *engine) nextListVersion() uint64 {
	e.lastListVersion++
	return e.vm.config.Incarnation + e.lastListVersion
}

// listAge returns how long ago the store was asked for the list that a shard's workers come from; -1: there
// is no list.
func (e *engine) listAge(shard string) time.Duration {
	if l := e.workerLists[site.DomainOf(shard)]; l != nil {
		return e.now - l.requestedAt
	}
	return -1
}

// countLeaving counts the workers that have announced that they leave.
func countLeaving(infos []worker.Info) int {
	n := 0
	for i := range infos {
		if infos[i].Leaving {
			n++
		}
	}
	return n
}

// sameWorker reports whether two entries describe the same worker in the same state. The revision is left
// out, as each heartbeat changes it.
func sameWorker(a, b worker.Info) bool {
	return slices.Equal(a.Labels, b.Labels) && a.Incarnation() == b.Incarnation() && a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.CPUMilli == b.CPUMilli && a.MemMB == b.MemMB && a.GPU == b.GPU && a.Leaving == b.Leaving && a.Cold == b.Cold
}
