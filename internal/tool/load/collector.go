package load

import (
	"maps"
	"sync"

	"github.com/pumiceyard/pumiceyard/client"
)

// collector gathers results. It is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	now     progress
	results []Result
}

// progress counts jobs under way and by how they ended.
type progress struct {
	underWay int
	ended    map[client.Outcome]int
}

func (c *collector) begin() {
	c.mu.Lock()
	c.now.underWay++
	c.mu.Unlock()
}

func (c *collector) end(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now.ended == nil {
		c.now.ended = make(map[client.Outcome]int)
	}
	c.now.underWay--
	c.now.ended[r.Outcome]++
	c.results = append(c.results, r)
}

func (c *collector) counts() progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return progress{c.now.underWay, maps.Clone(c.now.ended)}
}

func (c *collector) take() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}
