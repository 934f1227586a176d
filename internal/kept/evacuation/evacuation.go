// Package evacuation tracks which failure domains operators have evacuated. No task may start in an
// evacuated domain.
//
// # Contract
//
// A Set is deterministic: it does no I/O, reads no clock and starts no goroutine. Notices come from the
// store and from peers, each with a revision of the store. Of two notices about a domain the one with
// the higher revision applies, so notices may arrive late, twice, in any order and by several paths, and
// a domain never returns to an older state. A Set is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Notice says whether a failure domain is evacuated as of a revision of the store.
type Notice struct {
	Domain    string
	Revision  uint64
	Evacuated bool
}

// Set is what an entry VM knows about the evacuations of its site. The zero value knows of none.
type Set struct {
	notices      map[string]Notice
	lastReadSent time.Duration // when the newest successful read of the store was sent
}

// Apply applies a notice and reports whether it changes whether its domain is evacuated.
func (s *Set) Apply(n Notice) (changed bool) {
	known, found := s.notices[n.Domain]
	if found && n.Revision <= known.Revision {
		return false
	}
	if s.notices == nil {
		s.notices = make(map[string]Notice)
	}
	s.notices[n.Domain] = n
	return known.Evacuated != n.Evacuated
}

// ApplyAll applies notices and returns the domains that they change.
func (s *Set) ApplyAll(notices []Notice) (changed []string) {
	for _, n := range notices {
		if s.Apply(n) {
			changed = append(changed, n.Domain)
		}
	}
	return changed
}

// ApplyList applies the complete list of evacuations at a revision: a domain that is not in the list
// was not evacuated then. It returns the domains that the list changes.
//
// A VM may miss the withdrawal of an evacuation when the store's history is lost. Without the
// list it would never use the domain again.
func (s *Set) ApplyList(revision uint64, list []Notice) (changed []string) {
	changed = s.ApplyAll(list)
	listed := make(map[string]bool, len(list))
	for _, n := range list {
		listed[n.Domain] = true
	}
	for _, domain := range slices.Sorted(maps.Keys(s.notices)) {
		if !listed[domain] && s.Apply(Notice{Domain: domain, Revision: revision}) {
			changed = append(changed, domain)
		}
	}
	return changed
}

// RecordRead records that a read of the store, sent at the given time, was answered and that its
// result was applied.
func (s *Set) RecordRead(sent time.Duration) { s.lastReadSent = max(s.lastReadSent, sent) }

// Age is the time since the last successful read of the store was sent; before the first one it is now.
func (s *Set) Age(now time.Duration) time.Duration { return now - s.lastReadSent }

// Evacuated reports whether a domain is evacuated.
func (s *Set) Evacuated(domain string) bool { return s.notices[domain].Evacuated }

// Revision is the revision of the newest notice about a domain; 0: there was none.
func (s *Set) Revision(domain string) uint64 { return s.notices[domain].Revision }

// Notices returns the newest notice about each domain that had one, sorted by domain.
func (s *Set) Notices() []Notice {
	return slices.SortedFunc(maps.Values(s.notices), func(a, b Notice) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Domains returns the evacuated domains, sorted.
func (s *Set) Domains() []string {
	var out []string
	for _, n := range s.Notices() {
		if n.Evacuated {
			out = append(out, n.Domain)
		}
	}
	return out
}
