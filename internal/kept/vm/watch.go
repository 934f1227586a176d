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
	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Times of watches and of this VM's session in the store.
const (
	// catalogWaitShare is the longest wait of a watch of the configuration, as a fraction of
	// Config.MaxCatalogDelay. A change must be in force within that delay even if a watch is
	// never answered: it is repeated after this wait and the time-out of a call (450 ms).
	catalogWaitShare    = 0.45
	defaultCatalogDelay = 2 * time.Second // replaces a Config.MaxCatalogDelay of 0

	// maxWorkersPause is the longest pause between watches of the list of workers. Workers
	// rewrite their entries at each heartbeat, so such a watch returns at once: without a pause,
	// 48 workers cost 32 calls a second at each holder.
	maxWorkersPause = 450 * time.Millisecond
	// The longer the pause, the more changes arrive at once, and calls to workers wait behind
	// them: on a link of 2 Mbit/s the changes of 120 workers in 450 ms delay an order by 0.1 s,
	// twice its time-out. So the pause is limited such that the changes that gather in it occupy
	// the link for maxWorkersTransfer at most.
	minWorkersPause    = 100 * time.Millisecond
	maxWorkersTransfer = 40 * time.Millisecond

	siteWatchWait        = 1500 * time.Millisecond
	rangeTimeout         = 2 * time.Second        // for a page of a range; for a watch, added to its wait
	watchBackoffStep     = 100 * time.Millisecond // added to the backoff with each failure in a row
	maxWatchBackoff      = 600 * time.Millisecond
	sessionTTL           = 4 * time.Second
	sessionRenewInterval = 1200 * time.Millisecond
	sessionRetryInterval = 250 * time.Millisecond // after a renewal that failed
)

// prefixWatcher follows the keys under a prefix of the store.
type prefixWatcher struct {
	vm      *VM
	prefix  string
	maxWait time.Duration // of the store for a change, before it answers that there is none
	// pause is how long to wait after changes, so that more gather; gathered is the time in which these
	// did. nil: no pause.
	pause func(gathered time.Duration, events []store.Event) time.Duration
	// onSnapshot is called with all keys, onChanges with each answer of a watch, also without changes. All
	// changes made before knownAt are known then.
	onSnapshot func(knownAt time.Duration, revision uint64, items []store.Item)
	onChanges  func(knownAt time.Duration, events []store.Event)
}

// run reads the whole prefix and then watches its changes. It starts again when the store no longer has
// the history.
func (f *prefixWatcher) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		requestedAt := f.vm.now()
		items, rev, err := f.vm.readAll(ctx, f.prefix, false)
		if err == nil {
			f.onSnapshot(requestedAt, rev, items)
			failures = 0
			err = f.watchChanges(ctx, rev, requestedAt)
		}
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("kept: watch restarted", "prefix", f.prefix, "why", err)
		if errors.Is(err, store.ErrCompacted) {
			continue
		}
		failures++
		backOff(ctx, failures)
	}
}

