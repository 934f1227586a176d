package oplog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
)

// stuckWriter blocks until released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuckWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a VM that stops serving because the reader of its log has stopped reading.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{release: make(chan struct{})}
		l := Start(out, 0)
		defer klog.ClearLogger()
		began := time.Now()
		for range 3 * MaxQueuedLines {
			klog.InfoS("kept: accepted", "id", "a")
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("writing lines took %v", waited)
		}
		synctest.Wait()
		if l.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(out.release)
		time.Sleep(time.Second)
		l.Stop()
		out.mu.Lock()
		defer out.mu.Unlock()
		text := out.got.String()
		if !strings.Contains(text, "lines dropped") || !strings.Contains(text, `id="a"`) {
			t.Errorf("the output lacks lines or the count of dropped ones: %.200s", text)
		}
	})
}
