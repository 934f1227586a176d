package fairness

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// step is one random call; model is what the queue must agree with.
type step struct{ Op, Key, Count, Wait int }

var reflectStep = reflect.TypeOf(step{})

type model struct {
	queued, running map[int]int
	parked          map[int]bool
}

const (
	propertyKeys  = 12
	propertyQuota = 5
)

func propertyJob(key int) Job[int] {
	j := task(key, fmt.Sprint("account", key%5), time.Duration(1+key*100)*time.Millisecond)
	j.Slots = uint32(1 + key%3)
	j.Class = Class(key % 3)
	return j
}

func propertyAccounts(variant int) []Account {
	return []Account{
		{Name: "team", Weight: 2, QuotaSlots: propertyQuota},
		{Name: "account0", Parent: "team", Weight: uint32(variant)},
		{Name: "account1", Parent: "team"},
		{Name: "account2", Parent: "account1"},
		{Name: "account3", Parent: "account4"},
		{Name: "account4", Parent: "account3"},
	}
}

// apply makes one call on the queue and on the model, and reports a mismatch.
func (m *model) apply(q *Queue[int], s step, now time.Time) error {
	key := s.Key % propertyKeys
	switch s.Op {
	case 0, 1:
		q.Push(now, propertyJob(key), s.Count)
		m.queued[key] += s.Count
	case 2, 3, 4:
		return m.next(q, s, now)
	case 5:
		n := min(s.Count, m.running[key])
		if q.Finish(now, key, n, time.Duration(n)*time.Second, 0) != (n > 0) {
			return fmt.Errorf("finish of %d tasks of %d", n, key)
		}
		m.running[key] -= n
	case 6:
		parked := 0
		for _, s := range q.Snapshot(now) {
			parked += s.ParkedJobs
		}
		if parked != len(m.parked) {
			return fmt.Errorf("%d jobs parked, the status shows %d", len(m.parked), parked)
		}
		q.Unpark()
		clear(m.parked)
	case 7:
		if dropped := q.Drop(key); dropped != m.queued[key] {
			return fmt.Errorf("dropped %d of %d tasks", dropped, m.queued[key])
		}
		m.queued[key] = 0
		delete(m.parked, key)
	case 8:
		q.SetAccounts(now, propertyAccounts(s.Count))
	}
	return nil
}

// next starts or parks a pick. If there is none, each job must be parked, over quota
// or held back.
func (m *model) next(q *Queue[int], s step, now time.Time) error {
	pick, found := q.Next(now)
	if !found {
		return m.idle(q)
	}
	if pick.Max < 1 || pick.Max > m.queued[pick.Key] || m.parked[pick.Key] {
		return fmt.Errorf("picked %+v with %d queued", pick, m.queued[pick.Key])
	}
	if s.Op == 4 {
		q.Park(pick.Key, reason.NoWorkers)
		m.parked[pick.Key] = true
		return nil
	}
	q.Start(now, pick.Key, pick.Max)
	m.queued[pick.Key] -= pick.Max
	m.running[pick.Key] += pick.Max
	if used := m.teamSlots(); used > propertyQuota {
		return fmt.Errorf("%d slots in use, over the quota", used)
	}
	return nil
}

func inTeam(key int) bool { return key%5 <= 2 }

func (m *model) teamSlots() int {
	used := 0
	for key, n := range m.running {
		if inTeam(key) {
			used += n * int(propertyJob(key).Slots)
		}
	}
	return used
}

func (m *model) idle(q *Queue[int]) error {
	for key, n := range m.queued {
		free := !inTeam(key) || m.teamSlots()+3 <= propertyQuota
		if n > 0 && !m.parked[key] && free && q.starved == nil {
			return fmt.Errorf("job %d waits although nothing stands in its way", key)
		}
	}
	return nil
}

// Checks for random calls that no task is picked twice or lost, that quotas hold, and
// that a task that is allowed to start is picked.
func TestQueueAgreesWithModel(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	steps := gen.SliceOfN(200, gen.Struct(reflectStep, map[string]gopter.Gen{
		"Op": gen.IntRange(0, 8), "Key": gen.IntRange(0, 99), "Count": gen.IntRange(1, 6), "Wait": gen.IntRange(0, 400),
	}))
	properties.Property("agrees", prop.ForAll(func(steps []step) (bool, error) {
		q := newQueue(propertyAccounts(1)...)
		m := &model{map[int]int{}, map[int]int{}, map[int]bool{}}
		now := start
		for i, s := range steps {
			now = now.Add(time.Duration(s.Wait) * time.Millisecond)
			if err := m.apply(q, s, now); err != nil {
				return false, fmt.Errorf("step %d: %w", i, err)
			}
		}
		return true, nil
	}, steps))
	properties.TestingRun(t)
}
