package home

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
)

// candidateSet is the workers that a submission's tasks may run on. Wide jobs of
// a small site all have the same set, so sets are shared.
type candidateSet struct {
	ids          []string
	incarnations map[string]uint64   // by worker
	allowed      map[string]*allowed // by owner
}

// allowed is the part of a set that an owner held at one version of its advert.
type allowed struct {
	version uint64
	workers []string
}

// maxSets bounds the sets that are kept for sharing. A set in use by a
// submission lives on without it.
const maxSets = 256

// candidates returns the set of a submission, shared by what is in it. The digest
// that the ticket carries does not do as a key: it stands for all candidates,
// and tickets with the same digest are narrowed to different ones.
func (h *Home) candidates(s *Submission) *candidateSet {
	key := ownership.Digest(s.Candidates)
	set := h.sets[key]
	if set == nil {
		if len(h.sets) >= maxSets {
			clear(h.sets)
		}
		set = newCandidateSet(s.Candidates)
		h.sets[key] = set
	}
	return set
}

func newCandidateSet(refs []ownership.WorkerRef) *candidateSet {
	c := &candidateSet{
		ids:          make([]string, len(refs)),
		incarnations: make(map[string]uint64, len(refs)),
		allowed:      make(map[string]*allowed),
	}
	for i, w := range refs {
		c.ids[i] = w.ID
		c.incarnations[w.ID] = w.Incarnation
	}
	return c
}

// heldBy returns the candidates that an owner holds.
func (c *candidateSet) heldBy(o *owner) []string {
	a := c.allowed[o.name]
	if a == nil {
		a = &allowed{}
		c.allowed[o.name] = a
	}
	if a.version != o.stamp {
		a.version = o.stamp
		a.workers = c.intersect(o.workers)
	}
	return a.workers
}

// intersect returns workers itself when all of them are candidates.
func (c *candidateSet) intersect(workers []string) []string {
	missing := func(w string) bool {
		_, ok := c.incarnations[w]
		return !ok
	}
	if !slices.ContainsFunc(workers, missing) {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), missing)
}
