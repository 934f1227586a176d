package vm

import (
	"cmp"
	"context"
	"encoding/base64"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Times of watches and of the session.
const (
	// An operator's change must be in force within some seconds, also when a watch has gone
	// silent: it is asked anew after this part of them and the way's own bound (450 ms).
	catalogWaitShare    = 0.45
	defaultCatalogDelay = 2 * time.Second // where the settings do not say
	// Workers rewrite their entries at each heartbeat, so a watch of them comes back
	// at once: without a pause 48 workers cost 32 calls a second at each holder.
	maxWorkersPause = 450 * time.Millisecond
	// The longer the pause, the more comes at once, and what this VM says to its workers waits
	// behind it: on a link of 2 Mbit/s the changes of 120 workers in 450 ms hold an order up for
	// 0.1 s, twice as long as it waits for its answer. So the pause is as long as what comes in it
	// fills the link for maxWorkersTransfer at most.
	minWorkersPause      = 100 * time.Millisecond
	maxWorkersTransfer   = 40 * time.Millisecond
	siteWatchWait        = 1500 * time.Millisecond
	rangeTimeout         = 2 * time.Second
	watchBackoffStep     = 100 * time.Millisecond // after a failure, growing
	maxWatchBackoff      = 600 * time.Millisecond
	sessionTTL           = 4 * time.Second
	sessionRenewInterval = 1200 * time.Millisecond
	sessionRetryInterval = 250 * time.Millisecond // after a renewal that failed
)

// follower keeps a copy of the keys under a prefix.
type prefixWatcher struct {
	vm         *VM
	prefix     string
	maxWait    time.Duration
	pause      func(pace time.Duration, events []store.Event) time.Duration // after an answer with changes, made so soon; nil: none
	onSnapshot func(sent time.Duration, revision uint64, items []store.Item)
	onChanges  func(sent time.Duration, events []store.Event)
}

// run reads the whole prefix, then its changes, and begins again when the history
// is lost.
func (f *prefixWatcher) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		sent := f.vm.now()
		items, rev, err := f.vm.readAll(ctx, f.prefix, false)
		if err == nil {
			f.onSnapshot(sent, rev, items)
			failures = 0
			err = f.watchChanges(ctx, rev)
		}
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("kept: a watch begins again", "prefix", f.prefix, "why", err)
		if errors.Is(err, store.ErrCompacted) {
			continue
		}
		failures++
		backOff(ctx, failures)
	}
}

func (f *prefixWatcher) watchChanges(ctx context.Context, rev uint64) error {
	failures := 0
	answered := f.vm.now()
	for {
		sent := f.vm.now()
		watchCtx, cancel := context.WithTimeout(ctx, f.maxWait+rangeTimeout)
		c, err := f.vm.store.Watch(watchCtx, f.prefix, rev, f.maxWait)
		cancel()
		switch {
		case err == nil:
			failures = 0
			rev = max(rev, c.Revision)
			f.onChanges(sent, c.Events)
			if f.pause != nil && len(c.Events) > 0 {
				pause.For(ctx, f.pause(f.vm.now()-answered, c.Events))
			}
			answered = f.vm.now()
		case ctx.Err() != nil, errors.Is(err, store.ErrCompacted):
			return err
		default:
			failures++
			backOff(ctx, failures)
		}
	}
}

