package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
)

// shares sums up the capacity of the other entry VMs and the usage of client
// accounts there, as reported in heartbeats, and passes the sums to the holder.
type shares struct {
	holder *holder.Holder

	mu     sync.Mutex
	owners map[string]*ownerShare
	told   time.Time
}

// tellEvery is the minimum interval between updates to the holder, each of which
// redistributes the quotas.
const tellEvery = 200 * time.Millisecond

// ownerShare is the contribution of one other entry VM.
type ownerShare struct {
	slots uint32
	usage []*pb.AccountUsage
}

func newShares(h *holder.Holder) *shares {
	return &shares{holder: h, owners: make(map[string]*ownerShare)}
}

// heard processes an advert. Only adverts in heartbeats contain account usage.
func (s *shares) heard(owner string, m *pb.Advert) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owners[owner]
	if o == nil {
		o = &ownerShare{}
		s.owners[owner] = o
	}
	if !m.Periodic {
		return
	}
	o.slots, o.usage = m.Slots, m.Usage
	if now := time.Now(); now.Sub(s.told) >= tellEvery {
		s.told = now
		s.tell()
	}
}

// lost removes an unreachable entry VM: its usage is no longer known, and its
// workers count for the VM that holds them next.
func (s *shares) lost(owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owners, owner)
	s.tell()
}

// tell passes the sums to the holder. The caller holds mu.
func (s *shares) tell() {
	r := holder.Remote{Waiting: make(map[string]int)}
	sums := make(map[string]fairness.Usage)
	for _, o := range s.owners {
		r.Slots += float64(o.slots)
		for _, u := range o.usage {
			sum := sums[u.Account]
			sum.Account = u.Account
			sum.Slots += float64(u.Slots)
			sum.Milliwatts += float64(u.Milliwatts)
			sums[u.Account] = sum
			if u.Waiting {
				r.Waiting[u.Account]++
			}
		}
	}
	for _, sum := range sums {
		r.Usage = append(r.Usage, sum)
	}
	slices.SortFunc(r.Usage, func(a, b fairness.Usage) int { return cmp.Compare(a.Account, b.Account) })
	s.holder.SetRemote(r)
}
