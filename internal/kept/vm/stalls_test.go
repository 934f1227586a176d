package vm

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// Guards against a stalled VM of which the log shows nothing, and against a stall before a round that is taken for one
// within it.
func TestLateAndLongRoundsAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		eventAfter time.Duration // when an event comes in, from the end of the previous round; 0: none does
		previous   time.Duration // how long that round took
		idle       time.Duration // from its end to the begin of the next one
		late, long int           // rounds counted as such
		line       string        // "": there is none
	}{
		"calm":                           {5 * ms, 10 * ms, 5 * ms, 0, 0, ""},
		"no event":                       {0, 10 * ms, idleRoundInterval, 0, 0, ""},
		"an event that waits a little":   {5 * ms, 10 * ms, 150 * ms, 0, 0, ""},
		"an event that waits long":       {5 * ms, 10 * ms, 255 * ms, 1, 0, `late="250ms" previous_took="10ms" events=1 `},
		"a timer that is late":           {0, 10 * ms, idleRoundInterval + 300*ms, 1, 0, `late="300ms" previous_took="10ms" events=0 `},
		"a long round":                   {5 * ms, 400 * ms, 5 * ms, 0, 1, `late="0s" previous_took="400ms" events=1 `},
		"an event within the long round": {-100 * ms, 400 * ms, 0, 0, 1, `late="0s" previous_took="400ms" events=1 `},
	} {
		t.Run(name, func(t *testing.T) {
			var figures []string
			lines := logOfEngine(t, func(e *engine, now *time.Duration) {
				e.beginRound(*now)
				*now += c.previous
				if c.eventAfter < 0 {
					*now += c.eventAfter
					e.vm.post(waitingEvent{})
					*now -= c.eventAfter
				}
				e.endRound(*now)
				if c.eventAfter > 0 {
					*now += c.eventAfter
					e.vm.post(waitingEvent{})
					*now -= c.eventAfter
				}
				*now += c.idle
				e.beginRound(*now)
				figures = scrape(e.vm)
			})
			got := withAll(lines, `"kept: round late"`)
			if c.line == "" && len(got) > 0 || c.line != "" && (len(got) != 1 || !strings.Contains(got[0], c.line)) {
				t.Errorf("%q, want %q", got, c.line)
			}
			for how, want := range map[string]int{"late": c.late, "long": c.long} {
				if got := withAll(figures, "slow_rounds_total{", fmt.Sprintf("how=%q", how)); len(got) != 1 || !strings.HasSuffix(got[0], fmt.Sprint(" ", want)) {
					t.Errorf("%q, want %d", got, want)
				}
			}
			for _, h := range []string{"round_seconds", "round_late_seconds"} {
				if got := withAll(figures, "pumiceyard_kept_"+h+"_count{"); len(got) != 1 || !strings.HasSuffix(got[0], " 1") {
					t.Errorf("%q, want one round", got)
				}
			}
		})
	}
}

// Guards against a slow VM that fills its log with its own stalls.
func TestRoundLinesAreOneASecond(t *testing.T) {
	lines := logOfEngine(t, func(e *engine, now *time.Duration) {
		for range 8 { // within 2 s
			e.beginRound(*now)
			*now += 250 * ms
			e.endRound(*now)
		}
	})
	if got := withAll(lines, `"kept: round late"`); len(got) != 2 || len(withAll(got, "omitted=3")) != 1 {
		t.Errorf("%q, want two, the second with 3 omitted", got)
	}
}

// Guards against rounds of a running VM that are not measured, and against lines of a VM that nothing holds up.
func TestRoundsOfARunningVMAreMeasured(t *testing.T) {
	var figures []string
	lines := logOf(func() {
		testWorld(t, func(w *world) {
			holder := w.holderOf("a")
			w.wantEnd(w.submit(holder, "s", 2, runhost.Work{Time: 50 * ms}, true), submission.Done)
			figures = scrape(w.vms[holder])
		})
	})
	if got := withAll(lines, `"kept: round late"`); len(got) > 0 {
		t.Errorf("%q", got)
	}
	for _, h := range []string{"round_seconds", "round_late_seconds", "start_delay_seconds"} {
		if got := withAll(figures, "pumiceyard_kept_"+h+"_count{"); len(got) != 1 || strings.HasSuffix(got[0], " 0") {
			t.Errorf("%s has no values: %q", h, got)
		}
	}
}
