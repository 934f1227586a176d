package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// drainPoll is how often a planned stop checks whether all work has ended.
const drainPoll = 20 * time.Millisecond

// Kill stops the VM like a crash: it closes the sockets without notifying anyone.
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

// Stop shuts the VM down gracefully. First the VM reports itself unready and goes
// on serving until the load balancer has noticed. Then it admits no new work:
// tasks that have not started return to their home VMs, running tasks complete,
// every caller gets its answer, and worker leases are released as the workers
// become idle. Stop ends after Settings.ShutdownMillis at the latest and reports
// whether all work was finished by then.
func (vm *VM) Stop(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, millis(vm.settings.ShutdownMillis))
	defer cancel()
	klog.InfoS(logPrefix+"stopping", "name", vm.settings.Name)
	vm.leaving.Store(true)
	vm.router.StopTickets()
	// Without this wait, the load balancer would send callers here until its next
	// readiness check, and each would be refused as draining.
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

// waitIdle waits until no submission is open on this VM, no task runs, and every
// forwarded answer has been sent.
func (vm *VM) waitIdle(ctx context.Context) bool {
	for vm.home.Busy() || vm.holder.Busy() || vm.peerSide.InFlightSubmits() > 0 {
		if !pause.For(ctx, drainPoll) {
			return false
		}
	}
	return true
}
