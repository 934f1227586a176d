package site

import (
	"context"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// AwaitRevision waits until every entry VM has applied at least this revision.
func (s *Site) AwaitRevision(ctx context.Context, revision uint64) error {
	return s.await(ctx, func(e *Entry) bool {
		doc := e.VM.Document()
		return doc != nil && doc.Revision >= revision
	})
}

// AwaitReady waits until every entry VM is ready and connected to all others, every
// worker is leased, and power is allotted for tasks.
func (s *Site) AwaitReady(ctx context.Context) error {
	if err := s.AwaitPeers(ctx); err != nil {
		return err
	}
	return s.awaitLeases(ctx)
}

// awaitLeases waits until every running worker is leased, and then until power is
// allotted.
func (s *Site) awaitLeases(ctx context.Context) error {
	for {
		unleasedWorkers := s.unleasedWorkers()
		if len(unleasedWorkers) == 0 {
			return s.awaitPower(ctx)
		}
		if !pause.For(ctx, awaitPollInterval) {
			return fmt.Errorf("no entry VM holds the lease of %v: %w", unleasedWorkers, ctx.Err())
		}
	}
}

// unleasedWorkers returns the running workers whose lease no entry VM holds.
func (s *Site) unleasedWorkers() []string {
	held := make(map[string]bool)
	for _, e := range s.Entries() {
		for _, w := range e.VM.Status().Workers {
			held[w] = true
		}
	}
	var out []string
	for _, w := range s.Workers() {
		if w.alive && !held[w.ID()] {
			out = append(out, w.ID()+" in "+w.Domain)
		}
	}
	return out
}

// awaitPower waits until every entry VM that holds leases of workers has power to
// allot to tasks.
func (s *Site) awaitPower(ctx context.Context) error {
	return s.await(ctx, func(e *Entry) bool {
		status := e.VM.Status()
		return len(status.Workers) == 0 || (status.Power.Complete && status.Power.Free > 0)
	})
}

// AwaitPeers waits until every entry VM is ready and connected to all others.
func (s *Site) AwaitPeers(ctx context.Context) error {
	others := len(s.Entries()) - 1
	return s.await(ctx, func(e *Entry) bool { return e.VM.Ready() && len(e.VM.Status().Peers) >= others })
}

// await waits until the condition holds for every running entry VM. The error names one
// for which it does not.
func (s *Site) await(ctx context.Context, done func(*Entry) bool) error {
	for {
		waiting := ""
		for _, e := range s.Entries() {
			if !done(e) {
				s := e.VM.Status()
				waiting = fmt.Sprintf("%s (ready %v, revision %d, peers %v)", e.Name, s.Ready, s.Revision, s.Peers)
			}
		}
		if waiting == "" {
			return nil
		}
		if !pause.For(ctx, awaitPollInterval) {
			return fmt.Errorf("entry VM %s has not reached the awaited state: %w", waiting, ctx.Err())
		}
	}
}
