package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func shardsOf(free, room []int) []candidate {
	var out []candidate
	for i := range free {
		f := min(free[i], room[i%len(room)])
		out = append(out, candidate{shard: fmt.Sprint(i), own: i == 0, free: f, room: room[i%len(room)], backlog: time.Duration(i) * time.Millisecond})
	}
	return out
}

// Each task is given to one shard, and while all fit somewhere none is given to a shard
// that has no room for it.
func TestSplit(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	counts := gen.SliceOfN(4, gen.IntRange(0, 28))
	rooms := gen.SliceOfN(4, gen.IntRange(1, 28))
	properties.Property("tasks are neither lost nor doubled, and room is used", prop.ForAll(
		func(free, room []int, tasks int) bool {
			shards := shardsOf(free, room)
			total, given := 0, 0
			for _, c := range shards {
				total += c.free
			}
			for _, p := range split(shards, tasks, true, 100*time.Millisecond) {
				given += p.tasks
				for _, c := range shards {
					if c.shard == p.shard && total >= tasks && p.tasks > c.free {
						return false
					}
				}
			}
			return given == tasks
		}, counts, rooms, gen.IntRange(1, 40)))
	properties.Property("what waits for each other stays together", prop.ForAll(
		func(free, room []int, tasks int) bool {
			p := split(shardsOf(free, room), tasks, false, 100*time.Millisecond)
			return len(p) == 1 && p[0].tasks == tasks
		}, counts, rooms, gen.IntRange(1, 40)))
	properties.TestingRun(t)
}

func TestOwnDomainComesFirstWhileItKeepsAReserve(t *testing.T) {
	shards := []candidate{{shard: "own", own: true, free: 10, room: 28}, {shard: "other", free: 20, room: 28}}
	if p := split(shards, 4, true, time.Second); len(p) != 1 || p[0].shard != "own" {
		t.Errorf("%+v", p)
	}
	if p := split(shards, 9, true, time.Second); len(p) != 1 || p[0].shard != "other" {
		t.Errorf("%+v", p)
	}
}
