package vm

import (
	"sync/atomic"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
)

// messageLoss drops some of the messages that reach a VM while on is set.
type messageLoss struct {
	link.Events
	on   *atomic.Bool
	drop func(*pb.KeptFrame)
}

func (l *messageLoss) Frame(from string, f *pb.KeptFrame) {
	if l.on.Load() {
		l.drop(f)
	}
	l.Events.Frame(from, f)
}

// loseMessages has the VMs that boot from now on lose what drop takes out of their frames while on is set.
func (w *world) loseMessages(on *atomic.Bool, drop func(*pb.KeptFrame)) {
	w.events = func(_ string, e link.Events) link.Events { return &messageLoss{e, on, drop} }
}

// dropCancelled takes the cancellations out of a frame.
func dropCancelled(f *pb.KeptFrame) { f.Cancelled = nil }
