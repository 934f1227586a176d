package storeclient

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"github.com/sony/gobreaker/v2"
)

// UnavailableError says that the store could not be asked. A write that ends
// with it has not taken effect and will not.
type UnavailableError struct {
	Purpose  Purpose
	Method   Method
	Attempts int
	Cause    error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable: %s for %s, %d attempts: %v", e.Method, e.Purpose, e.Attempts, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError says that the store is well and refused the request. Asking
// again would not help.
type RejectedError struct {
	Purpose Purpose
	Method  Method
	Cause   error
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("store refused %s for %s: %v", e.Method, e.Purpose, e.Cause)
}

func (e *RejectedError) Unwrap() error { return e.Cause }

// UnresolvedError says that a write was sent, its answer was lost and reading
// back has not settled whether it took effect. It may still take effect.
type UnresolvedError struct {
	Purpose Purpose
	Key     string
	Cause   error
}

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("store write of %s for %s: answer lost, not settled: %v", e.Key, e.Purpose, e.Cause)
}

func (e *UnresolvedError) Unwrap() error { return e.Cause }

// staleReadError is an answer older than what this process has already seen.
type staleReadError struct {
	version, floor uint64
}

func (e *staleReadError) Error() string {
	return fmt.Sprintf("stale read: version %d, already at %d", e.version, e.floor)
}

// effect is what a failed call may have done to the store.
type effect int

const (
	noEffect    effect = iota // not sent, or refused unseen: safe to repeat
	maybeEffect               // sent, and no answer came
	rejected                  // answered with a refusal
)

// effectOf classifies a failed call.
func effectOf(err error) effect {
	var stale *staleReadError
	if errors.As(err, &stale) || refusedLocally(err) {
		return noEffect
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		return noEffect
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeNotFound,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return rejected
	}
	return maybeEffect
}

// limitError says that the rate limit left no room before the caller's
// deadline.
type limitError struct{ cause error }

func (e *limitError) Error() string { return "rate limit: " + e.cause.Error() }

func (e *limitError) Unwrap() error { return e.cause }

// refusedLocally says whether the call never left this process.
func refusedLocally(err error) bool {
	var limited *limitError
	return errors.As(err, &limited) ||
		errors.Is(err, gobreaker.ErrOpenState) ||
		errors.Is(err, gobreaker.ErrTooManyRequests)
}
