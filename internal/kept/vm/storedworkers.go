package vm

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// A holder stores which workers it uses, for the next holder of the shard. The entries of the
// platform's own list expire during outages of the store, while the workers go on: a new holder
// that used the list alone would start tasks again that still run on a worker it does not know.

// speedStoreInterval is the shortest time between two writes that only speeds have caused.
const speedStoreInterval = 10 * time.Second

const storedWorkersPrefix = "pumiceyard/workers/"

// storedWorker is a worker as it is stored, with how many times longer than usual runs take there; 0: not known.
type storedWorker struct {
	worker.Info
	Slowness float64 `json:",omitempty"`
}

// storeWorkers stores the workers of a shard if they have changed since they were last stored. Speeds alone
// cause few writes: they are coarse, and learned anew if they are lost.
func (e *engine) storeWorkers(h *heldShard) {
	if h.scannedAt == 0 || h.storingWorkers {
		return
	}
	var list []storedWorker
	for _, id := range h.core.WorkerIDs() {
		info, _ := h.core.WorkerInfo(id)
		info.Revision = 0
		list = append(list, storedWorker{Info: info})
	}
	compared, err := json.Marshal(list)
	if err != nil {
		klog.ErrorS(err, "kept: workers of a shard cannot be encoded as JSON", "shard", h.holding.Shard)
		return
	}
	speedsDue := e.now-h.storedWorkersAt >= speedStoreInterval
	if len(list) == 0 || string(compared) == h.storedWorkers && !speedsDue {
		return
	}
	for i := range list {
		list[i].Slowness, _ = h.core.Slowness(list[i].ID)
	}
	value, err := json.Marshal(list)
	if err != nil {
		klog.ErrorS(err, "kept: speeds of workers cannot be encoded as JSON", "shard", h.holding.Shard)
		return
	}
	if string(value) == h.storedSpeeds {
		return
	}
	h.storingWorkers = true
	h.storedWorkersAt = e.now
	name, token, guard := h.holding.Shard, h.holding.Token, h.guard()
	e.vm.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, claimTimeout)
		defer cancel()
		_, err := e.vm.store.Commit(ctx, store.Txn{
			Expect: []store.Condition{guard},
			Put:    []store.Put{{Key: storedWorkersPrefix + name, Value: value}},
		})
		e.vm.deliver(workersStoredEvent{shard: name, token: token, workers: string(compared), value: string(value), err: err})
	})
}

// workersStoredEvent says how storing the workers of a shard went.
type workersStoredEvent struct {
	shard string
	token uint64

	workers string // without speeds
	value   string
	err     error
}

func (ev workersStoredEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	h.storingWorkers = false
	if ev.err != nil {
		klog.InfoS("kept: workers of a shard were not stored", "shard", ev.shard, "why", ev.err)
		return // retried with the next update of the list
	}
	h.storedWorkers, h.storedSpeeds = ev.workers, ev.value
}

// readStoredWorkers reads the workers that the previous holder of a shard stored.
func (v *VM) readStoredWorkers(ctx context.Context, name string) ([]storedWorker, error) {
	it, err := v.store.Get(ctx, storedWorkersPrefix+name)
	if err != nil || it.Revision == 0 {
		return nil, err
	}
	var rows []json.RawMessage
	if err := json.Unmarshal(it.Value, &rows); err != nil {
		klog.ErrorS(err, "kept: stored workers of a shard cannot be decoded", "shard", name)
		return nil, nil
	}
	var list []storedWorker
	for _, row := range rows {
		var info storedWorker
		if err := json.Unmarshal(row, &info); err != nil {
			klog.ErrorS(err, "kept: stored worker of a shard cannot be decoded, using the others", "shard", name)
			continue
		}
		list = append(list, info)
	}
	return list, nil
}

// infosOf returns the entries of stored workers.
func infosOf(stored []storedWorker) []worker.Info {
	var out []worker.Info
	for _, w := range stored {
		out = append(out, w.Info)
	}
	return out
}
