package vm

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// A holder stores which workers it uses, for the next holder of the shard. The entries of the
// platform's own list expire during outages of the store, while the workers go on: a new holder
// that used the list alone would start tasks again that still run on a worker it does not know.

const storedWorkersPrefix = "pumiceyard/workers/"

// storeWorkers stores the workers of a shard if they have changed since they were last stored.
func (e *engine) storeWorkers(h *heldShard) {
	if h.scannedAt == 0 || h.storingWorkers {
		return
	}
	var list []worker.Info
	for _, id := range h.core.WorkerIDs() {
		info, _ := h.core.WorkerInfo(id)
		info.Revision = 0
		list = append(list, info)
	}
	value, err := json.Marshal(list)
	if err != nil {
		klog.ErrorS(err, "kept: workers of a shard cannot be encoded as JSON", "shard", h.holding.Shard)
		return
	}
	if string(value) == h.storedWorkers || len(list) == 0 {
		return
	}
	h.storingWorkers = true
	name, token, guard := h.holding.Shard, h.holding.Token, h.guard()
	e.vm.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, claimTimeout)
		defer cancel()
		_, err := e.vm.store.Commit(ctx, store.Txn{
			Expect: []store.Condition{guard},
			Put:    []store.Put{{Key: storedWorkersPrefix + name, Value: value}},
		})
		e.vm.post(workersStoredEvent{shard: name, token: token, value: string(value), err: err})
	})
}

// workersStoredEvent says how storing the workers of a shard went.
type workersStoredEvent struct {
	shard string
	token uint64
	value string
	err   error
}

func (ev workersStoredEvent) apply(e *engine) {
	h := e.shards[ev.shard]
	if h == nil || h.holding.Token != ev.token {
		return
	}
	h.storingWorkers = false
	if ev.err != nil {
		klog.InfoS("kept: workers of a shard were not stored", "shard", ev.shard, "why", ev.err)
		return // retried with the next update of the list
	}
	h.storedWorkers = ev.value
}

// readStoredWorkers reads the workers that the previous holder of a shard stored.
func (v *VM) readStoredWorkers(ctx context.Context, name string) ([]worker.Info, error) {
	it, err := v.store.Get(ctx, storedWorkersPrefix+name)
	if err != nil || it.Revision == 0 {
		return nil, err
	}
	var rows []json.RawMessage
	if err := json.Unmarshal(it.Value, &rows); err != nil {
		klog.ErrorS(err, "kept: stored workers of a shard cannot be decoded", "shard", name)
		return nil, nil
	}
	var list []worker.Info
	for _, row := range rows {
		var info worker.Info
		if err := json.Unmarshal(row, &info); err != nil {
			klog.ErrorS(err, "kept: stored worker of a shard cannot be decoded, using the others", "shard", name)
			continue
		}
		list = append(list, info)
	}
	return list, nil
}
