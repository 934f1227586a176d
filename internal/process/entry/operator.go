package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// operatorHandler serves operators.
func (vm *VM) operatorHandler() http.Handler {
	publisher := publication.New(vm.store.Configuration(), time.Now)
	return operator.NewServer(vm, publisher, vm.metrics.Handler()).Handler()
}

// Status implements operator.VM.
func (vm *VM) Status() operator.Status {
	advert := vm.holder.Advert()
	s := operator.Status{
		Name:        vm.settings.Name,
		Domain:      vm.settings.Domain,
		Incarnation: vm.incarnation,
		Ready:       vm.Ready(),
		Draining:    vm.draining.Load(),
		StoreUp:     vm.store.Up(),
		ListVersion: vm.fleet.Latest().Version,
		FreeSlots:   advert.FreeSlots,
		Slots:       advert.Slots,
		QueuedTasks: advert.QueuedTasks,
	}
	if d := vm.Document(); d != nil {
		s.Revision = d.Revision
	}
	view := vm.control.View()
	s.Isolated = view.Isolated
	s.MayAct = vm.control.MayAct(time.Now())
	for _, d := range view.Suspects {
		s.InDoubt = append(s.InDoubt, operator.Doubt{Name: d.VM.ID, Domain: d.VM.Domain, Reason: string(d.Reason), Live: d.Live})
	}
	for _, w := range advert.Workers {
		s.Workers = append(s.Workers, w.Id)
	}
	for name := range vm.peers.addresses() {
		s.Peers = append(s.Peers, name)
	}
	slices.Sort(s.Workers)
	slices.Sort(s.Peers)
	return s
}

// Fleet implements operator.VM.
func (vm *VM) Fleet() operator.Fleet {
	snapshot := vm.fleet.Latest()
	answering := vm.peers.addresses()
	f := operator.Fleet{Version: snapshot.Version, Workers: len(snapshot.Workers)}
	for name, e := range snapshot.Entries {
		_, answers := answering[name]
		f.Entries = append(f.Entries, operator.EntryVM{
			Name:    name,
			Domain:  e.Domain,
			Address: e.Address,
			Leaving: e.Leaving,
			Answers: answers || name == vm.settings.Name,
		})
	}
	slices.SortFunc(f.Entries, func(a, b operator.EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return f
}

// ParseTicket implements operator.VM.
func (vm *VM) ParseTicket(token string) (ticket.Ticket, *ticket.Error) {
	return ticket.Parse([]byte(vm.settings.TicketKey), token)
}
