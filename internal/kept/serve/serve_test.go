package serve

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that ends without a handover because the signal to stop arrives while it starts.
func TestSignalDuringTheStartStopsGracefully(t *testing.T) {
	reloaded := make(chan struct{}, 1)
	stopped := errors.New("stopped in order")
	start := func() (StopFunc, error) {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
				t.Fatal(err)
			}
		}
		return func(context.Context) error { return stopped }, nil
	}
	if err := RunUntilSignal(context.Background(), start, func() { reloaded <- struct{}{} }); !errors.Is(err, stopped) {
		t.Errorf("it returned %v", err)
	}
}

// The end of the context stops like a signal does; stop gets a context that has not ended.
func TestEndOfTheContextStops(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	start := func() (StopFunc, error) {
		return func(ctx context.Context) error { return ctx.Err() }, nil
	}
	if err := RunUntilSignal(ctx, start, func() {}); err != nil {
		t.Errorf("it stopped with a context that has ended: %v", err)
	}
	failed := errors.New("no start")
	if err := RunUntilSignal(context.Background(), func() (StopFunc, error) { return nil, failed }, nil); !errors.Is(err, failed) {
		t.Errorf("it returned %v", err)
	}
}
