package admission

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

var start = time.Unix(1_800_000_000, 0)

func quietView() *View {
	return &View{
		Accounts:      map[string]AccountLoad{"a": {Share: 0.5}, "b": {Share: 0.5}},
		DrainRate:     48,
		Largest:       Size{Slots: 8, MemoryBytes: 64 << 30, Milliwatts: 400_000},
		CapMilliwatts: 300_000,
	}
}

func check() Request {
	return Request{Account: "a", Class: Urgent, Tasks: 1, Slots: 1, Expected: 50 * time.Millisecond}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request, *View)
		want   reason.Code
		retry  bool
	}{
		{"no tasks", func(r *Request, _ *View) { r.Tasks = 0 }, reason.MalformedRequest, false},
		{"slots", func(r *Request, _ *View) { r.Slots = 9 }, reason.NeverFits, false},
		{"memory", func(r *Request, _ *View) { r.MemoryBytes = 65 << 30 }, reason.NeverFits, false},
		{"watts of a worker", func(r *Request, _ *View) { r.Milliwatts = 400_001 }, reason.NeverFits, false},
		{"watts of the cap", func(r *Request, _ *View) { r.Milliwatts = 300_001 }, reason.NeverFits, false},
		{"quota", func(r *Request, v *View) { r.Slots = 4; v.Accounts["a"] = AccountLoad{QuotaSlots: 3} }, reason.QuotaExceeded, false},
		{"deadline", func(r *Request, _ *View) { r.Deadline = start.Add(49 * time.Millisecond) }, reason.DeadlineTooShort, false},
		{"too many tasks", func(r *Request, _ *View) { r.Tasks = Defaults().MaxAccountTasks + 1 }, reason.TooManyTasks, false},
		{"draining", func(_ *Request, v *View) { v.Draining = true }, reason.Draining, true},
		{"no workers", func(_ *Request, v *View) { v.DrainRate = 0 }, reason.NoWorkers, true},
		{"account full", func(_ *Request, v *View) { v.Accounts["a"] = AccountLoad{QueuedTasks: Defaults().MaxAccountTasks} }, reason.QueueFull, true},
		{"all full", func(_ *Request, v *View) { v.QueuedTasks = Defaults().MaxQueuedTasks }, reason.QueueFull, true},
		{"queue passes deadline", func(r *Request, v *View) {
			r.Class, r.Deadline = Normal, start.Add(time.Second)
			v.Accounts["a"] = AccountLoad{QueuedWork: 60 * time.Second, Share: 0.5}
		}, reason.DeadlineTooShort, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, v := check(), quietView()
			if refusal := New(Defaults(), 1).Decide(start, r, v); refusal != nil {
				t.Fatalf("refused without cause: %+v", refusal)
			}
			c.change(&r, v)
			got := New(Defaults(), 1).Decide(start, r, v)
			if got == nil || got.Reason != c.want || (got.RetryAfter > 0) != c.retry || got.Detail == "" {
				t.Errorf("got %+v, want %s", got, c.want)
			}
		})
	}
}

// Guards against load shedding that ignores class and account: when one account
// queues more than its share, urgent work and other accounts must not be refused
// like its bulk work.
func TestBrownOutOrder(t *testing.T) {
	taken := func(class Class, account string, queued time.Duration) bool {
		v := quietView()
		work := time.Duration(v.DrainRate) * queued
		v.QueuedWork = work
		v.Accounts["a"] = AccountLoad{QueuedWork: work, Share: 0.5}
		r := check()
		r.Class, r.Account = class, account
		return New(Defaults(), 1).Decide(start, r, v) == nil
	}
	for class := Urgent; class <= Bulk; class++ {
		limit := Defaults().BrownOut[class]
		if !taken(class, "a", limit) || taken(class, "a", limit+time.Second) {
			t.Errorf("class %d is not refused from a wait of %v", class, limit)
		}
		if !taken(class, "b", time.Hour) {
			t.Errorf("class %d of the account that queues nothing is refused", class)
		}
	}
}

// Guards against an overload that outlasts its cause, because refused requests are
// retried at once and without limit.
func TestRetryBudget(t *testing.T) {
	c, v := New(Defaults(), 1), quietView()
	taken := func(retry bool, tries int) int {
		n := 0
		for range tries {
			r := check()
			r.Retry = retry
			if c.Decide(start, r, v) == nil {
				n++
			}
		}
		return n
	}
	if n := taken(true, 1000); n != 20 {
		t.Errorf("%d retries without first attempts, want the burst of 20", n)
	}
	if n := taken(false, 105); n != 105 {
		t.Errorf("%d of 105 first attempts taken", n)
	}
	if n := taken(true, 1000); n != 10 {
		t.Errorf("%d retries after 105 first attempts, want 10", n)
	}
}

func TestRetryAfterIsSpreadAndRepeatable(t *testing.T) {
	v := quietView()
	v.Draining = true
	seen := map[time.Duration]bool{}
	one, two := New(Defaults(), 9), New(Defaults(), 9)
	for range 100 {
		a, b := one.Decide(start, check(), v), two.Decide(start, check(), v)
		if a.RetryAfter != b.RetryAfter {
			t.Fatal("the same seed gives different jitter")
		}
		seen[a.RetryAfter] = true
	}
	if len(seen) < 90 {
		t.Errorf("%d different values in 100 refusals", len(seen))
	}
}

// Checks that more queued work never turns a refusal into an admission, and that an
// admitted request ends by its deadline at the account's share.
func TestMoreWorkNeverAdmitsMore(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("monotone", prop.ForAll(func(class, tasks, deadline, queued, more int) bool {
		decide := func(work int) *Refusal {
			v := quietView()
			v.QueuedWork = time.Duration(work) * time.Millisecond
			v.Accounts["a"] = AccountLoad{QueuedWork: v.QueuedWork, Share: 0.5}
			r := check()
			r.Class, r.Tasks = Class(class), tasks
			r.Deadline = start.Add(time.Duration(deadline) * time.Millisecond)
			return New(Defaults(), 1).Decide(start, r, v)
		}
		before, after := decide(queued), decide(queued+more)
		fits := tasks*50/24 <= deadline
		return (before == nil || after != nil) && (before != nil || fits)
	}, gen.IntRange(0, 2), gen.IntRange(1, 2000), gen.IntRange(1, 20_000), gen.IntRange(0, 2_000_000), gen.IntRange(0, 2_000_000)))
	properties.TestingRun(t)
}

func TestValidateNamesTheSetting(t *testing.T) {
	s := Defaults()
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	s.BrownOut[Bulk] = time.Hour
	if e, ok := s.Validate().(*SettingError); !ok || e.Setting != "brownOut" {
		t.Errorf("got %v", s.Validate())
	}
}

func BenchmarkDecide(b *testing.B) {
	c, v, r := New(Defaults(), 1), quietView(), check()
	r.Deadline = start.Add(time.Second)
	for b.Loop() {
		c.Decide(start, r, v)
	}
}
