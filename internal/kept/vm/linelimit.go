package vm

import (
	"sync"
	"time"
)

// lineLimit bounds the log lines of one kind, so that a burst of them pushes no other lines out of the log's queue.
// It may be used from any goroutine.
type lineLimit struct {
	mu      sync.Mutex
	since   time.Duration // when the current second began
	lines   int           // in this second
	omitted int           // since the last line
}

// allow reports whether one of up to max lines a second may be written, and how many were left out since the last one.
func (l *lineLimit) allow(now time.Duration, maxLines int) (omitted int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == 0 || now-l.since >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
