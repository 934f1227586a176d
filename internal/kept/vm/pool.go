package vm

import (
	"maps"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/pool"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// knownPool is a pool as its holder last reported it.
type knownPool struct {
	holder        string
	domain        string
	queued        []shard.QueuedWork // demands, each with its share, the first to be served first
	standings     map[policy.Group]policy.Standing
	capacityMilli int64 // CPU of all usable workers, in thousandths of a core
	receivedAt    time.Duration
}

// poolKey names a pool: the shards of a failure domain that one VM holds.
type poolKey struct{ holder, domain string }

// isFresh reports whether the last report of a pool still counts.
func (e *engine) isFresh(p *knownPool) bool { return e.now-p.receivedAt <= maxLoadAge }

// receivePools keeps a peer's reports of its pools.
func (e *engine) receivePools(from string, reports []*pb.KeptPool) {
	for _, p := range reports {
		e.pools[poolKey{from, p.Domain}] = &knownPool{
			holder:        from,
			domain:        p.Domain,
			queued:        decodeQueued(p.Queued),
			standings:     decodeStandings(p.Standings),
			capacityMilli: p.RoomMilli,
			receivedAt:    e.now,
		}
	}
}

// forgetPools forgets the pools of a peer that cannot be reached.
func (e *engine) forgetPools(holder string) {
	maps.DeleteFunc(e.pools, func(k poolKey, _ *knownPool) bool { return k.holder == holder })
}

// receivePoolMessages takes in what a frame has for the pools of this VM. Replies come first: they tell of the
// assignments of the same frame, and its demands do not count the assigned tasks any more.
func (e *engine) receivePoolMessages(from string, f *pb.KeptFrame) {
	for _, r := range f.GrantReplies {
		e.receiveGrantReply(from, r.Shard, pool.Reply{ID: submission.ID(r.Id), Number: r.Number, Tasks: int(r.Tasks)})
	}
	for _, d := range f.Demands {
		e.receiveDemand(from, d.Domain, decodeDemand(e.now, d))
	}
	for _, g := range f.Grants {
		e.receiveGrant(from, pool.Grant{ID: submission.ID(g.Id), Shard: g.Shard, Token: g.Token, Number: g.Number, Tasks: int(g.Tasks)})
	}
	e.receivePools(from, f.Pools)
}

// decodeDemand converts a demand. A demand without tasks has only its ID and number.
func decodeDemand(now time.Duration, d *pb.KeptDemand) pool.Demand {
	return pool.Demand{
		Number: d.Number,
		Tasks:  int(d.Tasks),
		Queue:  d.Queue,
		Work: policy.Work{
			ID:            submission.ID(d.Id),
			Priority:      int(d.Priority),
			ReceivedAt:    now - time.Duration(d.AgeNs),
			Objective:     time.Duration(d.ObjectiveNs),
			RunTime:       time.Duration(d.RunTimeNs),
			CallerTimeout: time.Duration(d.CallerTimeoutNs),
			Started:       d.Begun,
			RemainingWork: d.RemainingWork,
		},
		Size: pool.Size{
			Service:       d.Service,
			CPUMilli:      d.Milli,
			MemMB:         d.MemMb,
			GPU:           d.Gpu,
			RequiredLabel: d.Label,
			DataRack:      d.DataRack,
		},
		Share: d.Share,
	}
}
