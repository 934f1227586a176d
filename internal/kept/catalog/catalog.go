// Package catalog holds the kinds of work that operators have configured.
package catalog

import (
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Queue is one kind of work, as its callers reach it.
type Queue struct {
	Name    string
	Host    string // callers name it with each request
	Prefix  string // of the paths
	Timeout time.Duration
	Terms   submission.Terms
}

// Service is a kind of worker.
type Service struct {
	Name string
	// EnforcesCapacity says that its workers refuse what does not fit. The room of others is known from
	// their entries alone.
	GuardsRoom bool
}

// Catalog is one version of the configuration. It does not change.
type Catalog struct {
	Version uint64
	Queues  []Queue
	// Services are those that workers may belong to; empty: any. Entries of the list of
	// workers that name another service count as no workers.
	Services []Service
	Limits   Limits
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match finds the queue with the longest prefix of a path, and the rest of the path.
func (c *Catalog) Match(host, path string) (q *Queue, rest string, found bool) {
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if q == nil || len(candidate.Prefix) > len(q.Prefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Queue finds a queue by its name; nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
