// Package claims binds callers' idempotency keys to tickets in the platform's
// store. The first request with a key writes its ticket by compare-and-set; every
// later request with the same key receives that ticket.
//
// Each claim costs a store write. Claims are therefore rate-limited, and callers
// normally use tickets instead. docs/design/claims.md discusses the trade-off.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Settings limit the load that claims put on the store.
type Settings struct {
	// PerSecond and Burst limit the rate of claims by this entry VM.
	PerSecond float64
	Burst     int
	// Life is the minimum time for which a key stays bound to its ticket.
	Life time.Duration
	// LeaseWindow is how long one lease is used for new claims. The store
	// deletes all claims of a lease when it expires, so claims need no deletions
	// and each window costs one lease grant.
	LeaseWindow time.Duration
	// Timeout limits the time of one claim.
	Timeout time.Duration
}

// Defaults returns settings with which eight entry VMs use a tenth of the store's
// write capacity.
func Defaults() Settings {
	return Settings{
		PerSecond:   4,
		Burst:       16,
		Life:        2 * time.Hour,
		LeaseWindow: time.Minute,
		Timeout:     2 * time.Second,
	}
}

// Store is the part of the store client that claims use.
type Store interface {
	GrantLease(ctx context.Context, purpose storeclient.Purpose, ttl time.Duration) (uint64, error)
	CompareAndSet(ctx context.Context, purpose storeclient.Purpose, w storeclient.Write) (storeclient.Result, error)
}

// Refusal says why no claim was made. The request has not run anything.
type Refusal struct {
	Code       reason.Code
	Detail     string
	RetryAfter time.Duration
}

// Claims binds idempotency keys to tickets. It is safe for concurrent use.
type Claims struct {
	settings Settings
	store    Store
	limiter  *rate.Limiter

	// granting is a lock (one element: locked) on the lease and its renewal; the
	// wait for it can be cancelled.
	granting chan struct{}
	lease    uint64
	renewAt  time.Time
}

// New returns Claims that hold no lease yet.
func New(s Settings, store Store) *Claims {
	return &Claims{
		settings: s,
		store:    store,
		limiter:  rate.NewLimiter(rate.Limit(s.PerSecond), s.Burst),
		granting: make(chan struct{}, 1),
	}
}

// claim is the stored form of a claim.
type claim struct {
	Ticket string `json:"ticket"`
}

const (
	keyPrefix  = "pumiceyard/claims/"
	retryLimit = time.Second
	retryStore = 2 * time.Second
)

// storeKey returns the store key for the claim of an account's idempotency key.
// It is a hash, because the caller's key may reveal something about the work.
func storeKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

// Claim binds an account's idempotency key to a ticket unless it is already
// bound. It returns the ticket that the key is bound to.
func (c *Claims) Claim(ctx context.Context, account, key, token string) (string, *Refusal) {
	if !c.limiter.Allow() {
		return "", &Refusal{reason.ClaimRateExceeded, "too many requests with an Idempotency-Key; tickets have no such limit", retryLimit}
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	lease, err := c.currentLease(ctx)
	if err != nil {
		return "", storeDown(err)
	}
	bound, err := c.bind(ctx, lease, storeKey(account, key), token)
	if err != nil {
		c.dropLease(ctx, lease, err)
		return "", storeDown(err)
	}
	return bound, nil
}

func storeDown(err error) *Refusal {
	return &Refusal{reason.ClaimStoreDown, "the key can not be claimed now: " + err.Error() + "; a ticket needs no claim", retryStore}
}

// bind writes the claim, or returns the ticket of the existing one.
func (c *Claims) bind(ctx context.Context, lease uint64, at, token string) (string, error) {
	value, err := json.Marshal(claim{Ticket: token})
	if err != nil {
		return "", err
	}
	result, err := c.store.CompareAndSet(ctx, storeclient.ForClaims, storeclient.Write{
		Key:   at,
		Value: value,
		Lease: lease,
		Mine:  func(found []byte) bool { return string(found) == string(value) },
	})
	if err != nil {
		return "", err
	}
	if result.Swapped {
		return token, nil
	}
	var earlier claim
	if err := json.Unmarshal(result.Value, &earlier); err != nil || earlier.Ticket == "" {
		return "", &damagedError{at}
	}
	return earlier.Ticket, nil
}

// damagedError reports a stored claim that cannot be read or has just expired.
type damagedError struct{ key string }

func (e *damagedError) Error() string { return "the claim at " + e.key + " can not be read" }

// currentLease returns the lease that new claims are written under.
func (c *Claims) currentLease(ctx context.Context) (uint64, error) {
	if err := c.lock(ctx); err != nil {
		return 0, err
	}
	defer c.unlock()
	if c.lease != 0 && time.Now().Before(c.renewAt) {
		return c.lease, nil
	}
	lease, err := c.store.GrantLease(ctx, storeclient.ForClaims, c.settings.Life+c.settings.LeaseWindow)
	if err != nil {
		return 0, err
	}
	c.lease, c.renewAt = lease, time.Now().Add(c.settings.LeaseWindow)
	return lease, nil
}

// dropLease makes the next claim request a new lease if the store rejected this
// one, for example because it no longer knows the lease after a restart.
func (c *Claims) dropLease(ctx context.Context, lease uint64, cause error) {
	var rejected *storeclient.RejectedError
	if !errors.As(cause, &rejected) || c.lock(ctx) != nil {
		return
	}
	defer c.unlock()
	if c.lease == lease {
		c.lease = 0
	}
}

func (c *Claims) lock(ctx context.Context) error {
	select {
	case c.granting <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Claims) unlock() { <-c.granting }
