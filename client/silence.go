package client

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// heartbeatHeader asks the entry VM to send 102 (Processing) responses as heartbeats
// while the job runs.
const heartbeatHeader = "Pumiceyard-Heartbeat"

// silenceWatch cancels a request when nothing is received on its connection for too long.
// A connection may go silent for good, because a device between the two ends has lost its
// state, while new connections work. Without the watch the caller would wait for the
// timeout of the whole request.
type silenceWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
}

// watchSilence returns a context that is cancelled when nothing is received for the
// timeout.
func watchSilence(ctx context.Context, timeout time.Duration) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silenceWatch{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(errSilent) })}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { s.onActivity(); return nil },
		GotFirstResponseByte: s.onActivity,
		WroteHeaders:         s.onActivity,
	}), s
}

// onActivity restarts the timeout.
func (s *silenceWatch) onActivity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.timeout)
	}
}

// Stop ends the watch.
func (s *silenceWatch) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
