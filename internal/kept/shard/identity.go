package shard

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// What is known of the incarnation of a worker at an address comes from four sources. Where they differ, the first of these
// decides, for every holder:
//
//  1. The worker's own answers: it lists its runs, or refuses orders as another incarnation. Calls to the address go on, so
//     they find a successor, whatever the list says.
//  2. The start times of two entries, if both have one.
//  3. The entry in the list of workers that was written last. It may be a late one of an ended incarnation, or another
//     writer's.
//  4. What an earlier holder has stored, and the entry of the incarnation before.
//
// An entry under another ID never ends a run: while anything runs at the worker that is known at its address, the entry is held
// back, until the worker has been replaced by its own answers or its lease has ended. One that is applied wrongly has
// its first call refused.

// believedEntries removes the entries of incarnations that have been replaced, those at the address of another worker at which
// something runs, and all but the newest at each other address. It reports whether any were held back.
func (s *Shard) believedEntries(list []worker.Info) (believed []worker.Info, heldBack bool) {
	busy := s.busyAddresses()
	believed = slices.DeleteFunc(s.withoutReplaced(list), func(info worker.Info) bool {
		id, isBusy := busy[info.Address]
		held := isBusy && info.ID != id
		heldBack = heldBack || held
		return held
	})
	return newestAtEachAddress(believed), heldBack
}

// busyAddresses returns the ID of the worker at each address at which a run goes on, or may.
func (s *Shard) busyAddresses() map[string]string {
	busy := make(map[string]string)
	for id, h := range s.workers {
		if len(h.strayRuns) > 0 {
			busy[h.info.Address] = id
		}
	}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.occupies() {
				busy[t.host.info.Address] = t.host.info.ID
			}
		}
	}
	return busy
}

// HoldsEntriesBack reports whether the list of workers has entries that were not applied, and should be applied again.
func (s *Shard) HoldsEntriesBack() bool { return s.entriesHeldBack }

// isOutlived reports whether a later worker than the given one is known at the same address. An entry
// stays in the list until it expires, longer while the store is down, and the later worker may not have
// an entry yet. Without start times, a worker whose own entry has not been read here counts as the later one: if
// it has been replaced as well, its successor refuses its orders.
func (s *Shard) isOutlived(info worker.Info) bool {
	for _, h := range s.workers {
		switch {
		case h.info.Address != info.Address:
		case h.info.Born > 0 && info.Born > 0:
			return h.info.Born > info.Born
		default:
			return h.origin != FromList || h.info.Revision > info.Revision
		}
	}
	return false
}

// withoutReplaced removes the entries of incarnations that have been replaced. Such an entry stays in the
// list until it expires, and could be taken for the newest incarnation at its address. It returns a copy.
func (s *Shard) withoutReplaced(list []worker.Info) []worker.Info {
	return slices.DeleteFunc(slices.Clone(list), func(info worker.Info) bool { return s.isReplaced(info.Incarnation()) })
}

// isReplaced reports whether an incarnation has been replaced. Without a known start time it is taken for
// the newest replaced incarnation under its ID.
func (s *Shard) isReplaced(i worker.Incarnation) bool {
	r, known := s.replacedWorkers[i.ID]
	return known && (i.Born == 0 || r.born == 0 || i.Born <= r.born)
}

// newestAtEachAddress removes the entries of workers that have restarted at the same address under a new
// ID, which stay in the list until they expire. If an older incarnation were taken for the newer one, the
// runs of the newer one would be taken for ended while they go on. It changes the list.
func newestAtEachAddress(list []worker.Info) []worker.Info {
	newest := make(map[string]uint64, len(list))
	for _, info := range list {
		newest[info.Address] = max(newest[info.Address], info.Revision)
	}
	return slices.DeleteFunc(list, func(info worker.Info) bool {
		return info.Revision < newest[info.Address]
	})
}

func (s *Shard) addressTaken(info worker.Info) bool {
	for _, h := range s.workers {
		if h.info.Address == info.Address {
			return true
		}
	}
	return false
}

// removeOthersAt removes the other workers at the address of a new one, whose incarnations have ended.
func (s *Shard) removeOthersAt(now time.Duration, info worker.Info) {
	for _, id := range s.workerIDs {
		if h := s.workers[id]; id != info.ID && h.info.Address == info.Address {
			s.WorkerGone(now, id)
		}
	}
}
