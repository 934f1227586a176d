// Package platform is an in-memory stand-in for the platform's key-value service
// and its list of VMs, for tests and demonstrations.
//
// It injects the faults that the real service is known to have: outages, delays,
// replies lost after the write took effect, watches that never answer, stale reads
// and a VM list that lags behind.
package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

// MaxWatchWait limits how long a Watch call waits for a change.
const MaxWatchWait = time.Minute

var errOutage = connect.NewError(connect.CodeUnavailable, errors.New("injected outage"))

// Method names an operation in the call counts.
type Method string

// The operations.
const (
	MethodGet           Method = "get"
	MethodCompareAndSet Method = "compare_and_set"
	MethodWatch         Method = "watch"
	MethodGrantLease    Method = "grant_lease"
	MethodKeepAlive     Method = "keep_alive"
	MethodListVMs       Method = "list_vms"
)

// Options configure the stand-in. The zero value has no rate limits and no list lag.
type Options struct {
	// Now is the clock of leases, rate limits and the list's lag; time.Now
	// when nil.
	Now func() time.Time
	// ReadsPerSecond is the rate limit of Get, Watch and ListVMs together; 0 means
	// none.
	ReadsPerSecond float64
	// WritesPerSecond is the rate limit of CompareAndSet, GrantLease and KeepAlive
	// together; 0 means none.
	WritesPerSecond float64
	// ListLag is the time until readers see a change of the VM list.
	ListLag time.Duration
}

// Faults are the injected faults. The zero value is a healthy service.
type Faults struct {
	Outage      bool          // each call fails, waiting watches included
	Delay       time.Duration // added before each call takes effect
	LostReplies int           // number of following writes that take effect but report an error
	SilentWatch bool          // watches do not answer until the caller gives up
	StaleReads  bool          // reads return the value before the last write
}

// Platform implements PlatformService. It is safe for concurrent use.
type Platform struct {
	options Options
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced at each change
	faults      Faults
	entries     map[string]entry
	previous    map[string]entry
	lastVersion uint64
	leases      map[uint64]lease
	nextLease   uint64
	calls       map[Method]int
	refused     int
	lists       []vmList
}

type entry struct {
	value   []byte
	version uint64
	lease   uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type vmList struct {
	visibleAt time.Time
	version   uint64
	vms       []*pumiceyardv1.VM
}

var _ pumiceyardv1connect.PlatformServiceHandler = (*Platform)(nil)

// New returns an empty, healthy platform.
func New(options Options) *Platform {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Platform{
		options:  options,
		reads:    newLimiter(options.ReadsPerSecond),
		writes:   newLimiter(options.WritesPerSecond),
		changed:  make(chan struct{}),
		entries:  make(map[string]entry),
		previous: make(map[string]entry),
		leases:   make(map[uint64]lease),
		calls:    make(map[Method]int),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wakeWatches()
}

// Calls returns how often each operation was called, refused calls included.
func (p *Platform) Calls() map[Method]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[Method]int, len(p.calls))
	for method, n := range p.calls {
		counts[method] = n
	}
	return counts
}

// Refused returns how many calls exceeded the rate limits.
func (p *Platform) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// admitCall counts a call and applies the rate limit, an injected outage and the
// injected delay.
func (p *Platform) admitCall(ctx context.Context, method Method, limiter *rate.Limiter) error {
	p.mu.Lock()
	p.calls[method]++
	allowed := limiter.AllowN(p.options.Now(), 1)
	if !allowed {
		p.refused++
	}
	faults := p.faults
	p.mu.Unlock()
	if !allowed {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("rate limit"))
	}
	if faults.Outage {
		return errOutage
	}
	if faults.Delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return contextError(ctx)
	case <-time.After(faults.Delay):
		return nil
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	return connect.NewError(connect.CodeCanceled, ctx.Err())
}

