package vm

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// The holder of a failure domain's first shard reads the list of workers, and tells the other holders
// of the domain when it changes. Workers rewrite their entries at each heartbeat: on a site of 1,100
// workers a reader gets 730 entries a second, of which one or none has changed, and on a link of 2
// Mbit/s the list of 120 takes a fifth of it. A holder that has no word from the reader reads the list
// itself, so the loss of the reader delays what is new by some seconds, and nothing else.

// Times of the lists of workers.
const (
	listEvery   = 2 * time.Second        // between two words of a list that has not changed
	listChanged = 150 * time.Millisecond // between two words of one that changes
	listFresh   = 3 * time.Second        // without a word for longer a holder reads the list itself
	listFirst   = 400 * time.Millisecond // the same for the first word, after a shard was taken
)

// domainList is the list of the workers of a failure domain.
type domainList struct {
	infos []worker.Info // by ID
	at    time.Duration // when it was read, here or by who told of it
	told  time.Duration // when the other holders were told
	dirty bool          // it has changed since
	own   bool          // this VM has read it itself
}

// reads reports whether this VM reads the list of workers for the holders of a domain.
func (e *engine) reads(domain string) bool {
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

// followLists has the list of workers read here while nobody tells of it, and tells the other holders.
func (e *engine) followLists() {
	reading := false
	for name, h := range e.shards {
		domain := site.DomainOf(name)
		l := e.lists[domain]
		switch {
		case e.reads(domain):
			reading = true
			if l != nil {
				e.tellWorkers(domain, l)
			}
		case l == nil:
			reading = reading || e.at-h.takenAt > listFirst
		default:
			reading = reading || l.own || e.at-l.at > listFresh
		}
	}
	if reading != e.reading {
		e.reading = reading
		e.vm.readWorkers(reading)
	}
}

// tellWorkers tells the other holders of a domain of its workers.
func (e *engine) tellWorkers(domain string, l *domainList) {
	pace := listEvery
	if l.dirty {
		pace = listChanged
	}
	if e.at-l.told < pace {
		return
	}
	l.told = e.at
	l.dirty = false
	list, err := json.Marshal(l.infos)
	if err != nil {
		klog.ErrorS(err, "kept: the workers of a domain have no JSON form", "domain", domain)
		return
	}
	for _, holder := range e.site.HoldersIn(domain) {
		if holder != e.vm.config.Name && e.links[holder] != nil {
			f := e.frame(holder)
			f.Workers = append(f.Workers, &pb.KeptWorkers{Domain: domain, List: list, AgeNs: uint64(e.at - l.at)})
		}
	}
}

// forgetList forgets the list of a domain of which nothing is held any more: it will be out of date when
// the next shard is taken.
func (e *engine) forgetList(domain string) {
	if !e.heldDomains()[domain] {
		delete(e.lists, domain)
	}
}

// takeWorkers takes the reader's word.
func (e *engine) takeWorkers(from string, w *pb.KeptWorkers) {
	if !e.heldDomains()[w.Domain] {
		return // this VM has just lost its shard there
	}
	if l := e.lists[w.Domain]; l != nil && e.at-time.Duration(w.AgeNs) < l.at {
		return // an older list than the one here: of an earlier reader, or one that the store does not answer
	}
	var infos []worker.Info
	if err := json.Unmarshal(w.List, &infos); err != nil {
		klog.ErrorS(err, "kept: a peer's list of workers cannot be read", "peer", from, "domain", w.Domain)
		return
	}
	e.setList(w.Domain, infos, e.at-time.Duration(w.AgeNs), false)
}

// apply takes what this VM has read.
func (ev workersEvent) apply(e *engine) {
	byDomain := make(map[string][]worker.Info)
	for _, info := range ev.list {
		byDomain[info.Domain] = append(byDomain[info.Domain], info)
	}
	for domain := range e.heldDomains() {
		if l := e.lists[domain]; e.reads(domain) || l == nil || l.own || e.at-l.at > listFresh {
			e.setList(domain, byDomain[domain], e.at, true)
		}
	}
}

// setList takes the list of a domain's workers, and holds those of the shards here if it has changed.
func (e *engine) setList(domain string, infos []worker.Info, at time.Duration, own bool) {
	slices.SortFunc(infos, func(a, b worker.Info) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Revision, b.Revision))
	})
	l := e.lists[domain]
	if l == nil {
		l = &domainList{dirty: true}
		e.lists[domain] = l
	}
	changed := l.infos == nil || !slices.EqualFunc(l.infos, infos, sameWorker)
	l.infos = infos
	l.at = at
	l.own = own
	l.dirty = l.dirty || changed
	if changed {
		klog.InfoS("kept: workers of a domain", "domain", domain, "workers", len(infos), "leaving", leavingCount(infos),
			"read_here", own, "age", e.at-at)
	}
	for name, h := range e.shards {
		switch {
		case site.DomainOf(name) != domain:
		case changed:
			e.placeWorkers(h)
		default:
			e.noteWorkers(h)
		}
	}
}

// listAge is how long ago the list that a shard's workers are of was read; -1: it has not been.
func (e *engine) listAge(shard string) time.Duration {
	if l := e.lists[site.DomainOf(shard)]; l != nil {
		return e.at - l.at
	}
	return -1
}

// leavingCount is the number of workers that take nothing new.
func leavingCount(infos []worker.Info) int {
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
	return slices.Equal(a.Labels, b.Labels) && a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.CPUMilli == b.CPUMilli && a.MemMB == b.MemMB && a.GPU == b.GPU && a.Leaving == b.Leaving && a.Cold == b.Cold
}
