// Package evacuation knows in which failure domains nothing may start, as operators ask.
//
// # Contract
//
// A Set is a deterministic core: no I/O, no clock, no goroutine. What the store says, and what
// peers pass on, goes in with its revision; of two notices about one domain the one with the higher
// revision holds. So notices may come late, twice, in any order and by several ways, and a domain
// never goes back to an older state. It is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Notice says whether a failure domain is evacuated, as of a revision of the store.
type Notice struct {
	Domain    string
	Revision  uint64
	Evacuated bool
}

// Set is what a VM knows of the evacuations of its site. Its zero value knows of none.
type Set struct {
	notices      map[string]Notice
	lastReadSent time.Duration // when the newest answered question left
}

// Take takes a notice and reports whether it changes what may start in its domain.
func (s *Set) Apply(n Notice) (changed bool) {
	known, there := s.notices[n.Domain]
	if there && n.Revision <= known.Revision {
		return false
	}
	if s.notices == nil {
		s.notices = make(map[string]Notice)
	}
	s.notices[n.Domain] = n
	return known.Evacuated != n.Evacuated
}

// ApplyAll takes notices and returns the domains in which they change what may start.
func (s *Set) ApplyAll(notices []Notice) (changed []string) {
	for _, n := range notices {
		if s.Apply(n) {
			changed = append(changed, n.Domain)
		}
	}
	return changed
}

// ApplyList takes the list of all evacuations as it was at a revision: a domain that it does not
// name was not evacuated then. It returns the domains in which it changes what may start.
//
// Without it a VM that has missed a withdrawal, as the store's history is lost, would leave the
// domain alone for ever.
func (s *Set) ApplyList(revision uint64, list []Notice) (changed []string) {
	changed = s.ApplyAll(list)
	named := make(map[string]bool, len(list))
	for _, n := range list {
		named[n.Domain] = true
	}
	for _, domain := range slices.Sorted(maps.Keys(s.notices)) {
		if !named[domain] && s.Apply(Notice{Domain: domain, Revision: revision}) {
			changed = append(changed, domain)
		}
	}
	return changed
}

// Confirm notes that a question to the store, which left at a time, was answered and what it
// said was taken.
func (s *Set) RecordRead(asked time.Duration) { s.lastReadSent = max(s.lastReadSent, asked) }

// Age is how long ago the store was last asked with success; before that, the time on the clock.
func (s *Set) Age(now time.Duration) time.Duration { return now - s.lastReadSent }

// Evacuated reports whether nothing may start in a domain.
func (s *Set) Evacuated(domain string) bool { return s.notices[domain].Evacuated }

// Revision is that of the newest notice about a domain; 0: there was none.
func (s *Set) Revision(domain string) uint64 { return s.notices[domain].Revision }

// Notices returns the newest notice about each domain that any was about, by domain.
func (s *Set) Notices() []Notice {
	return slices.SortedFunc(maps.Values(s.notices), func(a, b Notice) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Domains returns the evacuated domains, in order.
func (s *Set) Domains() []string {
	var out []string
	for _, n := range s.Notices() {
		if n.Evacuated {
			out = append(out, n.Domain)
		}
	}
	return out
}
