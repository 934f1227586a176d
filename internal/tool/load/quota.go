package load

import (
	"maps"
	"sync"

	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// quotaWatch follows the slots that accounts with a quota occupy, their children
// included. It is safe for concurrent use.
type quotaWatch struct {
	parents map[string]string // of all accounts
	quotas  map[string]uint32 // slots, of accounts that have one

	mu       sync.Mutex
	accounts map[ticket.ID]string
	peaks    map[string]uint32 // slots
}

func newQuotaWatch(doc *document.Document) *quotaWatch {
	q := &quotaWatch{
		parents:  make(map[string]string),
		quotas:   make(map[string]uint32),
		accounts: make(map[ticket.ID]string),
		peaks:    make(map[string]uint32),
	}
	for _, a := range doc.Accounts {
		q.parents[a.Name] = a.Parent
		if a.QuotaSlots > 0 {
			q.quotas[a.Name] = a.QuotaSlots
		}
	}
	return q
}

// submitted notes whose submission an identity is.
func (q *quotaWatch) submitted(id ticket.ID, account string) {
	q.mu.Lock()
	q.accounts[id] = account
	q.mu.Unlock()
}

// sample takes in the slots that each submission occupies at one time.
func (q *quotaWatch) sample(inUse map[ticket.ID]uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := make(map[string]uint32)
	for id, slots := range inUse {
		for account := q.accounts[id]; account != ""; account = q.parents[account] {
			now[account] += slots
		}
	}
	for account, slots := range now {
		q.peaks[account] = max(q.peaks[account], slots)
	}
}

// overQuota returns the highest slots in use over the quota, of each account
// that has one.
func (q *quotaWatch) overQuota() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64)
	for account := range maps.Keys(q.quotas) {
		out[account] = float64(q.peaks[account]) / float64(q.quotas[account])
	}
	return out
}
