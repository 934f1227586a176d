package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// drainPoll is how often a planned stop looks whether everything has ended.
const drainPoll = 20 * time.Millisecond

// Kill ends the VM as a crash does: nothing is told to anyone, sockets close.
func (vm *VM) Kill() {
	vm.cancel()
	for _, s := range vm.servers {
		_ = s.Close()
	}
	vm.exchange.Stop()
	vm.peers.stop()
	vm.workers.stop()
	vm.duties.Wait()
	vm.platHTTP.CloseIdleConnections()
	vm.metrics.Close()
}

// Stop is the planned stop. First the VM turns unready, and goes on as before
// until the balancer has noticed. Then it takes nothing new: tasks that have not
// started go back to their homes, running ones end, every caller gets its
// answer, and leases are given back as their workers turn idle. It ends at the
// bound from the settings at the latest and reports whether everything was
// finished by then.
func (vm *VM) Stop(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, millis(vm.settings.ShutdownMillis))
	defer cancel()
	klog.InfoS(logPrefix+"stopping", "name", vm.settings.Name)
	vm.leaving.Store(true)
	vm.router.StopTickets()
	// Without this wait the balancer would send callers here until its next
	// look at readiness, and each would be refused as draining.
	pause.For(ctx, millis(vm.settings.UnreadyMillis))
	vm.draining.Store(true)
	vm.control.Leave()
	vm.router.Drain()
	vm.holder.Drain()
	vm.workers.reconcile()
	finished := vm.waitIdle(ctx)
	vm.workers.release()
	if err := vm.servers[0].Shutdown(ctx); err != nil {
		finished = false
	}
	vm.Kill()
	klog.InfoS(logPrefix+"stopped", "name", vm.settings.Name, "finished", finished)
	return finished
}

// waitIdle waits until no submission is open here, no task runs, and every
// forwarded answer was sent.
func (vm *VM) waitIdle(ctx context.Context) bool {
	for vm.home.Busy() || vm.holder.Busy() || vm.peerSide.InFlightSubmits() > 0 {
		if !pause.For(ctx, drainPoll) {
			return false
		}
	}
	return true
}
