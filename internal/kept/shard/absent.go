package shard

import (
	"maps"
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Absent returns the unfinished stored submissions here that a read of the shard's records, as of a revision of the store
// or a later one, should have shown and did not: each was cancelled, or has ended in another way. shown are the records
// that were read.
func (s *Shard) Absent(shown []StoredRecord, revision uint64) []submission.ID {
	isShown := make(map[submission.ID]bool, len(shown))
	for _, r := range shown {
		isShown[r.Record.ID] = true
	}
	var out []submission.ID
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if !isShown[id] && s.ExpectsRecord(id, revision) {
			out = append(out, id)
		}
	}
	return out
}

// ExpectsRecord reports whether the store has to have the record of a submission, by what is known here, as of a revision
// and later.
func (s *Shard) ExpectsRecord(id submission.ID, revision uint64) bool {
	j := s.jobs[id]
	return j != nil && !j.rec.Transient && !j.state.Final() && !j.endStored && !j.reassigning && j.revision <= revision
}
