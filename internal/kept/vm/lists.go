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

// The holder of a failure domain's first shard reads the list of workers, and tells the other holders
// of the domain when it changes. Workers rewrite their entries at each heartbeat: on a site of 1,100
// workers a reader gets 730 entries a second, of which one or none has changed, and on a link of 2
// Mbit/s the list of 120 takes a fifth of it. A holder that has no word from the reader reads the list
// itself, so the loss of the reader delays what is new for some time, and nothing else.
//
// A worker that gives notice must get nothing new within a bound that the operators set. So a list has
// an age, which runs from when the store was asked for it, and nothing starts on one that is missing or
// too old while the store answers: this VM may have just taken a shard over, or the reader may be slow.

// Times of the lists of workers.
const (
	fullListInterval    = 2 * time.Second        // between two words with the whole list
	changedListInterval = 150 * time.Millisecond // the same while it changes
	firstListTimeout    = 400 * time.Millisecond // without a first word for longer, a new holder reads it itself
)

// Times of the lists of workers, as shares of Config.MaxLeaveNoticeDelay.
const (
	listWatchShare   = 0.2   // for a change, before the store says that there is none
	listConfirmShare = 0.125 // between two words that the list stands
	listRereadShare  = 0.6   // a holder reads the list itself if the one that it was told is older
	listExpiryShare  = 0.9   // nothing starts on an older one
)

// storeSteadyPeriod is for how long all calls of the store must have been answered before an old list keeps
// tasks from starting. Around an outage, or in a domain that is cut off, it is all there is.
const storeSteadyPeriod = 2500 * time.Millisecond

// defaultLeaveNoticeDelay is Config.MaxLeaveNoticeDelay where the settings do not say.
const defaultLeaveNoticeDelay = 2 * time.Second

// leaveNoticeShare is a part of the time within which a notice must be in force.
func (c *Config) leaveNoticeShare(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(c.MaxLeaveNoticeDelay, defaultLeaveNoticeDelay)))
}

// workerList is the list of the workers of a failure domain.
type workerList struct {
	workers []worker.Info // by ID
	askedAt time.Duration // when the store was asked for it, here or by who told of it
	version uint64        // at this VM, or at the one that told of it
	sender  string        // who told of it; "": it was read here

	layout         site.ShardLayout         // that the workers are divided by
	shardByAddress map[string]string        // of the workers, by address
	byShard        map[string][]worker.Info // nil: they are not divided yet

	sentTo      map[string]bool // other holders that were told the list
	sentVersion uint64          // that all of them were told
	sentAt      time.Duration   // when they were told anything
	fullSentAt  time.Duration   // when all of them were told the whole list
}

// own reports whether this VM has read it itself.
func (l *workerList) readHere() bool { return l.sender == "" }

// reads reports whether this VM reads the list of workers for the holders of a domain.
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

// updateLists has the list of workers read here while nobody tells of it, and tells the other holders.
func (e *engine) updateLists() {
	reading := false
	contact := e.vm.router.LastCalls()
	for name, h := range e.shards {
		domain := site.DomainOf(name)
		l := e.workerLists[domain]
		switch {
		case e.isListReader(domain):
			reading = true
			if l != nil {
				e.sendWorkers(domain, l)
			}
		case l == nil:
			reading = reading || e.now-h.acquiredAt > firstListTimeout
		default:
			reading = reading || l.readHere() || e.isListStale(l)
		}
		h.core.SetListOutdated(e.isListOutdated(l, contact))
	}
	e.holdersChanged = false
	if reading != e.readingWorkers {
		e.readingWorkers = reading
		e.lastWorkersRead = workersEvent{}
		e.vm.setReadWorkers(reading)
	}
}

// isListStale reports whether a list that this VM was told is so old that it reads the list itself.
func (e *engine) isListStale(l *workerList) bool {
	return e.now-l.askedAt > e.vm.config.leaveNoticeShare(listRereadShare)
}

// isListOutdated reports whether nothing may start on a list as a newer one can be had; nil: there is none
// yet. While the store does not answer, the list, or what the earlier holder has stored, is all there is.
func (e *engine) isListOutdated(l *workerList, c relay.LastCalls) bool {
	if l == nil {
		return c.AnsweredAt >= c.UnansweredAt
	}
	return e.now-c.UnansweredAt > storeSteadyPeriod && c.AnsweredAt-l.askedAt > e.vm.config.leaveNoticeShare(listExpiryShare)
}

// sendWorkers tells the other holders of a domain of its workers: the whole list if it has changed, to a
// holder that is new, and now and then; else that it stands.
func (e *engine) sendWorkers(domain string, l *workerList) {
	changed := l.version != l.sentVersion
	pace := e.vm.config.leaveNoticeShare(listConfirmShare)
	if changed {
		pace = changedListInterval
	}
	due := e.now-l.sentAt >= pace
	if !due && !e.holdersChanged {
		return
	}
	all := due && (changed || e.now-l.fullSentAt >= fullListInterval)
	told := make(map[string]bool)
	var list []byte
	for _, holder := range e.site.HoldersIn(domain) {
		if holder == e.vm.config.Name || e.links[holder] == nil {
			continue
		}
		w := &pb.KeptWorkers{Domain: domain, AgeNs: uint64(e.now - l.askedAt), Version: l.version}
		switch {
		case all || !l.sentTo[holder]:
			if list == nil {
				list = encodeWorkers(l.workers)
			}
			w.List = list
		case !due:
			told[holder] = true
			continue
		}
		told[holder] = true
		f := e.frame(holder)
		f.Workers = append(f.Workers, w)
	}
	l.sentTo = told
	if due {
		l.sentAt = e.now
	}
	if all {
		l.fullSentAt, l.sentVersion = e.now, l.version
	}
}

