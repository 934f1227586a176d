package entry

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// operatorHandler serves operators: health, readiness, metrics, status.
func (vm *VM) operatorHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !vm.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	m.Handle("/metrics", vm.metrics.Handler())
	m.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(vm.Status())
	})
	return m
}

// Status is what an operator sees of one entry VM.
type Status struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	Ready       bool     `json:"ready"`
	Draining    bool     `json:"draining"`
	Revision    uint64   `json:"revision"`
	ListVersion uint64   `json:"list_version"`
	Workers     []string `json:"workers"`
	FreeSlots   uint32   `json:"free_slots"`
	Slots       uint32   `json:"slots"`
	QueuedTasks uint32   `json:"queued_tasks"`
	Peers       []string `json:"peers"`
}

// Status returns what an operator sees now.
func (vm *VM) Status() Status {
	advert := vm.holder.Advert()
	s := Status{
		Name:        vm.settings.Name,
		Domain:      vm.settings.Domain,
		Incarnation: vm.incarnation,
		Ready:       vm.Ready(),
		Draining:    vm.draining.Load(),
		ListVersion: vm.fleet.Latest().Version,
		FreeSlots:   advert.FreeSlots,
		Slots:       advert.Slots,
		QueuedTasks: advert.QueuedTasks,
	}
	if d := vm.Document(); d != nil {
		s.Revision = d.Revision
	}
	for _, w := range advert.Workers {
		s.Workers = append(s.Workers, w.Id)
	}
	for name := range vm.peers.addresses() {
		s.Peers = append(s.Peers, name)
	}
	return s
}
