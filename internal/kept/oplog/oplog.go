// Package oplog writes the klog output to a destination that may be slow or stuck, without
// ever blocking the caller.
//
// Lines go through a bounded queue to one goroutine, which writes all queued lines in
// one call. If the queue is full, lines are dropped and counted, and a line with their
// number is written as soon as the output takes lines again.
package oplog

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"

	"github.com/pumiceyard/pumiceyard/internal/process/ring"
)

const (
	// MaxQueuedLines is the size of the queue. A busy holder writes some 600 lines a second at
	// peak, so the queue bridges several seconds of a stuck reader.
	MaxQueuedLines = 8192
	maxWriteBytes  = 64 << 10               // a write ends with the line that reaches this size
	batchDelay     = 20 * time.Millisecond  // how long lines wait for others to share a write
	stopTimeout    = 300 * time.Millisecond // for the output to take the queued lines
)

// Log is a running log writer.
type Log struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	written atomic.Uint64
	out     io.Writer
	done    chan struct{}
	stop    chan struct{}
	once    sync.Once
}

// Start redirects klog to out. Lines of levels up to verbosity are written.
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
	var level klog.Level // klog decides by its own level which lines it hands to the logger
	if err := level.Set(strconv.Itoa(verbosity)); err != nil {
		klog.ErrorS(err, "log: the verbosity cannot be set", "verbosity", verbosity)
	}
	return l
}

// Write queues one line, or drops it if the queue is full. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.TryPush(append([]byte(nil), line...)) {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Written returns the number of lines passed to the output.
func (l *Log) Written() uint64 { return l.written.Load() }

// Stop writes the queued lines, if the output takes them in time.
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

// writeOut writes to the output. Errors are ignored, as there is nowhere to report them.
func (l *Log) writeOut(batch []byte) {
	if len(batch) > 0 {
		_, _ = l.out.Write(batch)
	}
}