// resendLists has a peer told the whole lists again: its process or its link is new.
func (e *engine) resendLists(peer string) {
	for _, l := range e.workerLists {
		delete(l.sentTo, peer)
	}
	e.holdersChanged = true
}

// dropUnusedList forgets the list of a domain of which nothing is held any more: it will be out of date when
// the next shard is taken.
func (e *engine) dropUnusedList(domain string) {
	if !e.heldDomains()[domain] {
		delete(e.workerLists, domain)
	}
}

// handleWorkers takes the reader's word.
func (e *engine) handleWorkers(from string, w *pb.KeptWorkers) {
	if !e.heldDomains()[w.Domain] {
		return // this VM has just lost its shard there
	}
	at := e.now - time.Duration(w.AgeNs)
	l := e.workerLists[w.Domain]
	if l != nil && at < l.askedAt {
		return // an older list than the one here: of an earlier reader, or one that the store does not answer
	}
	if len(w.List) == 0 {
		if l != nil && l.sender == from && l.version == w.Version {
			l.askedAt = at
		}
		return
	}
	var infos []worker.Info
	if err := json.Unmarshal(w.List, &infos); err != nil {
		klog.ErrorS(err, "kept: a peer's list of workers cannot be read", "peer", from, "domain", w.Domain)
		return
	}
	e.setList(w.Domain, infos, at, from, w.Version)
}

// encodeWorkers is a list of workers as it is told; a worker's entry always has a JSON form.
func encodeWorkers(infos []worker.Info) []byte {
	list, err := json.Marshal(infos)
	if err != nil {
		panic("vm: the workers of a domain have no JSON form: " + err.Error())
	}
	return list
}

// apply takes what this VM has read.
func (ev workersEvent) apply(e *engine) {
	if !e.readingWorkers {
		return // it was under way when the reader's word came
	}
	e.lastWorkersRead = ev
	for domain := range e.heldDomains() {
		e.useLastRead(domain)
	}
}

// useLastRead takes the list of a domain as this VM has read it last, unless its reader tells of it.
func (e *engine) useLastRead(domain string) {
	l := e.workerLists[domain]
	switch {
	case !e.readingWorkers, e.lastWorkersRead.list == nil, l != nil && e.lastWorkersRead.sent < l.askedAt:
	case l != nil && !e.isListReader(domain) && !l.readHere() && !e.isListStale(l):
	default:
		infos := []worker.Info{}
		for _, info := range e.lastWorkersRead.list {
			if info.Domain == domain {
				infos = append(infos, info)
			}
		}
		e.setList(domain, infos, e.lastWorkersRead.sent, "", 0)
	}
}

// setList takes the list of a domain's workers from this VM's own reading, or from who told of it, and
// holds those of the shards here if it has changed.
func (e *engine) setList(domain string, infos []worker.Info, at time.Duration, from string, version uint64) {
	slices.SortFunc(infos, func(a, b worker.Info) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Revision, b.Revision))
	})
	l := e.workerLists[domain]
	if l == nil {
		l = &workerList{}
		e.workerLists[domain] = l
	}
	changed := l.workers == nil || !slices.EqualFunc(l.workers, infos, sameWorker)
	switch {
	case from != "":
		l.version = version
	case changed || !l.readHere():
		l.version = e.nextListVersion()
	}
	l.workers, l.askedAt, l.sender = infos, at, from
	if changed {
		l.byShard = nil
		klog.InfoS("kept: workers of a domain", "domain", domain, "workers", len(infos), "leaving", countLeaving(infos),
			"told_by", from, "age", e.now-at)
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

// divide returns the workers of a list by shard. The shard of an address is worked out once: each is hashed
// with each shard of the domain.
func (l *workerList) workersByShard(d site.ShardLayout) map[string][]worker.Info {
	if l.layout != d {
		l.layout, l.shardByAddress, l.byShard = d, nil, nil
	}
	if l.byShard != nil {
		return l.byShard
	}
	shards := make(map[string]string, len(l.workers))
	l.byShard = make(map[string][]worker.Info)
	for _, info := range l.workers {
		name, known := l.shardByAddress[info.Address]
		if !known {
			name = d.ShardOf(info.Address)
		}
		shards[info.Address] = name
		l.byShard[name] = append(l.byShard[name], info)
	}
	l.shardByAddress = shards
	return l.byShard
}

// nextListVersion numbers the lists that this VM tells; no other process tells the same number.
func (e *engine) nextListVersion() uint64 {
	e.lastListVersion++
	return e.vm.config.Incarnation + e.lastListVersion
}

// listAge is how long ago the store was asked for the list that a shard's workers are of; -1: there is
// none.
func (e *engine) listAge(shard string) time.Duration {
	if l := e.workerLists[site.DomainOf(shard)]; l != nil {
		return e.now - l.askedAt
	}
	return -1
}

// countLeaving is the number of workers that take nothing new.
func countLeaving(infos []worker.Info) int {
	n := 0
	for i := range infos {
		if infos[i].Leaving {
			n++
		}
	}
	return n
}

// sameWorker reports whether two entries say the same of a worker. A heartbeat changes the revision.
func sameWorker(a, b worker.Info) bool {
	return slices.Equal(a.Labels, b.Labels) && a.Incarnation() == b.Incarnation() && a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.CPUMilli == b.CPUMilli && a.MemMB == b.MemMB && a.GPU == b.GPU && a.Leaving == b.Leaving && a.Cold == b.Cold
}
