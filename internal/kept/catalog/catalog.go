// Package catalog holds the configuration of operators: the queues that callers submit to, the
// services that workers belong to, and the limits of requests.
package catalog

import (
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Queue is one kind of submissions: where callers submit them, and on which terms they run.
type Queue struct {
	Name    string
	Host    string // host name in the requests of its callers
	Prefix  string // prefix of the request paths
	Timeout time.Duration
	Terms   submission.Terms
}

// Service is a kind of worker.
type Service struct {
	Name string
	// GuardsRoom says that its workers enforce their capacity: they refuse tasks that do not fit. The
	// capacity of other workers is known only from their entries.
	GuardsRoom bool
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version uint64
	Queues  []Queue
	// Services are the services that workers may belong to; empty: any. Entries of the list of
	// workers with another service are ignored.
	Services []Service
	Limits   Limits
}

// Limits are the limits of requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the queue of the host with the longest prefix of a path, and the rest of the path.
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

// Queue returns the queue with the given name; nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
