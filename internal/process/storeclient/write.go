package storeclient

import (
	"context"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// Write is one compare-and-set.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64 // the key's version; 0 when the key must not exist
	Lease    uint64 // 0 when the value outlives its writer
	// Mine reports whether a value that was read back shows that this write
	// took effect, such as by its change id. It must also recognise its write
	// in a value that was built upon it.
	Mine func(value []byte) bool
}

// Result is how a compare-and-set ended.
type Result struct {
	// Swapped says that the write took effect.
	Swapped bool
	// ReadBack says that an answer was lost and reading back settled it.
	ReadBack bool
	// Version and Value are what the key held afterwards, as far as known:
	// after a conflict, the other's value.
	Version uint64
	Value   []byte
}

// CompareAndSet writes once.
//
// What goes wrong: an answer is lost after the write took effect. A blind
// repeat then sees a conflict with its own write and reports a failure that did
// not happen. Instead the key is read back and Mine decides. When the key is
// unchanged, repeating is safe even if the first request is only late: both
// expect the same version, versions are never reused, and so one of them at
// most takes effect.
//
// The error is an *UnavailableError or *RejectedError when the write did not
// take effect, and an *UnresolvedError when that is not known.
func (c *Client) CompareAndSet(ctx context.Context, purpose Purpose, w Write) (Result, error) {
	msg := &pumiceyardv1.CompareAndSetRequest{
		Key: w.Key, Value: w.Value, ExpectedVersion: w.Expected, Lease: w.Lease,
	}
	lost := false
	for attempt := 1; ; attempt++ {
		answer, err := once(ctx, c, purpose, MethodCompareAndSet, func() (*pumiceyardv1.CompareAndSetResponse, error) {
			return c.platform.CompareAndSet(ctx, msg)
		})
		switch {
		case err == nil && answer.Swapped:
			return Result{Swapped: true, ReadBack: lost, Version: answer.Version, Value: w.Value}, nil
		case err == nil:
			return c.settle(ctx, purpose, w, answer.Version, lost)
		case effectOf(err) == maybeEffect:
			lost = true
		}
		final := final(purpose, MethodCompareAndSet, attempt, err)
		if !lost && (refusedLocally(err) || effectOf(err) == rejected) {
			return Result{}, final
		}
		if !c.retry(ctx, purpose, MethodCompareAndSet, attempt) {
			return Result{}, unlessLost(lost, purpose, w.Key, final)
		}
		if !lost {
			continue
		}
		result, err := c.settle(ctx, purpose, w, w.Expected, true)
		if err != nil || result.Swapped || result.Version != w.Expected {
			return result, err
		}
	}
}

// settle reads the key at or after a version and finds out whose value it is.
func (c *Client) settle(ctx context.Context, purpose Purpose, w Write, floor uint64, lost bool) (Result, error) {
	found, err := c.Get(ctx, purpose, w.Key, floor)
	if err != nil {
		return Result{}, unlessLost(lost, purpose, w.Key, err)
	}
	return Result{
		Swapped:  lost && found.Found && w.Mine(found.Value),
		ReadBack: lost,
		Version:  found.Version,
		Value:    found.Value,
	}, nil
}

// unlessLost turns an error into an unresolved one if an answer was lost.
func unlessLost(lost bool, purpose Purpose, key string, err error) error {
	if !lost {
		return err
	}
	return &UnresolvedError{Purpose: purpose, Key: key, Cause: err}
}
