// Package serve runs an entry VM's HTTP servers until the process is stopped, and shuts
// down gracefully: requests in flight are completed.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// StopTimes are the time limits of a graceful stop.
type StopTimes struct {
	Timeout         time.Duration // of the whole stop
	HandoverTimeout time.Duration // of handing over the shards
	AcceptFor       time.Duration // from the start of the stop, how long new requests are accepted while callers move to other VMs
}

// VM is what a stop asks of an entry VM.
type VM interface {
	Drain(ctx context.Context)     // hands over its shards, until ctx ends
	FinishBy(within time.Duration) // answers all callers within a time
	Stop()
}

// Entry is an entry VM with its HTTP servers.
type Entry struct {
	VM           VM
	CallerServer *http.Server
	OtherServers []*http.Server // for readiness and metrics, if they have listeners of their own
}

// ServeInBackground serves on a listener in a new goroutine until the server is shut down.
func ServeInBackground(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "kept: HTTP server failed", "address", l.Addr().String())
		}
	}()
}

// answerMargin is how long before the timeout of a stop all callers are to be answered, so that their answers are sent.
const answerMargin = 250 * time.Millisecond

// Stop hands over the shards, goes on accepting requests until AcceptFor has passed, completes those in flight
// and stops the VM. Requests that are not completed shortly before the timeout are answered then. It returns an error if
// requests were still in flight at the timeout.
func (e *Entry) Stop(ctx context.Context, t StopTimes) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	began := time.Now()
	e.VM.FinishBy(max(t.Timeout-answerMargin, 0))
	handover, done := context.WithTimeout(ctx, t.HandoverTimeout)
	e.VM.Drain(handover)
	done()
	select {
	case <-ctx.Done():
	case <-time.After(t.AcceptFor - time.Since(began)):
	}
	err := e.CallerServer.Shutdown(ctx)
	for _, s := range e.OtherServers {
		_ = s.Close()
	}
	e.VM.Stop()
	return err
}

// StopFunc stops what was started.
type StopFunc func(context.Context) error

// RunUntilSignal calls start, and stops what it started on SIGTERM, SIGINT or the end of ctx. It calls reload
// on SIGHUP. Signals are caught before the start, as one that arrives during it would otherwise kill
// the process at once.
func RunUntilSignal(ctx context.Context, start func() (StopFunc, error), reload func()) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	stop, err := start()
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return stop(context.WithoutCancel(ctx))
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				klog.InfoS("kept: stopping", "signal", sig.String())
				return stop(context.WithoutCancel(ctx))
			}
			reload()
		}
	}
}
