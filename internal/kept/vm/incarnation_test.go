package vm

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// scripted answers holds one after the other as a script says, and remembers them.
type scriptedClient struct {
	worker.Client
	answers []worker.Reply
	holds   []worker.Hold
}

func (s *scriptedClient) Hold(_ context.Context, _ worker.Info, h worker.Hold) (worker.Listing, worker.Reply) {
	r := s.answers[len(s.holds)]
	s.holds = append(s.holds, h)
	return worker.Listing{Clock: r.Clock, Born: r.Born}, r
}

func newScriptedSession(born int64, answers ...worker.Reply) (*workerSession, *scriptedClient) {
	s := &scriptedClient{answers: answers}
	v := &VM{now: func() time.Duration { return time.Hour }}
	v.config.Workers = s
	v.config.MaxLease = time.Second
	extendLeases := &atomic.Bool{}
	extendLeases.Store(true)
	h := &workerSession{vm: v, extendLeases: extendLeases, acked: make(chan struct{}, 1)}
	h.info.Store(&worker.Info{ID: "w", Born: born})
	h.born.Store(born)
	return h, s
}

// Guards against ends of the next incarnation that are forgotten as they have numbers of earlier ones.
func TestHoldAfterSilenceAcknowledgesNothing(t *testing.T) {
	answer := worker.Reply{Clock: time.Second, Born: 5}
	h, s := newScriptedSession(5, answer, answer, worker.Reply{Verdict: worker.NoAnswer}, answer, answer)
	h.acknowledge(57)
	for range s.answers {
		h.renew(t.Context(), time.Second)
	}
	for i, want := range []uint64{0, 57, 57, 0, 57} {
		if got := s.holds[i].AckedEnd; got != want {
			t.Errorf("hold %d acknowledges %d, want %d", i, got, want)
		}
	}
}

// Guards against an answer of another incarnation that passes for one of the session's.
func TestAnswersAreOfOneIncarnation(t *testing.T) {
	next := worker.Incarnation{ID: "w", Born: 9}
	for name, c := range map[string]struct {
		known, answers int64
		want           worker.Reply
	}{
		"the same":           {5, 5, worker.Reply{Born: 5}},
		"does not say":       {5, 0, worker.Reply{}},
		"was not known":      {0, 5, worker.Reply{Born: 5}},
		"a later one":        {5, 9, worker.Reply{Verdict: worker.Replaced, Successor: next}},
		"an earlier one":     {5, 3, worker.Reply{Verdict: worker.NoAnswer}},
		"nobody's was known": {0, 0, worker.Reply{}},
	} {
		h, _ := newScriptedSession(c.known)
		if got := h.checkIncarnation(worker.Reply{Born: c.answers}); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
