// Package kvcall implements store.Store as JSON calls over any relay.Transport. It is the
// project's own store protocol, which the stand-in for the platform's store serves.
//
// Each call is a POST to a path with a JSON body. The answers are:
//
//   - 200 with a JSON body: the call was carried out
//   - 409 with the items of the conditions: a transaction's conditions do not hold
//   - 410: the history that a watch asked for is no longer available
//   - 404: the lease has ended
//   - 503 or 429: the call was refused and not carried out
package kvcall

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/relay"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Paths of the calls.
const (
	pathGet    = "/store/get"
	pathRange  = "/store/range"
	pathWatch  = "/store/watch"
	pathCommit = "/store/commit"
	pathGrant  = "/store/grant"
	pathKeep   = "/store/keep"
	pathRevoke = "/store/revoke"
)

type rangeArgs struct {
	Prefix, After string
	Stale         bool
}

type watchArgs struct {
	Prefix string
	After  uint64
	Wait   time.Duration // nanoseconds
}

type conflictBody struct{ Items []store.Item }

type revisionBody struct{ Revision uint64 }

type leaseBody struct {
	Lease uint64
	TTL   time.Duration // nanoseconds
}

// Client is a store that is called through a transport.
type Client struct{ Calls relay.Transport }

var _ store.Store = (*Client)(nil)

// StatusError is an answer with a status that the protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered with unexpected status %d", e.Status)
}

func (c *Client) call(ctx context.Context, path string, wait time.Duration, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := c.Calls.Do(ctx, relay.Call{Method: http.MethodPost, Target: path, Body: body, Wait: wait})
	if err != nil {
		return err
	}
	switch r.Status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return json.Unmarshal(r.Body, out)
	case http.StatusConflict:
		var b conflictBody
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return err
		}
		return &store.ConflictError{Items: b.Items}
	case http.StatusGone:
		return store.ErrCompacted
	case http.StatusNotFound:
		return store.ErrNoLease
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &store.RefusedError{Reason: http.StatusText(r.Status)}
	default:
		return &StatusError{Status: r.Status}
	}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Item, error) {
	var it store.Item
	err := c.call(ctx, pathGet, 0, key, &it)
	return it, err
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	var p store.Page
	err := c.call(ctx, pathRange, 0, rangeArgs{prefix, after, stale}, &p)
	return p, err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error) {
	var ch store.Changes
	err := c.call(ctx, pathWatch, wait, watchArgs{prefix, after, wait}, &ch)
	return ch, err
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	var b revisionBody
	err := c.call(ctx, pathCommit, 0, t, &b)
	return b.Revision, err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var b leaseBody
	err := c.call(ctx, pathGrant, 0, leaseBody{TTL: ttl}, &b)
	return b.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease uint64) error {
	return c.call(ctx, pathKeep, 0, leaseBody{Lease: lease}, nil)
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.call(ctx, pathRevoke, 0, leaseBody{Lease: lease}, nil)
}

var errUnknownCall = errors.New("kvcall: unknown path")

// Answer carries out a call on a store, for a server.
func Answer(ctx context.Context, s store.Store, c relay.Call) relay.Reply {
	out, err := dispatch(ctx, s, c)
	var conflict *store.ConflictError
	var refused *store.RefusedError
	switch {
	case err == nil:
		return reply(http.StatusOK, out)
	case errors.As(err, &conflict):
		return reply(http.StatusConflict, conflictBody{Items: conflict.Items})
	case errors.Is(err, store.ErrCompacted):
		return relay.Reply{Status: http.StatusGone}
	case errors.Is(err, store.ErrNoLease):
		return relay.Reply{Status: http.StatusNotFound}
	case errors.As(err, &refused):
		return relay.Reply{Status: http.StatusServiceUnavailable}
	default:
		return relay.Reply{Status: http.StatusBadRequest}
	}
}

func reply(status int, v any) relay.Reply {
	body, err := json.Marshal(v)
	if err != nil {
		return relay.Reply{Status: http.StatusInternalServerError}
	}
	return relay.Reply{Status: status, Body: body}
}

func dispatch(ctx context.Context, s store.Store, c relay.Call) (any, error) {
	switch c.Target {
	case pathGet:
		return decode(c, func(key string) (any, error) { return s.Get(ctx, key) })
	case pathRange:
		return decode(c, func(a rangeArgs) (any, error) { return s.Range(ctx, a.Prefix, a.After, a.Stale) })
	case pathWatch:
		return decode(c, func(a watchArgs) (any, error) { return s.Watch(ctx, a.Prefix, a.After, a.Wait) })
	case pathCommit:
		return decode(c, func(t store.Txn) (any, error) {
			rev, err := s.Commit(ctx, t)
			return revisionBody{rev}, err
		})
	case pathGrant:
		return decode(c, func(b leaseBody) (any, error) {
			lease, err := s.Grant(ctx, b.TTL)
			return leaseBody{Lease: lease, TTL: b.TTL}, err
		})
	case pathKeep:
		return decode(c, func(b leaseBody) (any, error) { return b, s.KeepAlive(ctx, b.Lease) })
	case pathRevoke:
		return decode(c, func(b leaseBody) (any, error) { return b, s.Revoke(ctx, b.Lease) })
	default:
		return nil, errUnknownCall
	}
}

func decode[A any](c relay.Call, do func(A) (any, error)) (any, error) {
	var a A
	if err := json.Unmarshal(c.Body, &a); err != nil {
		return nil, err
	}
	return do(a)
}
