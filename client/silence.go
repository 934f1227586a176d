package client

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// heartbeatHeader asks the entry VM for heartbeats: 102 responses.
const heartbeatHeader = "Pumiceyard-Heartbeat"

// silence ends a request on whose connection nothing is heard for too long. A
// connection may go silent for good, because something between the two ends has
// lost track of it, while new ones work; without this the caller would wait on it
// to the bound of the whole request.
type silence struct {
	mu      sync.Mutex
	timer   *time.Timer
	bound   time.Duration
	stopped bool
}

// watchSilence returns a context that ends when nothing is heard for the bound.
func watchSilence(ctx context.Context, bound time.Duration) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{bound: bound, timer: time.AfterFunc(bound, func() { cancel(errSilent) })}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { s.heard(); return nil },
		GotFirstResponseByte: s.heard,
		WroteHeaders:         s.heard,
	}), s
}

// heard starts the bound anew.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.bound)
	}
}

// Stop ends the watch.
func (s *silence) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
