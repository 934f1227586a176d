package workload

import (
	"errors"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/deploy"
)

func sample(t *testing.T, name string) *Profile {
	t.Helper()
	p, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSamplesAreValid(t *testing.T) {
	for name := range samples {
		sample(t, name)
	}
}

// The same seed gives the same arrivals, whatever the shares of resubmitted and
// cancelled jobs; another seed gives others.
func TestScheduleFollowsItsSeed(t *testing.T) {
	first, second := Schedule(sample(t, "burst")), Schedule(sample(t, "burst"))
	if len(first) < 1000 {
		t.Fatalf("%d arrivals", len(first))
	}
	for i := range first {
		first[i].Stream, second[i].Stream = nil, nil
	}
	if !reflect.DeepEqual(first, second) {
		t.Error("the same profile gave two schedules")
	}
	shares := sample(t, "burst")
	shares.Streams[0].ResubmitShare, shares.Streams[0].CancelShare = 0.5, 0.5
	for i, a := range Schedule(shares) {
		if a.At != first[i].At || !reflect.DeepEqual(a.Runs, first[i].Runs) {
			t.Fatalf("a share moved arrival %d", i)
		}
	}
	other := sample(t, "burst")
	other.Seed++
	if Schedule(other)[0].At == first[0].At {
		t.Error("another seed gave the same first arrival")
	}
}

// Arrivals come at the stated rate, within four standard deviations, in and out
// of a burst, and none before the stream starts.
func TestScheduleKeepsRates(t *testing.T) {
	p := &Profile{Seed: 7, DurationMillis: 40_000, Streams: []Stream{{
		JobsPerSecond: 100, Tasks: Range{1, 3}, RunMillis: 50, StartMillis: 10_000,
		ResubmitShare: 0.25, CancelShare: 0.25,
		Bursts: []Burst{{AtMillis: 20_000, ForMillis: 10_000, Factor: 4}},
	}}}
	var spans [4]int
	var resubmitted, cancelled int
	var sizes [4]int
	arrivals := Schedule(p)
	for _, a := range arrivals {
		spans[a.At/(10*time.Second)]++
		sizes[len(a.Runs)]++
		if a.ResubmitAfter > 0 {
			resubmitted++
		}
		if a.CancelAfter > 0 {
			cancelled++
		}
	}
	near := func(what string, got, want, slack int) {
		if got < want-slack || got > want+slack {
			t.Errorf("%s: %d, want %d within %d", what, got, want, slack)
		}
	}
	near("before the start", spans[0], 0, 0)
	near("steady", spans[1], 1000, 127)
	near("burst", spans[2], 4000, 253)
	near("after the burst", spans[3], 1000, 127)
	near("resubmitted", resubmitted, len(arrivals)/4, 136)
	near("cancelled", cancelled, len(arrivals)/4, 136)
	for n := 1; n <= 3; n++ {
		near("jobs of a size", sizes[n], len(arrivals)/3, 147)
	}
}

// A site that answers nothing for a minute moves no arrival: each job is
// submitted at its own time, so its wait is counted.
func TestDriveIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := Schedule(sample(t, "ventilsvaz"))
		var mu sync.Mutex
		late := 0
		held := Drive(t.Context(), arrivals, len(arrivals), func(_ *Arrival, due time.Time) {
			mu.Lock()
			if time.Now() != due {
				late++
			}
			mu.Unlock()
			time.Sleep(time.Minute)
		})
		if late != 0 || held != (Held{}) {
			t.Errorf("%d of %d jobs were not submitted when due, held back: %+v", late, len(arrivals), held)
		}
	})
}

// The bound on jobs under way holds, and what it kept back is told.
func TestDriveTellsWhatItHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := make([]Arrival, 3) // all due at once
		var waited []time.Duration
		held := Drive(t.Context(), arrivals, 1, func(_ *Arrival, due time.Time) {
			waited = append(waited, time.Since(due)) // one at a time
			time.Sleep(time.Second)
		})
		if want := (Held{Jobs: 2, Longest: time.Second}); held != want {
			t.Errorf("held back %+v, want %+v", held, want)
		}
		if want := []time.Duration{0, time.Second, 2 * time.Second}; !reflect.DeepEqual(waited, want) {
			t.Errorf("waits %v, want %v", waited, want)
		}
	})
}

// A profile with one wrong thing is refused, with its path and what is allowed.
func TestProfileIsValidated(t *testing.T) {
	text, err := deploy.Files.ReadFile("tsagaan-shavar/load.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, path string }{
		{`"document": "tsagaan-shavar"`, `"document": "elsewhere"`, "document"},
		{`"duration_millis": 20000`, `"duration_millis": 0`, "duration_millis"},
		{`"max_under_way": 4000`, `"max_under_way": 0`, "max_under_way"},
		{`"workers": 50`, `"workers": 2`, "site.workers"},
		{`"account": "desk"`, `"account": "nobody"`, "streams[2].account"},
		{`"key": "demo-desk-key"`, `"key": "demo-foremen-key"`, "streams[2].key"},
		{`"template": "crew-assignment"`, `"template": "no-such"`, "streams[2].template"},
		{`"jobs_per_second": 60`, `"jobs_per_second": -1`, "streams[1].jobs_per_second"},
		{`"min": 60`, `"min": 61`, "streams[4].tasks.max"},
		{`"max": 60`, `"max": 401`, "streams[4].tasks.max"},
		{`"cancel_share": 0.1`, `"cancel_share": 1.1`, "streams[4].cancel_share"},
		{`"factor": 4`, `"factor": -4`, "streams[0].bursts[0].factor"},
		{`"kind": "kill_worker"`, `"kind": "kill_rack"`, "faults[2].kind"},
		{`"index": 20`, `"index": 50`, "faults[3].index"},
		{`"index": 2
`, `"index": 2, "for_millis": 5
`, "faults[0].for_millis"},
	} {
		wrong := strings.Replace(string(text), c.from, c.to, 1)
		if wrong == string(text) {
			t.Fatalf("the sample has no %s", c.from)
		}
		_, err := Parse([]byte(wrong))
		var field *FieldError
		if !errors.As(err, &field) || field.Path != c.path || field.Allowed == "" {
			t.Errorf("%s: got %v, want a refusal of %s", c.to, err, c.path)
		}
	}
	p := sample(t, "burst")
	for d, valid := range map[time.Duration]bool{0: false, -time.Second: false, time.Minute: true, 25 * time.Hour: false} {
		if err := p.SetDuration(d); (err == nil) != valid {
			t.Errorf("duration %v: %v", d, err)
		}
	}
	for _, wrong := range []string{
		strings.Replace(string(text), `"seed"`, `"sead"`, 1),
		string(text) + "{}",
		"",
	} {
		if _, err := Parse([]byte(wrong)); err == nil {
			t.Errorf("accepted: %.40q and %d more bytes", wrong, max(len(wrong)-40, 0))
		}
	}
}

// The README's task that fails: its worker reports what the input asks for, after
// the run time that it names.
func TestTaskThatFails(t *testing.T) {
	out := Behaviour("crew-assignment", []byte(`{"run_micros":50000,"fail":"the crew is on leave"}`))
	if out.Failure != "the crew is on leave" || out.Run != 50*time.Millisecond || out.Output != nil {
		t.Errorf("the task goes as %+v", out)
	}
}
