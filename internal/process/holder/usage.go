package holder

import (
	"cmp"
	"math"
	"slices"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/placement"
)

// usage is what one client account occupies here.
type usage struct{ slots, milliwatts int64 }

// uses counts tasks of an account that started, or ended when n is negative.
func (h *Holder) uses(account string, each placement.Resources, n int64) {
	u := h.usage[account]
	if u == nil {
		u = &usage{}
		h.usage[account] = u
	}
	u.slots += n * int64(each.Slots)
	u.milliwatts += n * int64(each.Milliwatts)
	if u.slots == 0 {
		delete(h.usage, account)
	}
}

// usageEvery is how old the list of used accounts in an advert may be.
const usageEvery = 100 * time.Millisecond

// usageMessage lists the accounts that occupy slots or wait for one, for the
// adverts.
func (h *Holder) usageMessage() []*pb.AccountUsage {
	if h.now.Sub(h.listed) < usageEvery {
		return h.usageList
	}
	h.listed = h.now
	waiting := h.waitingAccounts()
	out := make([]*pb.AccountUsage, 0, len(h.usage))
	for account, u := range h.usage {
		out = append(out, &pb.AccountUsage{
			Account:    account,
			Slots:      uint32(u.slots),
			Milliwatts: uint32(u.milliwatts),
			Waiting:    waiting[account],
		})
		delete(waiting, account)
	}
	for account := range waiting {
		out = append(out, &pb.AccountUsage{Account: account, Waiting: true})
	}
	slices.SortFunc(out, func(a, b *pb.AccountUsage) int { return cmp.Compare(a.Account, b.Account) })
	h.usageList = out
	return out
}

// waitingAccounts is the set of accounts with tasks that wait for a slot.
func (h *Holder) waitingAccounts() map[string]bool {
	waiting := make(map[string]bool)
	for _, w := range h.works {
		waiting[w.groups[0].m.Account] = true
	}
	return waiting
}

// Remote is what the other entry VMs said last.
type Remote struct {
	Slots, Milliwatts float64 // that they offer together
	Usage             []fairness.Usage
	// Waiting counts the entry VMs at which tasks of an account wait.
	Waiting map[string]int
}

// remoteEvent brings what the other owners offer and what accounts use there.
type remoteEvent struct{ remote Remote }

// SetRemote tells what the other entry VMs offer together, and what each client
// account occupies there. Without it every entry VM would grant an account its
// whole quota, and a share of its own slots only.
func (h *Holder) SetRemote(r Remote) { h.events.TryPush(remoteEvent{r}) }

func (ev remoteEvent) apply(h *Holder) {
	offer := h.remote.Slots != ev.remote.Slots || h.remote.Milliwatts != ev.remote.Milliwatts
	h.remote = ev.remote
	if offer {
		h.updateCapacity()
	}
	h.order.SetRemoteUsage(h.now, ev.remote.Usage)
	if h.now.Sub(h.split) >= h.cfg.Settings.QuotaRound {
		h.splitQuotas()
	}
	h.applyQuotas()
}

// splitQuotas bounds what each account may occupy here until the next round:
// what is left of a quota is divided by the entry VMs at which tasks of the
// account wait. Were each to take what is left for itself, a burst that reaches all at once would occupy the quota many
// times over before any hears of the others; one would see an account's slots
// over the site above its quota. A round is longer than news takes, so that the
// next one counts what the others took in this one.
func (h *Holder) splitQuotas() {
	h.split = h.now
	local, remote := h.localUse(), h.remoteUse()
	waiting := h.waitingAccounts()
	clear(h.limits)
	for i := range h.accounts {
		a := &h.accounts[i]
		if a.QuotaSlots > 0 {
			left := max(0, float64(a.QuotaSlots)-local[a.Name]-remote[a.Name])
			h.limits[a.Name] = local[a.Name] + left/float64(h.claimants(a.Name, waiting))
		}
	}
}

// claimants is by how many what is left of an account's quota is divided. Where
// nothing of it waits, a small part is kept for work that may come.
func (h *Holder) claimants(account string, waiting map[string]bool) int {
	if waiting[account] {
		return h.remote.Waiting[account] + 1
	}
	return idleClaim * (h.remote.Waiting[account] + 1)
}

// idleClaim divides the part of an entry VM at which nothing waits. It is at
// least the number of entry VMs that a burst may reach before they hear of each
// other.
const idleClaim = 8

// applyQuotas puts the bounds in force. The order of work compares local and
// remote use together with a quota, so what is used elsewhere is added.
func (h *Holder) applyQuotas() {
	remote := h.remoteUse()
	bounded := slices.Clone(h.accounts)
	for i := range bounded {
		a := &bounded[i]
		if a.QuotaSlots > 0 {
			a.QuotaSlots = max(1, uint32(math.Round(h.limits[a.Name]+remote[a.Name])))
		}
	}
	h.order.SetAccounts(h.now, bounded)
}

func (h *Holder) localUse() map[string]float64 {
	use := make(map[string]float64, len(h.usage))
	for account, u := range h.usage {
		use[account] = float64(u.slots)
	}
	return h.withChildren(use)
}

func (h *Holder) remoteUse() map[string]float64 {
	use := make(map[string]float64, len(h.remote.Usage))
	for _, u := range h.remote.Usage {
		use[u.Account] = u.Slots
	}
	return h.withChildren(use)
}

// withChildren adds each account's use to all accounts that enclose it.
func (h *Holder) withChildren(use map[string]float64) map[string]float64 {
	sum := make(map[string]float64, len(use))
	for name, slots := range use {
		for depth := 0; name != "" && depth < maxAccountDepth; depth++ {
			sum[name] += slots
			name = h.parents[name]
		}
	}
	return sum
}

// maxAccountDepth ends the walk up a cycle of parents.
const maxAccountDepth = 16
