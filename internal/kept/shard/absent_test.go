package shard

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against an unfinished submission that is taken for cancelled: a read of its record is older than the record, is
// of what this shard changes itself, or is not expected.
func TestOnlyOpenRecordsAreExpectedInARead(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	for i, id := range []submission.ID{"shown", "gone", "newer", "moving", "ended", "transient"} {
		rec := w.submission(id, 1, runhost.Work{Time: time.Hour})
		rec.Transient = id == "transient"
		w.shard.Assign(w.now, StoredRecord{Record: rec, Revision: uint64(10 + i)})
	}
	w.shard.jobs["newer"].revision = 100
	w.shard.jobs["moving"].reassigning = true
	w.shard.Cancel(w.now, "ended")
	shown := []StoredRecord{{Record: w.shard.jobs["shown"].rec, Revision: 10}}
	if got, want := w.shard.Absent(shown, 50), []submission.ID{"gone"}; !slices.Equal(got, want) {
		t.Errorf("absent as of revision 50 are %v, want %v", got, want)
	}
	if got, want := w.shard.Absent(shown, math.MaxUint64), []submission.ID{"gone", "newer"}; !slices.Equal(got, want) {
		t.Errorf("absent as of now are %v, want %v", got, want)
	}
	if got := w.shard.Absent(nil, 9); len(got) > 0 {
		t.Errorf("absent as of a revision before all records are %v, want none", got)
	}
}
