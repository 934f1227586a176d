package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/request/timeline"
)

// takenCounter counts the tasks that show in the holder's advert.
type takenCounter struct{ n atomic.Uint64 }

func (c *takenCounter) add(tasks int) { c.n.Add(uint64(tasks)) }

// on returns the advert with the count of this session.
func (c *takenCounter) on(m *pb.Advert) *pb.Advert {
	return peer.AdvertForSession(m, c.n.Load())
}

// steps returns this VM's timeline of a submission.
func (vm *VM) steps(id ticket.ID) []*pb.TimelineStep {
	var out []*pb.TimelineStep
	for _, s := range vm.timelines.Steps(id) {
		out = append(out, &pb.TimelineStep{
			UnixMicros: s.At.UnixMicro(),
			EntryVm:    vm.settings.Name,
			Step:       s.Event,
			Reason:     string(s.Reason),
			Detail:     s.Detail,
		})
	}
	return out
}

// collect merges the timelines of all entry VMs that answer, in order of time.
func collect(ctx context.Context, vm *VM, id ticket.ID) []caller.NamedStep {
	var mu sync.Mutex
	steps := vm.steps(id)
	var calls sync.WaitGroup
	for _, address := range vm.peers.addresses() {
		calls.Go(func() {
			m, err := vm.peers.calls.Timeline(ctx, address, &pb.TimelineRequest{Submission: wire.IDMessage(id)})
			if err != nil {
				return
			}
			mu.Lock()
			steps = append(steps, m.Steps...)
			mu.Unlock()
		})
	}
	calls.Wait()
	slices.SortStableFunc(steps, func(a, b *pb.TimelineStep) int { return int(a.UnixMicros - b.UnixMicros) })
	out := make([]caller.NamedStep, 0, len(steps))
	for _, s := range steps {
		out = append(out, caller.NamedStep{EntryVM: s.EntryVm, Step: timeline.Step{
			At:     time.UnixMicro(s.UnixMicros),
			Event:  s.Step,
			Reason: reason.Code(s.Reason),
			Detail: s.Detail,
		}})
	}
	return out
}
