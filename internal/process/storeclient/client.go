// Package storeclient is the one way in which a process calls the platform's
// store. It holds the retry policy, the circuit breaker, the rate limit and the
// accounts of who called for what.
//
// Each VM keeps to its share of the store's rate, worked out from the size of
// the fleet, so that the fleet as a whole stays under it without talking about
// it. A write whose answer was lost is settled by reading back.
package storeclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// Platform is the platform's service, as internal/connection/platform calls it.
// Each method has a deadline of its own.
type Platform interface {
	Get(context.Context, *pumiceyardv1.GetRequest) (*pumiceyardv1.GetResponse, error)
	CompareAndSet(context.Context, *pumiceyardv1.CompareAndSetRequest) (*pumiceyardv1.CompareAndSetResponse, error)
	Watch(context.Context, *pumiceyardv1.WatchRequest) (*pumiceyardv1.WatchResponse, error)
	GrantLease(context.Context, *pumiceyardv1.GrantLeaseRequest) (*pumiceyardv1.GrantLeaseResponse, error)
	KeepAlive(context.Context, *pumiceyardv1.KeepAliveRequest) (*pumiceyardv1.KeepAliveResponse, error)
	ListVMs(context.Context) (*pumiceyardv1.ListVMsResponse, error)
}

// Purpose says what a call is for, in the accounts.
type Purpose string

// The purposes that the store is called for.
const (
	ForConfiguration Purpose = "configuration"
	ForPublication   Purpose = "publication"
	ForMembership    Purpose = "membership"
	ForClaims        Purpose = "claims"
	ForPower         Purpose = "power"
)

// Method names an operation, in the accounts and in errors.
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

const (
	maxAttempts     = 4
	breakerFailures = 5                      // in a row, until calls stop
	breakerPause    = 750 * time.Millisecond // at least, until one call probes
	breakerJitter   = 500 * time.Millisecond // added, drawn once for each VM

	logPrefix = "store: "
)

// Options set up a client.
type Options struct {
	// StoreReadsPerSecond and StoreWritesPerSecond are the store's own limits,
	// over all its callers.
	StoreReadsPerSecond  float64
	StoreWritesPerSecond float64
	// Fleet is the number of VMs that call the store.
	Fleet int
	// Seed drives the jitter; each VM has its own.
	Seed uint64
}

// Account counts the calls for one purpose and method.
type Account struct {
	Purpose  Purpose
	Method   Method
	Sent     uint64 // calls that left the process, retries included
	Retried  uint64 // of these, how many were retries
	Failed   uint64 // of these, how many got no answer or an error
	Withheld uint64 // calls that the rate limit or the breaker kept back
}

type accountKey struct {
	purpose Purpose
	method  Method
}

// Client calls the store. It is safe for use by many goroutines.
type Client struct {
	platform Platform
	options  Options
	budget   *budget
	breaker  *gobreaker.TwoStepCircuitBreaker[struct{}]
	reads    *rate.Limiter
	writes   *rate.Limiter

	mu       sync.Mutex
	accounts map[accountKey]*Account
}

// New returns a client of the given service.
func New(platform Platform, options Options) *Client {
	c := &Client{
		platform: platform,
		options:  options,
		budget:   newBudget(options.Seed),
		reads:    rate.NewLimiter(0, limiterBurst),
		writes:   rate.NewLimiter(0, limiterBurst),
		accounts: make(map[accountKey]*Account),
	}
	c.breaker = gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        "store",
		MaxRequests: 1,
		// Each VM draws its own pause: after an outage VMs that stopped
		// together would otherwise probe together.
		Timeout:       breakerPause + c.budget.jitter(breakerJitter),
		ReadyToTrip:   func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
		OnStateChange: logStateChange,
		IsSuccessful:  func(err error) bool { return err == nil || effectOf(err) != maybeEffect },
		IsExcluded:    func(err error) bool { return errors.Is(err, context.Canceled) },
	})
	c.SetFleet(options.Fleet)
	return c
}

func logStateChange(_ string, from, to gobreaker.State) {
	klog.Infof(logPrefix+"circuit breaker %s, was %s", to, from)
}

// SetFleet tells the client how many VMs call the store. Count suspects too: a
// VM that is cut off from its peers may still reach the store.
func (c *Client) SetFleet(vms int) {
	vms = max(vms, 1)
	c.reads.SetLimit(share(c.options.StoreReadsPerSecond, vms))
	c.writes.SetLimit(share(c.options.StoreWritesPerSecond, vms))
}

// Up reports whether the last calls were answered.
func (c *Client) Up() bool { return c.breaker.State() == gobreaker.StateClosed }

// Accounts returns the counts of calls so far, in no particular order.
func (c *Client) Accounts() []Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Account, 0, len(c.accounts))
	for _, a := range c.accounts {
		all = append(all, *a)
	}
	return all
}

func (c *Client) count(purpose Purpose, method Method, change func(*Account)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := accountKey{purpose, method}
	account := c.accounts[key]
	if account == nil {
		account = &Account{Purpose: purpose, Method: method}
		c.accounts[key] = account
	}
	change(account)
}

