package ownership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// WorkerRef names one run of a worker.
type WorkerRef struct {
	ID          string
	Incarnation uint64 // changes when the worker restarts
	Domain      string // failure domain
}

// Holder returns the entry VM among live that should hold the worker, or ""
// when none lives. All of live must be of the worker's own failure domain. The
// order of live does not matter.
func Holder(worker string, live []string) string {
	key := xxhash.Sum64String(worker)
	best := ""
	var most uint64
	for _, vm := range live {
		w := weight(key, xxhash.Sum64String(vm))
		if best == "" || w > most || w == most && vm < best {
			best, most = vm, w
		}
	}
	return best
}

// Pool is a list of workers, hashed once, from which the candidates of many
// submissions are drawn. It is immutable and safe for concurrent use.
type Pool struct {
	domains []domain // by name
}

// domain keeps hashes apart from references: a draw reads every hash, and
// next to each other eight of them share a cache line.
type domain struct {
	name   string
	refs   []WorkerRef // by ID
	hashes []uint64    // same order as refs
}

// NewPool hashes the workers. Their order does not matter.
func NewPool(workers []WorkerRef) *Pool {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, compareRefs)
	p := &Pool{}
	for _, ref := range sorted {
		last := len(p.domains) - 1
		if last < 0 || p.domains[last].name != ref.Domain {
			p.domains = append(p.domains, domain{name: ref.Domain})
			last++
		}
		d := &p.domains[last]
		d.refs = append(d.refs, ref)
		d.hashes = append(d.hashes, xxhash.Sum64String(ref.ID))
	}
	return p
}

// Candidates returns the workers that the submission of a ticket may use: up to
// perHome of the home domain, followed by up to others of all other domains,
// each part by falling weight. The weight does not depend on the incarnation,
// so a restart moves no candidate.
func (p *Pool) Candidates(ticketSeed uint64, homeDomain string, perHome, others int) []WorkerRef {
	key := mix(ticketSeed)
	home := newTop(perHome)
	rest := newTop(others)
	for i := range p.domains {
		d := &p.domains[i]
		if d.name == homeDomain {
			home.offer(key, d)
		} else {
			rest.offer(key, d)
		}
	}
	refs := make([]WorkerRef, 0, len(home.best)+len(rest.best))
	refs = home.drain(refs)
	return rest.drain(refs)
}

// Candidates draws from a list that is used once. Draw from a Pool to use a
// list for many submissions.
func Candidates(ticketSeed uint64, workers []WorkerRef, homeDomain string, perHome, others int) []WorkerRef {
	return NewPool(workers).Candidates(ticketSeed, homeDomain, perHome, others)
}

// Digest identifies a set of workers by ID and incarnation, whatever its
// order. Two lists that name the same runs of the same workers have the same
// digest; the failure domain is not part of it.
func Digest(refs []WorkerRef) uint64 {
	var sum uint64
	for i := range refs {
		sum += weight(xxhash.Sum64String(refs[i].ID), refs[i].Incarnation)
	}
	return mix(sum ^ uint64(len(refs)))
}

// weight combines two hashes into a pseudo-random number. The first is mixed
// before the second comes in, so that exchanging them gives another weight.
func weight(a, b uint64) uint64 {
	return mix(mix(a) ^ b)
}

// mix is the finaliser of MurmurHash3: every input bit changes half of the
// output bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

func compareRefs(a, b WorkerRef) int {
	if c := strings.Compare(a.Domain, b.Domain); c != 0 {
		return c
	}
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
