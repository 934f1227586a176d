package vm

import (
	"maps"
	"slices"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// sharesOf returns what groups are served by this VM's shards of a failure domain, for all of these and their pool;
// nil: there are no floors. It is lost with this VM. The next holder has the same after about a second.
func (e *engine) sharesOf(domain string) *policy.Shares {
	if e.vm.config.Policy.ShareFloor == 0 {
		return nil
	}
	if e.served[domain] == nil {
		e.served[domain] = &policy.Shares{}
	}
	return e.served[domain]
}

// groupOf returns the group of a submission that this VM has received.
func (e *engine) groupOf(r *submission.Record) policy.Group {
	return policy.Group{Priority: r.Terms.Priority, Queue: r.Queue, Callers: e.vm.config.Domain}
}

// loadFor returns a load as the group of a submission sees it.
func (e *engine) loadFor(r *submission.Record, l *knownLoad) *shard.Load {
	if len(l.Standings) == 0 {
		return &l.Load
	}
	seen := l.Load
	seen.Queued = shard.SeenBy(e.groupOf(r), l.Queued, l.Standings)
	return &seen
}

func encodeStandings(standings map[policy.Group]policy.Standing) []*pb.KeptStanding {
	var out []*pb.KeptStanding
	for _, g := range slices.SortedFunc(maps.Keys(standings), policy.Group.Compare) {
		out = append(out, &pb.KeptStanding{Priority: int32(g.Priority), Queue: g.Queue, Callers: g.Callers, Standing: uint32(standings[g])})
	}
	return out
}

func decodeStandings(standings []*pb.KeptStanding) map[policy.Group]policy.Standing {
	out := make(map[policy.Group]policy.Standing, len(standings))
	for _, s := range standings {
		g := policy.Group{Priority: int(s.Priority), Queue: s.Queue, Callers: s.Callers}
		out[g] = decodeStanding(s.Standing)
	}
	return out
}

// decodeStanding converts a standing. One that this release does not know comes last.
func decodeStanding(n uint32) policy.Standing {
	return policy.Standing(min(n, uint32(policy.AboveFloor)))
}
