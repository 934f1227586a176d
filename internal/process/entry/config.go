package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

const (
	watchWait  = 20 * time.Second
	watchRetry = 300 * time.Millisecond
)

// watchDocument puts each newer revision in force.
func (vm *VM) watchDocument(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		m, err := vm.platform.Watch(ctx, &pb.WatchRequest{
			Key:          publication.HeadKey,
			AfterVersion: version,
			WaitMillis:   uint32(watchWait.Milliseconds()),
		})
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetry):
			}
			continue
		}
		if m.Changed {
			version = max(version, m.Version)
			vm.applyDocument(m.Value)
		}
	}
}

// applyDocument puts a document in force if it is valid and newer than the one
// in force. A stale read must never bring an older revision back.
func (vm *VM) applyDocument(text []byte) {
	head, err := publication.DecodeHead(text)
	if err != nil {
		klog.ErrorS(err, logPrefix+"document refused")
		return
	}
	d := head.Document
	if old := vm.Document(); old != nil && d.Revision <= old.Revision {
		return
	}
	vm.document.Store(d)
	accounts := make([]fairness.Account, 0, len(d.Accounts))
	for _, a := range d.Accounts {
		accounts = append(accounts, fairness.Account{Name: a.Name, Weight: a.Weight, QuotaSlots: a.QuotaSlots, Parent: a.Parent})
	}
	vm.holder.SetAccounts(accounts)
	vm.updateReady()
	klog.InfoS(logPrefix+"configuration in force", "name", vm.settings.Name, "revision", d.Revision, "author", d.Author)
}
