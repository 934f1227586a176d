package vm

import (
	"strings"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// scanRecords reads the unfinished submissions of a shard from the store.
func (e *engine) scanRecords(name string, h *heldShard) {
	h.scanning = true
	token := h.holding.Token
	// Scans after the first may read stale data, at a tenth of the cost: they only find records
	// that the holder was not told of, and it remembers which submissions have ended meanwhile.
	stale := h.scannedAt > 0
	e.vm.spawn(func() {
		for h.ctx.Err() == nil {
			items, revision, err := e.vm.readAll(h.ctx, submission.OpenPrefix, stale)
			ev := scannedEvent{shard: name, token: token, revision: revision, stale: stale, records: decodeRecords(name, items)}
			if err == nil && !stale {
				ev.previousWorkers, err = e.vm.readStoredWorkers(h.ctx, name)
			}
			if err == nil && !stale {
				ev.evacuations, err = e.vm.readEvacuations(h.ctx)
			}
			if err == nil {
				e.vm.post(ev)
				return
			}
			pause.For(h.ctx, scanRetryDelay)
		}
	})
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

// apply hands the records that were read to the shard, with the workers that the previous holder stored.
func (ev scannedEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return
	}
	h.scanning = false
	first := h.scannedAt == 0
	h.scannedAt = e.now
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
	for _, r := range ev.records {
		if !h.core.IsKnown(r) {
			e.vm.metrics.adoptedSubmissions.Inc(1)
			klog.InfoS("kept: stored submission adopted", "id", r.Record.ID, "shard", ev.shard, "token", ev.token,
				"revision", r.Revision, "stored_under", r.Record.Token, "home", r.Record.Home,
				"read_revision", ev.revision, "stale_read", ev.stale, "recovered_revision", h.recoveredRevision)
		}
	}
	h.core.AddRecords(e.now, ev.records)
	if first {
		h.recoveredRevision = ev.revision
		klog.InfoS("kept: shard recovered", "shard", ev.shard, "token", ev.token, "unfinished", len(ev.records), "read_revision", ev.revision)
	}
}
