// Package fleet stores the platform's list of VMs as immutable snapshots. It knows
// which entry VMs and workers exist and derives the candidate workers of a ticket.
//
// The list lags behind and may be unavailable, so this package never decides that
// a VM is dead. Snapshot versions only increase: a stale read is ignored.
package fleet

import (
	"slices"
	"sync"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/ownership"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Maximum number of candidate workers of a ticket in the home's failure domain and
// in the others. They bound how many workers a recovery asks and a job can use.
const (
	CandidatesAtHome    = 48
	CandidatesElsewhere = 48
)

// keptSnapshots is how many list versions are retained to derive the candidates
// of older tickets.
const keptSnapshots = 8

// VM is one entry of the list.
type VM struct {
	ID          string
	Incarnation uint64
	Domain      string
	Region      string
	Rack        string
	Address     string
	Leaving     bool
	Since       uint64
}

// Snapshot is one version of the list.
type Snapshot struct {
	Version uint64
	Entries map[string]VM
	Workers map[string]VM
	pool    *ownership.Pool
}

// Fleet retains the latest snapshots. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	history []*Snapshot // by version, the newest last
}

// New returns a Fleet with an empty list of version 0.
func New() *Fleet {
	return &Fleet{history: []*Snapshot{build(&pb.ListVMsResponse{})}}
}

// Update stores a list and reports whether it was newer than the latest one.
func (f *Fleet) Update(m *pb.ListVMsResponse) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Version <= f.history[len(f.history)-1].Version {
		return false
	}
	f.history = append(f.history, build(m))
	if len(f.history) > keptSnapshots {
		f.history = slices.Delete(f.history, 0, 1)
	}
	return true
}

func build(m *pb.ListVMsResponse) *Snapshot {
	s := &Snapshot{Version: m.Version, Entries: make(map[string]VM), Workers: make(map[string]VM)}
	for _, v := range m.Vms {
		vm := VM{v.Id, v.Incarnation, v.Domain, v.Region, v.Rack, v.Address, v.Leaving, v.SinceVersion}
		switch v.Role {
		case pb.VMRole_VM_ROLE_ENTRY:
			s.Entries[v.Id] = vm
		case pb.VMRole_VM_ROLE_WORKER:
			s.Workers[v.Id] = vm
		}
	}
	s.pool = ownership.NewPool(s.refs(m.Version))
	return s
}

// refs returns the workers that had joined by a list version.
func (s *Snapshot) refs(by uint64) []ownership.WorkerRef {
	refs := make([]ownership.WorkerRef, 0, len(s.Workers))
	for _, w := range s.Workers {
		if w.Since <= by {
			refs = append(refs, ownership.WorkerRef{ID: w.ID, Incarnation: w.Incarnation, Domain: w.Domain})
		}
	}
	return refs
}

// Latest returns the newest snapshot.
func (f *Fleet) Latest() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[len(f.history)-1]
}

// Choose returns the candidates of a new ticket, drawn pseudo-randomly by its ID,
// and their digest.
func (s *Snapshot) Choose(id ticket.ID, domain string) ([]ownership.WorkerRef, uint64) {
	refs := candidates(s.pool, id, domain)
	return refs, ownership.Digest(refs)
}

func candidates(pool *ownership.Pool, id ticket.ID, domain string) []ownership.WorkerRef {
	return pool.Candidates(id.Incarnation^id.Counter*goldenRatio, domain, CandidatesAtHome, CandidatesElsewhere)
}

// leastNarrow is the minimum number of candidates of a job.
const leastNarrow = 24

// perTask is the number of candidates for each task of a job.
const perTask = 4

// Narrow reduces a ticket's candidates to those that a job with that many tasks can
// use, so that a recovery has fewer workers to ask. The result depends only on the
// ticket's candidates and the number of tasks, so the home and a recoverer get the
// same one. Half of it comes from other failure domains where possible, so that a
// job whose domain is full can still run elsewhere.
func Narrow(refs []ownership.WorkerRef, homeDomain string, tasks int) []ownership.WorkerRef {
	limit := max(leastNarrow, perTask*tasks)
	if len(refs) <= limit {
		return refs
	}
	elsewhere := slices.IndexFunc(refs, func(r ownership.WorkerRef) bool { return r.Domain != homeDomain })
	if elsewhere < 0 {
		return refs[:limit]
	}
	near, far := refs[:elsewhere], refs[elsewhere:]
	fromFar := min(len(far), limit/2)
	fromNear := min(len(near), limit-fromFar)
	fromFar = min(len(far), limit-fromNear)
	return append(slices.Clone(near[:fromNear]), far[:fromFar]...)
}

// goldenRatio spreads consecutive counters over the whole range.
const goldenRatio = 0x9E3779B97F4A7C15

// Candidates derives the candidate workers of a ticket from the stored lists.
// complete is false if their digest differs from the ticket's, so that workers may
// be missing: this VM does not have the list of the ticket's version, and workers
// have left since.
func (f *Fleet) Candidates(t *ticket.Ticket) (refs []ownership.WorkerRef, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.history) - 1; i >= 0; i-- {
		if s := f.history[i]; s.Version == t.ListVersion {
			refs = candidates(s.pool, t.ID, t.Domain)
			return refs, ownership.Digest(refs) == t.Digest
		}
	}
	latest := f.history[len(f.history)-1]
	pool := ownership.NewPool(latest.refs(t.ListVersion))
	refs = candidates(pool, t.ID, t.Domain)
	return refs, ownership.Digest(refs) == t.Digest
}