// readAll reads the keys under a prefix, page by page. The revision is that of the
// first page: what changed while the others were read comes again as events.
func (v *VM) readAll(ctx context.Context, prefix string, stale bool) (items []store.Item, rev uint64, err error) {
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
		p, err := v.store.Range(pageCtx, prefix, after, stale)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// rest waits after so many failures in a row.
func backOff(ctx context.Context, failures int) {
	pause.For(ctx, min(time.Duration(failures)*watchBackoffStep, maxWatchBackoff))
}

// What all VMs of a site together may spend on following its changes, as a share of the reads that the
// store serves, and the most that a change may wait for it.
//
// Each change wakes the watch of each VM, and there are the more changes the more VMs there are: calls grow
// with the square of the site.
const (
	siteReadShare = 0.05
	maxSitePause  = 500 * time.Millisecond
)

// sitePause is how long changes of the site may gather after some were read.
func (v *VM) sitePause(time.Duration, []store.Event) time.Duration {
	vms := v.relaxedSiteSize.Load()
	if vms == 0 || v.config.StoreReadsPerSecond <= 0 {
		return 0
	}
	return min(time.Duration(float64(vms)/(siteReadShare*v.config.StoreReadsPerSecond)*float64(time.Second)), maxSitePause)
}

func (v *VM) watchSite(ctx context.Context) {
	f := &prefixWatcher{vm: v, prefix: site.Prefix, maxWait: siteWatchWait, pause: v.sitePause}
	f.onSnapshot = func(sent time.Duration, _ uint64, items []store.Item) {
		v.post(siteEvent{sent: sent, whole: true, items: items})
	}
	f.onChanges = func(sent time.Duration, events []store.Event) {
		v.post(siteEvent{sent: sent, events: events})
	}
	f.run(ctx)
}

func (v *VM) watchCatalog(ctx context.Context) {
	take := func(it store.Item) {
		if it.Key != v.config.StoreLayout.CatalogKey {
			return
		}
		c, err := v.config.StoreLayout.DecodeCatalog(it)
		if err != nil {
			klog.ErrorS(err, "kept: the configuration cannot be read; the one in force stays", "revision", it.Revision)
			return
		}
		old := v.catalog.Load()
		if old != nil && c.Version <= old.Version {
			return
		}
		v.catalog.Store(c)
		v.post(servicesEvent{services: c.Services})
		klog.InfoS("kept: configuration in force", "version", c.Version, "revision", it.Revision, "queues", len(c.Queues))
	}
	f := &prefixWatcher{vm: v, prefix: v.config.StoreLayout.CatalogPrefix, maxWait: time.Duration(catalogWaitShare * float64(cmp.Or(v.config.MaxCatalogDelay, defaultCatalogDelay)))}
	f.onSnapshot = func(sent time.Duration, revision uint64, items []store.Item) {
		for _, it := range items {
			take(it)
		}
		v.post(evacuationsEvent{sent: sent, whole: true, revision: revision, notices: v.evacuationsIn(items)})
	}
	f.onChanges = func(sent time.Duration, events []store.Event) {
		for _, e := range events {
			if !e.Deleted {
				take(e.Item)
			}
		}
		v.post(evacuationsEvent{sent: sent, notices: v.evacuationChanges(events)})
	}
	f.run(ctx)
}

// entryOverhead is what an entry takes on the wire beside its value, in bytes: its key, its
// revision and their names.
const entryOverhead = 100

// maxWorkersPause is how long the changes of the list of workers may gather, after some that came in
// a time.
func (v *VM) workersPause(in time.Duration, events []store.Event) time.Duration {
	if v.config.LinkBytesPerSecond <= 0 || in <= 0 {
		return maxWorkersPause
	}
	bytes := 0
	for _, e := range events {
		bytes += base64.StdEncoding.EncodedLen(len(e.Value)) + entryOverhead
	}
	fills := time.Duration(float64(bytes) / v.config.LinkBytesPerSecond * float64(time.Second))
	return min(max(time.Duration(float64(maxWorkersTransfer)*float64(in)/float64(fills)), minWorkersPause), maxWorkersPause)
}

// setReadWorkers says whether this VM is to read the list of workers. The newest word counts.
func (v *VM) setReadWorkers(on bool) {
	select {
	case <-v.readWorkersRequests:
	default:
	}
	v.readWorkersRequests <- on
}

// watchWorkers follows the list of workers while this VM is to read it.
func (v *VM) watchWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case on := <-v.readWorkersRequests:
			if !on {
				continue
			}
		}
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			v.watchWorkerList(watchCtx)
		}()
		for on := true; on; {
			select {
			case <-ctx.Done():
				on = false
			case on = <-v.readWorkersRequests:
			}
		}
		cancel()
		<-done
	}
}

