package vm

import (
	"strconv"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
)

// putCatalog writes a version of the configuration to the store.
func (w *world) putCatalog(version int) {
	w.store.Put("config/catalog", []byte(strconv.Itoa(version)))
}

// wantVersion checks the configuration in force at each VM.
func (w *world) wantVersion(version uint64, when string) {
	w.t.Helper()
	for name, v := range w.vms {
		if got := v.Catalog().Version; got != version {
			w.t.Errorf("%s: version %d is in force at %s, want %d", when, got, name, version)
		}
	}
}

// Guards against a VM that uses an old configuration: it changes many times in a short time, while
// the store refuses the calls of one VM and does not answer another.
func TestConfigurationIsInForceEverywhereWithinTwoSeconds(t *testing.T) {
	testWorld(t, func(w *world) {
		w.putCatalog(5)
		time.Sleep(100 * ms)
		w.wantVersion(5, "after a change")
		w.storeTransports["a2"].SetFault(kvstore.Unavailable)
		w.storeTransports["b1"].SetFault(kvstore.NoReply)
		for version := 10; version <= 40; version += 3 {
			w.putCatalog(version)
			time.Sleep(100 * ms)
		}
		time.Sleep(1900 * ms)
		w.wantVersion(40, "after many changes, with two VMs that the store does not serve")
	})
}

// Guards against a return to an older configuration: a VM reads an older version after a newer one,
// from a replica of the store that lags behind. After a restart the VM uses the newest version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	testWorld(t, func(w *world) {
		w.putCatalog(9)
		time.Sleep(100 * ms)
		w.putCatalog(3)
		time.Sleep(time.Second)
		w.wantVersion(9, "after an older one was read")
		w.putCatalog(12)
		time.Sleep(100 * ms)
		w.kill("a1")
		w.boot("a1")
		time.Sleep(time.Second)
		w.wantVersion(12, "after a restart")
	})
}

// Guards against a VM that keeps an old configuration for ever: while the store does not answer, the
// configuration changes and the store compacts its history, so the VM's watch cannot be continued
// from its old revision.
func TestConfigurationArrivesThoughItsHistoryWasDropped(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoReply)
		}
		time.Sleep(2 * time.Second)
		w.putCatalog(7)
		w.store.Compact()
		time.Sleep(2 * time.Second)
		for _, d := range w.storeTransports {
			d.SetFault(kvstore.NoFault)
		}
		time.Sleep(2 * time.Second)
		w.wantVersion(7, "two seconds after the end of the outage")
	})
}
