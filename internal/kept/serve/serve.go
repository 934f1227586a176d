// Package serve runs an entry VM's listeners for the life of a process, and stops it
// without cutting off a request.
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

	"github.com/pumiceyard/pumiceyard/internal/kept/vm"
)

// Times of a stop.
type StopTimes struct {
	Timeout         time.Duration // for all of it
	HandoverTimeout time.Duration // for the shards to be handed over
	AcceptFor       time.Duration // requests are still taken so long, until callers go elsewhere
}

// Entry is an entry VM with its listeners.
type Entry struct {
	VM           *vm.VM
	CallerServer *http.Server
	OtherServers []*http.Server // readiness and metrics, if they have listeners of their own
}

// Listen serves until the server is shut down.
func ServeInBackground(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "kept: a listener ended", "address", l.Addr().String())
		}
	}()
}

// Stop hands the shards over, takes submissions for some time more, answers those under
// way and ends. It returns an error if requests were still under way when the time was over.
func (e *Entry) Stop(ctx context.Context, t StopTimes) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	began := time.Now()
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

// StopFunc ends what was started.
type StopFunc func(context.Context) error

// RunUntilSignal starts something and stops it at SIGTERM, SIGINT or the end of ctx. SIGHUP
// has reload called. Signals are caught before the start: one that came during it would
// end the process at once.
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
