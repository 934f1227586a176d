package vm

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/kvstore"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Bounds of the users' rule on cancelled work.
const (
	maxCancelDelay = 4 * time.Second // after the acknowledgement, or after a late start counts
	maxStopDelay   = 50 * ms
)

// cancellations is a play of submissions that hang and are cancelled, beside orders that are held up, VMs
// that are lost for good, stores that turn VMs away, and workers that start again under their ID.
type cancellationRun struct {
	*world
	log          *startLog
	stored       []submission.ID
	cancelledAt  map[submission.ID]time.Time // when that was acknowledged
	withoutStore map[string]bool             // VMs that the store does not serve
	lastFault    time.Time
	bootCount    int
}

// randomCancelEvent is one random event: Op says what happens, N how much of it.
type randomCancelEvent struct{ Op, N int }

func (p *cancellationRun) do(a randomCancelEvent) error {
	vms := slices.Sorted(maps.Keys(p.vms))
	name := vms[a.N%len(vms)]
	switch a.Op {
	case 0, 1, 2:
		p.submitHanging(name, a.N)
	case 3, 4, 5:
		p.cancel(name, a.N)
	case 6:
		p.recordFault()
		p.kill(name)
		p.bootCount++
		p.boot(fmt.Sprintf("%s-next%d", name[:1], p.bootCount))
	case 7:
		p.recordFault()
		info := p.fleet.Reborn(fmt.Sprintf("worker-a%d", a.N%3), fmt.Sprintf("w-a%d", a.N%3))
		if a.N%2 == 0 {
			p.putWorkerEntry(info)
		}
	case 8:
		p.fleet.DelayStarts(func(s worker.Start) time.Duration { return time.Duration((s.Task.Index+a.N)%4) * 1300 * ms })
	case 9:
		p.fleet.DelayStarts(nil)
	case 10:
		p.recordFault()
		p.withoutStore[name] = true
		p.storeDoors[name].Set([]kvstore.Fault{kvstore.Refuses, kvstore.Silent, kvstore.LosesReply}[a.N%3])
	case 11:
		p.restoreStore()
	}
	for range 1 + a.N%6 {
		time.Sleep(200 * ms)
		if err := p.checkCancelled(); err != nil {
			return err
		}
	}
	return nil
}

func (p *cancellationRun) recordFault() { p.lastFault = time.Now() }

func (p *cancellationRun) restoreStore() {
	p.recordFault()
	clear(p.withoutStore)
	for _, d := range p.storeDoors {
		d.Set(kvstore.Serves)
	}
}

// hand hands in a submission whose tasks hang.
func (p *cancellationRun) submitHanging(at string, n int) {
	id := submission.ID(fmt.Sprintf("s%d", len(p.stored)))
	p.stored = append(p.stored, id)
	out := p.submit(at, id, 1+n%4, runhost.Work{Time: 50 * ms, Hangs: true}, false)
	go func() { <-out }()
}

func (p *cancellationRun) cancel(at string, n int) {
	if len(p.stored) == 0 {
		return
	}
	id := p.stored[n%len(p.stored)]
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if s, err := p.vms[at].Cancel(ctx, id); err == nil && s == submission.Cancelled && p.cancelledAt[id].IsZero() {
		p.cancelledAt[id] = time.Now()
	}
}

// judge holds what runs against what was cancelled.
func (p *cancellationRun) checkCancelled() error {
	if len(p.withoutStore) > 0 || time.Since(p.lastFault) < faultSettleTime {
		return nil
	}
	for _, id := range p.stored {
		at := p.cancelledAt[id]
		if at.IsZero() || p.fleet.Running(id) == 0 {
			continue
		}
		counts := at
		for _, s := range p.log.ofSubmission(id) {
			if late := s.at.Add(faultSettleTime); late.After(counts) {
				counts = late
			}
		}
		if over := time.Since(counts) - maxCancelDelay - maxStopDelay; over > 0 && time.Since(p.lastFault) > faultSettleTime+maxCancelDelay {
			return fmt.Errorf("%s runs on %v after its cancelling must be in force", id, over)
		}
	}
	return nil
}

// finish lets all faults end, and says what is wrong.
func (p *cancellationRun) finish() error {
	p.restoreStore()
	p.fleet.DelayStarts(nil)
	for range 100 {
		time.Sleep(200 * ms)
		if err := p.checkCancelled(); err != nil {
			return err
		}
	}
	if f := p.fleet.Faults(); len(f) > 0 {
		return fmt.Errorf("%v", f)
	}
	return nil
}

// Guards against cancelled work that runs on: its start was held up, its starter was lost for good, its shard
// changed hands, its worker has started again, in any order.
func TestCancelledWorkEndsBesideRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 25
	parameters.MaxShrinkCount = 10 // a play takes a second
	properties := gopter.NewProperties(parameters)
	acts := gen.SliceOfN(25, gen.Struct(reflect.TypeOf(randomCancelEvent{}), map[string]gopter.Gen{
		"Op": gen.IntRange(0, 11),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("nothing cancelled runs on", prop.ForAll(func(acts []randomCancelEvent) (ok bool, err error) {
		synctest.Test(t, func(t *testing.T) {
			p := &cancellationRun{world: newWorldWithIncarnations(t, 3), cancelledAt: make(map[submission.ID]time.Time), withoutStore: make(map[string]bool)}
			p.log = watchStarts(p.world)
			for _, a := range acts {
				if err = p.do(a); err != nil {
					break
				}
			}
			if err == nil {
				err = p.finish()
			}
			for name := range p.vms {
				p.kill(name)
			}
		})
		return err == nil, err
	}, acts))
	properties.TestingRun(t)
}
