package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/home"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// peers are other entry VMs, of which one drives the submission.
type peers struct {
	home, driver string // addresses; home "": can not be reached
	others       []string
	asked        []string
}

func (p *peers) Find(string, uint64) (string, bool) { return p.home, p.home != "" }
func (p *peers) FindAuthor(uint64) (string, bool)   { return "", false }
func (p *peers) Addresses() []string                { return p.others }
func (p *peers) Submit(context.Context, string, *pb.SubmitRequest) (*pb.Answer, error) {
	return nil, errors.New("not asked for here")
}
func (p *peers) Cancel(_ context.Context, address string, _ *pb.CancelRequest) (*pb.CancelResponse, error) {
	p.asked = append(p.asked, address)
	if address == p.driver {
		return &pb.CancelResponse{Outcome: cancelTold}, nil
	}
	return &pb.CancelResponse{}, nil
}

// Symptom: a cancelled job runs on. Sequence: a home dies, or is cut off; another
// entry VM recovers its submission; the caller cancels at a third one. Cause: the
// cancellation was sent to the home only.
func TestCancelReachesTheDriver(t *testing.T) {
	for name, c := range map[string]struct {
		peers peers
		told  bool
	}{
		"at its home":            {peers{home: "h", driver: "h"}, true},
		"recovered, home gone":   {peers{driver: "b", others: []string{"a", "b", "c"}}, true},
		"recovered, home lives":  {peers{home: "h", driver: "b", others: []string{"b", "h"}}, true},
		"driven by nobody known": {peers{home: "h", others: []string{"a", "h"}}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := home.New(home.Config{Settings: home.Defaults()})
			ctx, cancel := context.WithCancel(t.Context())
			go h.Run(ctx)
			r := New(Config{Home: h, Peers: &c.peers, Key: []byte("0123456789abcdef")})
			if told := r.Cancel(ctx, "token", ticket.Ticket{ID: ticket.ID{Incarnation: 1, Counter: 1}, Home: "h"}, false); told != c.told {
				t.Errorf("%s: told %v, asked %v", name, told, c.peers.asked)
			}
			cancel()
			synctest.Wait()
		})
	}
}
