package vm

import (
	"strconv"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
)

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

// Symptom: a VM decides by an old configuration. Sequence: changes come in a storm, while
// the store turns one VM away and is silent for another.
func TestConfigurationIsInForceEverywhereWithinTwoSeconds(t *testing.T) {
	testWorld(t, func(w *world) {
		w.putCatalog(5)
		time.Sleep(100 * ms)
		w.wantVersion(5, "after a change")
		w.storeDoors["a2"].Set(kvstore.Refuses)
		w.storeDoors["b1"].Set(kvstore.Silent)
		for version := 10; version <= 40; version += 3 {
			w.putCatalog(version)
			time.Sleep(100 * ms)
		}
		time.Sleep(1900 * ms)
		w.wantVersion(40, "after a storm, with two VMs turned away")
	})
}

// Symptom: a configuration is taken back. Sequence: an older one is read after a newer,
// from a copy of the store that is behind; then the VM starts again.
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

// Symptom: a VM keeps an old configuration for ever. Sequence: the store is silent for it,
// a change is made, and its history is dropped before the VM hears again: the watch that
// goes on from the old revision has nothing to go on from.
func TestConfigurationArrivesThoughItsHistoryWasDropped(t *testing.T) {
	testWorld(t, func(w *world) {
		for _, d := range w.storeDoors {
			d.Set(kvstore.Silent)
		}
		time.Sleep(2 * time.Second)
		w.putCatalog(7)
		w.store.Compact()
		time.Sleep(2 * time.Second)
		for _, d := range w.storeDoors {
			d.Set(kvstore.Serves)
		}
		time.Sleep(2 * time.Second)
		w.wantVersion(7, "two seconds after the store's return")
	})
}
