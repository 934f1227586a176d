package vm

import (
	"context"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// scanRecords reads the unfinished submissions of a shard from the store. The first scan finds all that earlier holders
// have left. Later ones may read stale data, at a tenth of the cost: they look for records that the holder was not told of,
// and what they find is read again before it is adopted.
func (e *engine) scanRecords(name string, h *heldShard) {
	h.scanning = true
	token := h.holding.Token
	stale := h.scannedAt > 0
	e.vm.spawn(func() {
		for h.ctx.Err() == nil {
			items, revision, err := e.vm.readAll(h.ctx, submission.OpenPrefix, stale)
			ev := scannedEvent{shard: name, token: token, revision: revision, records: decodeRecords(name, items)}
			if err == nil && !stale {
				ev.previousWorkers, err = e.vm.readStoredWorkers(h.ctx, name)
			}
			if err == nil && !stale {
				ev.evacuations, err = e.vm.readEvacuations(h.ctx)
			}
			if err == nil {
				e.vm.deliver(ev)
				return
			}
			klog.V(1).InfoS("kept: records of a shard cannot be read", "shard", name, "token", token, "stale", stale, "why", err)
			pause.For(h.ctx, scanRetryDelay)
		}
	})
}

// maxSingleReads is how many records are read one by one. More are read with all others, a page at a time.
const maxSingleReads = 8

// confirmRecords reads records that a stale scan has found again. They may have ended, been cancelled or reassigned since.
func (e *engine) confirmRecords(name string, h *heldShard, found []shard.StoredRecord) {
	token := h.holding.Token
	e.vm.spawn(func() {
		for h.ctx.Err() == nil {
			items, err := e.vm.readAgain(h.ctx, found)
			if err == nil {
				records := decodeRecords(name, items)
				klog.InfoS("kept: records of a stale read were read again", "shard", name, "token", token, "found", len(found), "unfinished", len(records))
				e.vm.deliver(confirmedEvent{shard: name, token: token, records: records})
				return
			}
			klog.V(1).InfoS("kept: records of a stale read cannot be read again", "shard", name, "token", token, "found", len(found), "why", err)
			pause.For(h.ctx, scanRetryDelay)
		}
	})
}

// readAgain reads the items of records as they are now. Items of other records may be among them.
func (v *VM) readAgain(ctx context.Context, found []shard.StoredRecord) ([]store.Item, error) {
	if len(found) > maxSingleReads {
		items, _, err := v.readAll(ctx, submission.OpenPrefix, false)
		return items, err
	}
	var items []store.Item
	for _, r := range found {
		readCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		it, err := v.store.Get(readCtx, submission.OpenKey(r.Record.ID))
		cancel()
		if err != nil {
			return nil, err
		}
		if it.Revision > 0 {
			items = append(items, it)
		}
	}
	return items, nil
}

// decodeRecords returns the records of a shard. Those that cannot be decoded are logged and left out.
func decodeRecords(name string, items []store.Item) []shard.StoredRecord {
	var out []shard.StoredRecord
	for _, it := range items {
		id := submission.ID(strings.TrimPrefix(it.Key, submission.OpenPrefix))
		r, err := submission.DecodeRecord(id, it.Value)
		if err != nil {
			klog.ErrorS(err, "kept: stored submission cannot be decoded", "id", id, "revision", it.Revision)
			continue
		}
		if r.Shard == name {
			out = append(out, shard.StoredRecord{Record: r, Revision: it.Revision})
		}
	}
	return out
}

// apply hands the records of the first scan to the shard, with the workers that the previous holder stored. Those of a
// later scan are read again if the shard does not know them.
func (ev scannedEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	first := h.scannedAt == 0
	h.scannedAt = e.now
	if first {
		h.scanning = false
		e.recoverShard(h, ev)
		return
	}
	e.checkAbsent(ev.shard, h, h.core.Absent(ev.records, ev.revision))
	unknown := slices.DeleteFunc(ev.records, h.core.IsKnown)
	h.scanning = len(unknown) > 0
	if h.scanning {
		e.confirmRecords(ev.shard, h, unknown)
	}
}

// recoverShard hands the records of the first scan to the shard.
func (e *engine) recoverShard(h *heldShard, ev scannedEvent) {
	if ev.evacuations != nil {
		ev.evacuations.apply(e) // before the first start here
	}
	h.core.AddWorkersOfPreviousHolder(e.now, infosOf(ev.previousWorkers))
	for _, w := range ev.previousWorkers {
		if w.Slowness != 0 {
			h.core.SetSlowness(e.now, w.ID, w.Slowness)
		}
	}
	e.syncSessions(h)
	e.logAdopted(h, ev.records, "takeover")
	h.core.Recover(e.now, ev.records, ev.revision)
	klog.InfoS("kept: shard recovered", "shard", ev.shard, "token", ev.token, "unfinished", len(ev.records), "read_revision", ev.revision)
}

// apply hands the records that were read again to the shard.
func (ev confirmedEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	h.scanning = false
	e.logAdopted(h, ev.records, "search")
	h.core.AddRecords(e.now, ev.records)
}

// logAdopted logs and counts the records that the shard is about to adopt. foundBy says how they were found.
func (e *engine) logAdopted(h *heldShard, records []shard.StoredRecord, foundBy string) {
	for _, r := range records {
		if !h.core.IsKnown(r) {
			e.vm.metrics.adoptedSubmissions.Inc(1)
			klog.InfoS("kept: stored submission adopted", "id", r.Record.ID, "shard", h.holding.Shard, "token", h.holding.Token,
				"revision", r.Revision, "stored_under", r.Record.Token, "home", r.Record.Home, "found_by", foundBy)
		}
	}
}
