package vm

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/oplog"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// logOf returns the log lines, of level 0, that are written while f runs.
func logOf(f func()) []string {
	var out lockedBuffer
	log := oplog.Start(&out, 0)
	f()
	log.Stop()
	oplog.Start(io.Discard, 0).Stop()
	klog.ClearLogger()
	out.mu.Lock()
	defer out.mu.Unlock()
	return strings.Split(out.b.String(), "\n")
}

// withAll returns the lines that contain all of the given texts.
func withAll(lines []string, texts ...string) (out []string) {
next:
	for _, l := range lines {
		for _, t := range texts {
			if !strings.Contains(l, t) {
				continue next
			}
		}
		out = append(out, l)
	}
	return out
}

// scrape returns the lines of a VM's metrics.
func scrape(v *VM) []string {
	time.Sleep(2 * metricsInterval)
	r := httptest.NewRecorder()
	v.Metrics().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	return strings.Split(r.Body.String(), "\n")
}

// Guards against a record of two runs of a task that does not say why the first one was given up.
func TestReleaseIsLoggedWithItsReason(t *testing.T) {
	var figures []string
	lines := logOf(func() {
		testWorld(t, func(w *world) {
			holder := w.holderOf("a")
			w.wantEnd(w.submit(holder, "calm", 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
			out := w.submit(holder, "cut", 1, runhost.Work{Time: 3 * time.Second}, true)
			time.Sleep(100 * ms)
			for i := range 3 {
				w.fleet.SetUnreachable(fmt.Sprint("w-a", i), true)
			}
			time.Sleep(1500 * ms)
			for i := range 3 {
				w.fleet.SetUnreachable(fmt.Sprint("w-a", i), false)
			}
			<-out
			figures = scrape(w.vms[holder])
		})
	})
	if got := withAll(lines, `"kept: task released"`, `id="calm"`); len(got) > 0 {
		t.Errorf("lines about tasks that have completed: %q", got)
	}
	got := withAll(lines, `"kept: task released"`, `id="cut"`, "step=0 index=0 run=1 ", `worker="w-a`, `shard="a/`, "token=", `why="lease expired"`,
		"starts_again=true", "since_start=", "since_listing=", "omitted=0")
	if len(got) != 1 || strings.Contains(got[0], "unknown") {
		t.Errorf("%d lines of the release with its ages, want one: %q", len(got), withAll(lines, "cut"))
	}
	if got := withAll(figures, "pumiceyard_kept_tasks_released_total{", `why="lease expired"`); len(got) != 1 || !strings.HasSuffix(got[0], " 1") {
		t.Errorf("the counter of releases is %q, want 1", got)
	}
}

// Guards against a burst of lines that pushes others out of the log, and against one that does not say so.
func TestLineLimitTellsWhatItLeavesOut(t *testing.T) {
	var l lineLimit
	now, written, omitted := time.Hour, 0, 0
	for range 3 {
		for range 100 {
			if n, allowed := l.allow(now, 10); allowed {
				written, omitted = written+1, omitted+n
			}
		}
		now += time.Second
	}
	if written != 30 || omitted != 180 || l.omitted != 90 {
		t.Errorf("%d lines written, %d told as left out and %d not yet, want 30, 180 and 90", written, omitted, l.omitted)
	}
}

// ghostClient lists a run of a submission at one worker, from when it is told to.
type ghostClient struct {
	worker.Client
	worker string
	run    worker.Running
	shown  *atomic.Bool
}

func (c *ghostClient) Hold(ctx context.Context, at worker.Info, h worker.Hold) (worker.Listing, worker.Reply) {
	l, r := c.Client.Hold(ctx, at, h)
	if at.ID == c.worker && r.Verdict == worker.Accepted && c.shown.Load() {
		l.Running = append(l.Running, c.run)
	}
	return l, r
}

// Guards against a run that goes on though its submission has ended, and that no line names.
func TestListedRunThatShouldNotBeIsLogged(t *testing.T) {
	var figures []string
	lines := logOf(func() {
		synctest.Test(t, func(t *testing.T) {
			var shown atomic.Bool
			w := newWorld(t, "a", "b")
			w.workers = func(c worker.Client) worker.Client {
				return &ghostClient{Client: c, worker: "w-a1", run: worker.Running{Task: submission.TaskRef{ID: "s"}, Run: 7}, shown: &shown}
			}
			w.populate()
			holder := w.holderOf("a")
			w.wantEnd(w.submit(holder, "s", 1, runhost.Work{Time: 50 * ms}, true), submission.Done)
			shown.Store(true)
			time.Sleep(2 * time.Second)
			figures = scrape(w.vms[holder])
			w.end()
		})
	})
	got := withAll(lines, `"kept: run listed that should not be"`)
	if len(got) != 1 || len(withAll(got, `id="s" step=0 index=0 run=7 worker="w-a1" shard="a/`, "token=", "started_here=false", `task_state="submission has left"`,
		"newest_run=0", `newest_at=""`, `released="not released"`, `released_ago="unknown"`)) != 1 {
		t.Errorf("%q, want one line about the run", got)
	}
	if got := withAll(figures, "pumiceyard_kept_unexpected_runs_total{"); len(got) != 1 || !strings.HasSuffix(got[0], " 1") {
		t.Errorf("the counter of such runs is %q, want 1", got)
	}
}