// Get reads a key. An answer older than the floor, the version that the caller
// has already seen, is asked for again.
func (c *Client) Get(ctx context.Context, purpose Purpose, key string, floor uint64) (*pumiceyardv1.GetResponse, error) {
	return retried(ctx, c, purpose, MethodGet, func() (*pumiceyardv1.GetResponse, error) {
		answer, err := c.platform.Get(ctx, &pumiceyardv1.GetRequest{Key: key})
		if err == nil && answer.Version < floor {
			return nil, &staleReadError{version: answer.Version, floor: floor}
		}
		return answer, err
	})
}

// Watch waits for a key to pass a version. It is not retried: its caller
// watches in a loop anyhow.
func (c *Client) Watch(ctx context.Context, purpose Purpose, key string, after uint64, wait time.Duration) (*pumiceyardv1.WatchResponse, error) {
	if !c.Up() {
		// A waiting watch would hold the one call with which the breaker
		// probes, and keep everything else back meanwhile.
		if _, err := c.Get(ctx, purpose, key, 0); err != nil {
			return nil, err
		}
	}
	msg := &pumiceyardv1.WatchRequest{Key: key, AfterVersion: after, WaitMillis: uint32(wait.Milliseconds())}
	answer, err := limited(ctx, c, purpose, MethodWatch, func() (*pumiceyardv1.WatchResponse, error) {
		return c.platform.Watch(ctx, msg)
	})
	if err != nil {
		return nil, final(purpose, MethodWatch, 1, err)
	}
	return answer, nil
}

// GrantLease asks for a lease. A lease whose answer was lost lapses by itself.
func (c *Client) GrantLease(ctx context.Context, purpose Purpose, ttl time.Duration) (uint64, error) {
	msg := &pumiceyardv1.GrantLeaseRequest{TtlMillis: uint32(ttl.Milliseconds())}
	answer, err := retried(ctx, c, purpose, MethodGrantLease, func() (*pumiceyardv1.GrantLeaseResponse, error) {
		return c.platform.GrantLease(ctx, msg)
	})
	return answer.GetLease(), err
}

// KeepAlive extends a lease and reports whether it was still alive.
func (c *Client) KeepAlive(ctx context.Context, purpose Purpose, lease uint64) (bool, error) {
	answer, err := retried(ctx, c, purpose, MethodKeepAlive, func() (*pumiceyardv1.KeepAliveResponse, error) {
		return c.platform.KeepAlive(ctx, &pumiceyardv1.KeepAliveRequest{Lease: lease})
	})
	return answer.GetAlive(), err
}

// ListVMs reads the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context, purpose Purpose) (*pumiceyardv1.ListVMsResponse, error) {
	return retried(ctx, c, purpose, MethodListVMs, func() (*pumiceyardv1.ListVMsResponse, error) {
		return c.platform.ListVMs(ctx)
	})
}

// retried calls until there is an answer, the retries are used up, or the
// breaker is open. It must only be given calls that are safe to repeat.
func retried[T any](ctx context.Context, c *Client, purpose Purpose, method Method, op func() (*T, error)) (*T, error) {
	for attempt := 1; ; attempt++ {
		answer, err := once(ctx, c, purpose, method, op)
		if err == nil {
			return answer, nil
		}
		if refusedLocally(err) || effectOf(err) == rejected || !c.retry(ctx, purpose, method, attempt) {
			return nil, final(purpose, method, attempt, err)
		}
	}
}

// retry waits for the next attempt and reports whether to make it.
func (c *Client) retry(ctx context.Context, purpose Purpose, method Method, attempt int) bool {
	if attempt >= maxAttempts || !c.budget.spend() {
		return false
	}
	timer := time.NewTimer(c.budget.backoff(attempt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	c.count(purpose, method, func(a *Account) { a.Retried++ })
	return true
}

func final(purpose Purpose, method Method, attempts int, err error) error {
	if effectOf(err) == rejected {
		return &RejectedError{Purpose: purpose, Method: method, Cause: err}
	}
	return &UnavailableError{Purpose: purpose, Method: method, Attempts: attempts, Cause: err}
}

// once makes one call, if the rate limit and the breaker let it.
func once[T any](ctx context.Context, c *Client, purpose Purpose, method Method, op func() (*T, error)) (*T, error) {
	return limited(ctx, c, purpose, method, func() (*T, error) {
		done, err := c.breaker.Allow()
		if err != nil {
			return nil, err
		}
		answer, err := op()
		done(err)
		return answer, err
	})
}

// limited makes one call within the rate limit and enters it in the accounts.
func limited[T any](ctx context.Context, c *Client, purpose Purpose, method Method, op func() (*T, error)) (*T, error) {
	c.budget.earn()
	if err := c.limiter(method).Wait(ctx); err != nil {
		c.count(purpose, method, func(a *Account) { a.Withheld++ })
		return nil, &limitError{cause: err}
	}
	answer, err := op()
	c.count(purpose, method, func(a *Account) {
		switch {
		case err != nil && refusedLocally(err):
			a.Withheld++
		case err != nil:
			a.Sent++
			a.Failed++
		default:
			a.Sent++
		}
	})
	return answer, err
}

func (c *Client) limiter(method Method) *rate.Limiter {
	switch method {
	case MethodCompareAndSet, MethodGrantLease, MethodKeepAlive:
		return c.writes
	}
	return c.reads
}
