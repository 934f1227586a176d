// Package oplog writes the log of decisions to an output that may be slow, or stuck,
// without ever waiting for it.
//
// Lines go through a bounded ring to one goroutine, which writes all that waits in one
// call. When the ring is full, lines are dropped and counted, and a line with their
// number follows as soon as there is room.
package oplog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"

	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

const (
	// MaxQueuedLines is how many lines may wait: at peak a busy holder writes some 600 a
	// second, so they bridge several seconds of a stuck reader.
	MaxQueuedLines = 8192
	maxWriteBytes  = 64 << 10              // bytes of one write
	batchDelay     = 20 * time.Millisecond // that lines wait for others, to share a write
	stopTimeout    = 300 * time.Millisecond
)

// Log is a running writer.
type Log struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	written atomic.Uint64
	out     io.Writer
	done    chan struct{}
	stop    chan struct{}
	once    sync.Once
}

// Start makes klog write to out from now on.
func Start(out io.Writer, verbosity int) *Log {
	l := &Log{
		lines: ring.New[[]byte](MaxQueuedLines),
		out:   out,
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	config := textlogger.NewConfig(textlogger.Output(l), textlogger.Verbosity(verbosity))
	klog.SetLogger(textlogger.NewLogger(config))
	go l.run()
	return l
}

// Write takes one line. It never waits and never fails.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.TryPush(append([]byte(nil), line...)) {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were not written for want of room.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Written is the number of lines handed to the output.
func (l *Log) Written() uint64 { return l.written.Load() }

// Stop writes what waits, if the output takes it in time.
func (l *Log) Stop() {
	l.once.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-time.After(stopTimeout):
	}
}

func (l *Log) run() {
	defer close(l.done)
	var reported uint64
	for {
		stopping := false
		select {
		case <-l.stop:
			stopping = true
		case <-l.lines.Ready():
			select {
			case <-l.stop:
				stopping = true
			case <-time.After(batchDelay):
			}
		}
		l.write(l.lines.Drain())
		if dropped := l.dropped.Load(); dropped > reported {
			l.write([][]byte{fmt.Appendf(nil, "W oplog: %d lines dropped, the output is too slow\n", dropped-reported)})
			reported = dropped
		}
		if stopping {
			return
		}
	}
}

func (l *Log) write(lines [][]byte) {
	var batch []byte
	for _, line := range lines {
		batch = append(batch, line...)
		l.written.Add(1)
		if len(batch) >= maxWriteBytes {
			l.writeOut(batch)
			batch = batch[:0]
		}
	}
	l.writeOut(batch)
}

// put hands lines to the output. There is nowhere to say that it does not take them.
func (l *Log) writeOut(batch []byte) {
	if len(batch) > 0 {
		_, _ = l.out.Write(batch)
	}
}