func (v *VM) watchWorkerList(ctx context.Context) {
	list := make(map[string]worker.Info)
	take := func(it store.Item) {
		info, ok := v.decodeEntry(it)
		switch known, there := list[it.Key]; {
		case ok && there && known.Incarnation().Succeeds(info.Incarnation()):
			// The earlier incarnation's, which came late.
		case ok && (info.Born > 0 || known.Born == 0):
			list[it.Key] = info
		case there:
			// What it says now names no worker to use; what runs there is still held.
			known.Leaving = true
			list[it.Key] = known
		}
	}
	send := func(sent time.Duration) {
		v.post(workersEvent{sent: sent, list: slices.AppendSeq([]worker.Info{}, maps.Values(list))})
	}
	f := &prefixWatcher{vm: v, prefix: v.config.StoreLayout.WorkerPrefix, maxWait: v.config.leaveNoticeShare(listWatchShare), pause: v.workersPause}
	f.onSnapshot = func(sent time.Duration, _ uint64, items []store.Item) {
		there := make(map[string]bool, len(items))
		for _, it := range items {
			there[it.Key] = true
			take(it)
		}
		maps.DeleteFunc(list, func(key string, _ worker.Info) bool { return !there[key] })
		send(sent)
	}
	f.onChanges = func(sent time.Duration, events []store.Event) {
		for _, e := range events {
			if e.Deleted {
				delete(list, e.Key)
			} else {
				take(e.Item)
			}
		}
		send(sent) // an answer without changes says that the list stands
	}
	f.run(ctx)
}

// keepSession keeps this VM's leased key in the store.
func (v *VM) keepSession(ctx context.Context) {
	self := site.Member{
		Name:        v.config.Name,
		Incarnation: v.config.Incarnation,
		Domain:      v.config.Domain,
		Address:     v.config.PeerAddress,
		Cores:       v.config.Cores,
	}
	failures := 0
	for ctx.Err() == nil {
		err := v.maintainSession(ctx, self)
		if ctx.Err() != nil || errors.Is(err, errStopping) {
			return
		}
		klog.InfoS("kept: session lost", "vm", v.config.Name, "why", err)
		failures++
		backOff(ctx, failures)
	}
}

// maintainSession opens a session and renews it until it is lost.
func (v *VM) maintainSession(ctx context.Context, self site.Member) error {
	lease, err := v.store.Grant(ctx, sessionTTL)
	if err != nil {
		return err
	}
	put := store.Put{Key: site.MemberKey(self.Name), Value: site.Encode(self), Lease: lease}
	if _, err := v.store.Commit(ctx, store.Txn{Put: []store.Put{put}}); err != nil {
		return err
	}
	klog.InfoS("kept: session opened", "vm", self.Name, "lease", lease)
	pause := sessionRenewInterval
	for ctx.Err() == nil {
		select {
		case <-v.drainRequested:
			return v.endSession(ctx, lease)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = sessionRenewInterval
		err := v.store.KeepAlive(ctx, lease)
		if errors.Is(err, store.ErrNoLease) {
			return err
		}
		if err != nil {
			klog.V(1).InfoS("kept: session not renewed", "why", err)
			pause = sessionRetryInterval
		}
		if v.sessionKeyDeleted.Swap(false) {
			return errSessionKeyDeleted
		}
	}
	return nil
}

// endSession takes this VM's key away, so that nobody hands it a shard while it stops.
// Its links stand, and it serves its callers on.
func (v *VM) endSession(ctx context.Context, lease uint64) error {
	if err := v.store.Revoke(ctx, lease); err != nil {
		klog.InfoS("kept: session not ended, its key lapses by itself", "why", err)
	}
	return errStopping
}

var errStopping = errors.New("this VM stops")

var errSessionKeyDeleted = errors.New("the key is gone though its lease stands")