// injectLostReply returns an error for a write that took effect if the reply is to
// be lost. The caller holds mu.
func (p *Platform) injectLostReply() error {
	if p.faults.LostReplies == 0 {
		return nil
	}
	p.faults.LostReplies--
	return connect.NewError(connect.CodeUnavailable, errors.New("injected loss of the reply"))
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get implements PlatformService: it reads a key.
func (p *Platform) Get(ctx context.Context, req *connect.Request[pumiceyardv1.GetRequest]) (*connect.Response[pumiceyardv1.GetResponse], error) {
	if err := p.admitCall(ctx, MethodGet, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.read(req.Msg.Key)
	return connect.NewResponse(&pumiceyardv1.GetResponse{
		Found:   found.version != 0,
		Value:   found.value,
		Version: found.version,
	}), nil
}

// read returns the entry that readers of a key see. The caller holds mu.
func (p *Platform) read(key string) entry {
	p.expireLeases()
	if p.faults.StaleReads {
		return p.previous[key]
	}
	return p.entries[key]
}

// CompareAndSet implements PlatformService: it writes or deletes a key if its
// version is the expected one.
func (p *Platform) CompareAndSet(ctx context.Context, req *connect.Request[pumiceyardv1.CompareAndSetRequest]) (*connect.Response[pumiceyardv1.CompareAndSetResponse], error) {
	if err := p.admitCall(ctx, MethodCompareAndSet, p.writes); err != nil {
		return nil, err
	}
	if len(req.Msg.Value) > MaxValueBytes {
		err := fmt.Errorf("value of %d bytes; at most %d", len(req.Msg.Value), MaxValueBytes)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	current := p.entries[req.Msg.Key]
	if current.version != req.Msg.ExpectedVersion {
		return connect.NewResponse(&pumiceyardv1.CompareAndSetResponse{Version: current.version}), nil
	}
	if _, alive := p.leases[req.Msg.Lease]; req.Msg.Lease != 0 && !alive {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("lease has expired"))
	}
	version := p.write(req.Msg)
	if err := p.injectLostReply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pumiceyardv1.CompareAndSetResponse{Swapped: true, Version: version}), nil
}

// write applies a compare-and-set whose conditions hold and returns the key's new
// version, 0 after a deletion. The caller holds mu.
func (p *Platform) write(msg *pumiceyardv1.CompareAndSetRequest) uint64 {
	p.previous[msg.Key] = p.entries[msg.Key]
	defer p.wakeWatches()
	if msg.Delete {
		delete(p.entries, msg.Key)
		return 0
	}
	p.lastVersion++
	value := append([]byte(nil), msg.Value...)
	p.entries[msg.Key] = entry{value: value, version: p.lastVersion, lease: msg.Lease}
	return p.lastVersion
}

// Watch implements PlatformService: it waits until the key's version is greater than
// the given one.
func (p *Platform) Watch(ctx context.Context, req *connect.Request[pumiceyardv1.WatchRequest]) (*connect.Response[pumiceyardv1.WatchResponse], error) {
	if err := p.admitCall(ctx, MethodWatch, p.reads); err != nil {
		return nil, err
	}
	wait := min(time.Duration(req.Msg.WaitMillis)*time.Millisecond, MaxWatchWait)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		p.mu.Lock()
		found, faults, changed := p.read(req.Msg.Key), p.faults, p.changed
		p.mu.Unlock()
		expired := end.C
		switch {
		case faults.Outage:
			return nil, errOutage
		case faults.SilentWatch:
			expired = nil
		case found.version > req.Msg.AfterVersion:
			return connect.NewResponse(&pumiceyardv1.WatchResponse{
				Changed: true,
				Value:   found.value,
				Version: found.version,
			}), nil
		}
		select {
		case <-changed:
		case <-expired:
			return connect.NewResponse(&pumiceyardv1.WatchResponse{Version: found.version}), nil
		case <-ctx.Done():
			return nil, contextError(ctx)
		}
	}
}

// GrantLease implements PlatformService: it grants a lease, which expires unless it
// is kept alive.
func (p *Platform) GrantLease(ctx context.Context, req *connect.Request[pumiceyardv1.GrantLeaseRequest]) (*connect.Response[pumiceyardv1.GrantLeaseResponse], error) {
	if err := p.admitCall(ctx, MethodGrantLease, p.writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ttl := time.Duration(req.Msg.TtlMillis) * time.Millisecond
	p.nextLease++
	p.leases[p.nextLease] = lease{ttl: ttl, expires: p.options.Now().Add(ttl)}
	if err := p.injectLostReply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pumiceyardv1.GrantLeaseResponse{Lease: p.nextLease}), nil
}

// KeepAlive implements PlatformService: it renews a lease for its time to live
// unless it has expired.
func (p *Platform) KeepAlive(ctx context.Context, req *connect.Request[pumiceyardv1.KeepAliveRequest]) (*connect.Response[pumiceyardv1.KeepAliveResponse], error) {
	if err := p.admitCall(ctx, MethodKeepAlive, p.writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	held, alive := p.leases[req.Msg.Lease]
	if alive {
		held.expires = p.options.Now().Add(held.ttl)
		p.leases[req.Msg.Lease] = held
	}
	if err := p.injectLostReply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pumiceyardv1.KeepAliveResponse{Alive: alive}), nil
}

// expireLeases removes expired leases and the keys written under them. The caller
// holds mu.
func (p *Platform) expireLeases() {
	now := p.options.Now()
	for id, held := range p.leases {
		if now.Before(held.expires) {
			continue
		}
		delete(p.leases, id)
		for key, e := range p.entries {
			if e.lease == id {
				delete(p.entries, key)
			}
		}
	}
}