// watchChanges watches the changes after a revision until ctx ends or the history is lost. All changes made
// before knownAt are known. After an answer that left changes out it asks for them at once: with a pause
// after each, a watcher of many keys would fall behind further and further.
func (f *prefixWatcher) watchChanges(ctx context.Context, rev uint64, knownAt time.Duration) error {
	failures := 0
	answered := f.vm.now()
	for {
		requestedAt := f.vm.now()
		watchCtx, cancel := context.WithTimeout(ctx, f.maxWait+rangeTimeout)
		c, err := f.vm.store.Watch(watchCtx, f.prefix, rev, f.maxWait)
		cancel()
		switch {
		case err == nil:
			failures = 0
			rev = max(rev, c.Revision)
			if !c.More {
				knownAt = requestedAt
			}
			f.onChanges(knownAt, c.Events)
			if f.pause != nil && len(c.Events) > 0 && !c.More {
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

// readAll reads the keys under a prefix, page by page. The revision is the lowest of a page, as pages of a stale read may
// be of different ages: a watch from there repeats changes made while the others were read.
func (v *VM) readAll(ctx context.Context, prefix string, stale bool) (items []store.Item, rev uint64, err error) {
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
		p, err := v.store.Range(pageCtx, prefix, after, stale)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 || p.Revision < rev {
			rev = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// backOff waits after a number of failures in a row.
func backOff(ctx context.Context, failures int) {
	pause.For(ctx, min(time.Duration(failures)*watchBackoffStep, maxWatchBackoff))
}

// Limits of the watches of the site's keys. Each change wakes the watch of each VM, and more VMs make more
// changes, so the calls grow with the square of the number of VMs.
const (
	siteReadShare = 0.05                   // of the reads that the store serves, for the watches of all VMs together
	maxSitePause  = 500 * time.Millisecond // longest delay of a change to stay within siteReadShare
)

// sitePause returns how long to wait after changes of the site, so that more gather.
func (v *VM) sitePause(time.Duration, []store.Event) time.Duration {
	vms := v.relaxedSiteSize.Load()
	if vms == 0 || v.config.StoreReadsPerSecond <= 0 {
		return 0
	}
	return min(timespan.Times(time.Second, float64(vms)/(siteReadShare*v.config.StoreReadsPerSecond)), maxSitePause)
}

// watchSite watches the keys of the site: members, domains and shards.
func (v *VM) watchSite(ctx context.Context) {
	f := &prefixWatcher{vm: v, prefix: site.Prefix, maxWait: siteWatchWait, pause: v.sitePause}
	f.onSnapshot = func(knownAt time.Duration, _ uint64, items []store.Item) {
		v.deliver(siteEvent{requestedAt: knownAt, complete: true, items: items})
	}
	f.onChanges = func(knownAt time.Duration, events []store.Event) {
		v.deliver(siteEvent{requestedAt: knownAt, events: events})
	}
	f.run(ctx)
}

// watchCatalog watches the configuration and the operators' requests for evacuations.
func (v *VM) watchCatalog(ctx context.Context) {
	apply := func(it store.Item) {
		if it.Key != v.config.StoreLayout.CatalogKey {
			return
		}
		c, err := v.config.StoreLayout.DecodeCatalog(it)
		if err != nil {
			klog.ErrorS(err, "kept: configuration cannot be decoded, keeping the one in force", "revision", it.Revision)
			return
		}
		old := v.catalog.Load()
		if old != nil && c.Version <= old.Version {
			return
		}
		v.catalog.Store(c)
		v.deliver(servicesEvent{services: c.Services})
		klog.InfoS("kept: configuration in force", "version", c.Version, "revision", it.Revision, "queues", len(c.Queues))
	}
	f := &prefixWatcher{vm: v, prefix: v.config.StoreLayout.CatalogPrefix, maxWait: time.Duration(catalogWaitShare * float64(cmp.Or(v.config.MaxCatalogDelay, defaultCatalogDelay)))}
	f.onSnapshot = func(knownAt time.Duration, revision uint64, items []store.Item) {
		for _, it := range items {
			apply(it)
		}
		v.deliver(evacuationsEvent{requestedAt: knownAt, complete: true, revision: revision, notices: v.evacuationsIn(items)})
	}
	f.onChanges = func(knownAt time.Duration, events []store.Event) {
		for _, e := range events {
			if !e.Deleted {
				apply(e.Item)
			}
		}
		v.deliver(evacuationsEvent{requestedAt: knownAt, notices: v.evacuationChanges(events)})
	}
	f.run(ctx)
}

// entryOverhead is the size of an entry on the wire without its value, in bytes: its key, its
// revision and the names of the fields.
const entryOverhead = 100

// workersPause returns how long to wait after changes of the list of workers, so that more gather.
// gathered is the time in which these changes did.
func (v *VM) workersPause(gathered time.Duration, events []store.Event) time.Duration {
	if v.config.LinkBytesPerSecond <= 0 || gathered <= 0 {
		return maxWorkersPause
	}
	bytes := 0
	for _, e := range events {
		bytes += base64.StdEncoding.EncodedLen(len(e.Value)) + entryOverhead
	}
	transferSeconds := float64(bytes) / v.config.LinkBytesPerSecond
	return min(max(timespan.Times(gathered, maxWorkersTransfer.Seconds()/transferSeconds), minWorkersPause), maxWorkersPause)
}

// setReadWorkers starts or stops the watch of the list of workers. The latest call counts.
func (v *VM) setReadWorkers(on bool) {
	select {
	case <-v.readWorkersRequests:
	default:
	}
	v.readWorkersRequests <- on
}

// watchWorkers watches the list of workers while setReadWorkers says so.
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

// watchWorkerList watches the list of workers until ctx ends, and posts the whole list after each answer.
func (v *VM) watchWorkerList(ctx context.Context) {
	workers := make(map[string]worker.Info)
	apply := func(it store.Item) {
		info, ok := v.decodeEntry(it)
		switch known, present := workers[it.Key]; {
		case ok && present && known.Incarnation().Succeeds(info.Incarnation()):
			// A late entry of an earlier incarnation is ignored.
		case ok && (info.Born > 0 || known.Born == 0):
			workers[it.Key] = info
		case present:
			// The entry no longer describes a usable worker. Its runs go on, but no new ones start there.
			known.Leaving = true
			workers[it.Key] = known
		}
	}
	send := func(knownAt time.Duration) {
		v.deliver(workersEvent{requestedAt: knownAt, workers: slices.AppendSeq([]worker.Info{}, maps.Values(workers))})
	}
	f := &prefixWatcher{vm: v, prefix: v.config.StoreLayout.WorkerPrefix, maxWait: v.config.leaveNoticeShare(listWatchShare), pause: v.workersPause}
	f.onSnapshot = func(knownAt time.Duration, _ uint64, items []store.Item) {
		present := make(map[string]bool, len(items))
		for _, it := range items {
			present[it.Key] = true
			apply(it)
		}
		maps.DeleteFunc(workers, func(key string, _ worker.Info) bool { return !present[key] })
		send(knownAt)
	}
	f.onChanges = func(knownAt time.Duration, events []store.Event) {
		for _, e := range events {
			if e.Deleted {
				delete(workers, e.Key)
			} else {
				apply(e.Item)
			}
		}
		send(knownAt) // also without changes: that renews the age of the list
	}
	f.run(ctx)
}

// keepSession keeps this VM's member key, which has a lease, in the store.
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

// endSession deletes this VM's member key, so that no VM hands it a shard while it stops.
// Its links stay open, and it goes on serving its callers.
func (v *VM) endSession(ctx context.Context, lease uint64) error {
	if err := v.store.Revoke(ctx, lease); err != nil {
		klog.InfoS("kept: lease of the session not revoked, its key expires by itself", "why", err)
	}
	return errStopping
}

var errStopping = errors.New("this VM is stopping")

var errSessionKeyDeleted = errors.New("the session's key was deleted while its lease is valid")
