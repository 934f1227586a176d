package storeclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// headroom is the part of the store's rate that the fleet uses; the rest
	// absorbs calls that the network bunches together.
	headroom = 0.9
	// limiterBurst is how many calls one VM may make at once.
	limiterBurst = 1
	// minimumPart keeps a VM able to call at all when the fleet has outgrown
	// the store: one call in ten seconds.
	minimumPart = 0.1
)

// share is the rate of one VM, in calls a second, at which a fleet of VMs stays
// under the store's rate within any second: each VM makes at most its rate and
// one burst.
func share(storeRate float64, fleet int) rate.Limit {
	spare := storeRate - float64(fleet*limiterBurst)
	return rate.Limit(max(headroom*spare/float64(fleet), minimumPart))
}

const (
	retryEarned  = 0.1 // retries earned by each call
	retryStored  = 10  // retries that can be saved up
	backoffFirst = 50 * time.Millisecond
	backoffLimit = 2 * time.Second
)

// budget bounds retries to a tenth of the calls. Without it each caller would
// multiply its calls just when the store is slow, and so keep it slow.
type budget struct {
	mu     sync.Mutex
	tokens float64
	random *rand.Rand
}

func newBudget(seed uint64) *budget {
	return &budget{tokens: retryStored, random: rand.New(rand.NewPCG(seed, seed))}
}

// earn records one call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryEarned, retryStored)
}

// spend takes one retry, if there is one left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff is how long to wait before the retry after the given attempt, 1 for
// the first. It is drawn from the whole range, so that callers which failed
// together do not come back together.
func (b *budget) backoff(attempt int) time.Duration {
	longest := min(backoffFirst<<(attempt-1), backoffLimit)
	return b.jitter(longest)
}

func (b *budget) jitter(longest time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(longest)) + 1)
}
