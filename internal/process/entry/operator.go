package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/operator"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/health"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
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
		// The VM list is read continuously. Without this condition, a partitioned VM
		// would show its store as up until enough of its few store calls have failed.
		StoreUp:     vm.store.Up() && vm.listed.Load(),
		ListVersion: vm.fleet.Latest().Version,
		FreeSlots:   advert.FreeSlots,
		Slots:       advert.Slots,
		QueuedTasks: advert.QueuedTasks,
		Power:       powerStatus(vm.holder.PowerStatus()),
	}
	if d := vm.Document(); d != nil {
		s.Revision = d.Revision
	}
	view := vm.control.View()
	s.Isolated = view.Isolated
	s.MayAct = vm.control.MayAct(time.Now())
	for _, d := range view.Suspects {
		s.Suspected = append(s.Suspected, operator.SuspectedVM{Name: d.VM.ID, Domain: d.VM.Domain, Reason: string(d.Reason), Live: d.Live})
	}
	for _, w := range advert.Workers {
		s.Workers = append(s.Workers, w.Id)
	}
	for name := range vm.peers.addresses() {
		s.Peers = append(s.Peers, name)
	}
	standing := vm.holder.Standing()
	s.WorkerStanding = workerStandings(standing.Workers)
	s.AccountStanding = vm.accountStandings(standing.Accounts)
	s.Unreachable = vm.unreachable()
	slices.Sort(s.Workers)
	slices.Sort(s.Peers)
	return s
}

// powerStatus summarizes the state of a ledger.
func powerStatus(s *power.Status) operator.Power {
	out := operator.Power{
		Revision: s.Revision,
		Complete: s.Complete,
		Part:     int64(s.Part),
		Free:     int64(s.Free),
		Stranded: int64(s.Stranded),
		LastDecision: operator.PowerDecision{
			At:         s.Last.At,
			Reason:     string(s.Last.Reason),
			Concerns:   s.Last.Worker,
			Milliwatts: int64(s.Last.Milliwatts),
		},
	}
	for _, w := range s.Workers {
		out.Allotted += int64(w.Allotted)
		out.Committed += int64(w.Idle + w.Committed)
	}
	return out
}

// unreachable returns the names of the listed entry VMs that do not answer, sorted.
func (vm *VM) unreachable() []operator.Unreachable {
	var out []operator.Unreachable
	for _, e := range vm.Fleet().Entries {
		if !e.IsReachable {
			out = append(out, operator.Unreachable{Name: e.Name, Domain: e.Domain})
		}
	}
	return out
}

func workerStandings(all []health.WorkerStatus) []operator.WorkerStanding {
	out := make([]operator.WorkerStanding, len(all))
	for i, w := range all {
		out[i] = operator.WorkerStanding{
			Worker: w.Worker, Tier: w.Tier.String(), Reason: reason.Code(w.Reason), Running: w.Running,
			Ejections: w.Ejections, EjectedUntil: w.Until, Pace: w.Pace, Score: w.Score,
		}
	}
	return out
}

func (vm *VM) accountStandings(all []fairness.AccountStatus) []operator.AccountStanding {
	quotas := make(map[string]uint32)
	if d := vm.Document(); d != nil {
		for _, a := range d.Accounts {
			quotas[a.Name] = a.QuotaSlots
		}
	}
	out := make([]operator.AccountStanding, len(all))
	for i, a := range all {
		out[i] = operator.AccountStanding{
			Account: a.Name, Slots: a.SlotsInUse, QuotaSlots: quotas[a.Name],
			QueuedTasks: a.QueuedTasks, QueuedJobs: a.QueuedJobs,
			ServiceReceived: a.Service, ServiceDue: a.Due, WaitReason: a.Why,
		}
	}
	return out
}

// Fleet implements operator.VM.
func (vm *VM) Fleet() operator.Fleet {
	snapshot := vm.fleet.Latest()
	answering := vm.peers.addresses()
	f := operator.Fleet{Version: snapshot.Version, Workers: len(snapshot.Workers)}
	for name, e := range snapshot.Entries {
		_, answers := answering[name]
		f.Entries = append(f.Entries, operator.EntryVM{
			Name:        name,
			Domain:      e.Domain,
			Address:     e.Address,
			Leaving:     e.Leaving,
			IsReachable: answers || name == vm.settings.Name,
		})
	}
	slices.SortFunc(f.Entries, func(a, b operator.EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return f
}

// ParseTicket implements operator.VM.
func (vm *VM) ParseTicket(token string) (ticket.Ticket, *ticket.Error) {
	return ticket.Parse([]byte(vm.settings.TicketKey), token)
}
