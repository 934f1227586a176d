package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/tool/verdict"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// fakeCaller answers each submission after a time.
type fakeCaller struct {
	takes   time.Duration
	tickets []string // one per attempt; all but the last are not run
	answer  client.Answer
	err     error
	resumed []string
	stopped []string
}

func (f *fakeCaller) Submit(_ context.Context, j client.Job) (*client.Answer, error) {
	for _, ticket := range f.tickets {
		j.OnTicket(ticket, "here")
	}
	time.Sleep(f.takes)
	return f.reply()
}

func (f *fakeCaller) Resume(_ context.Context, ticket string, _ client.Job) (*client.Answer, error) {
	f.resumed = append(f.resumed, ticket)
	time.Sleep(f.takes)
	return f.reply()
}

func (f *fakeCaller) Cancel(_ context.Context, ticket string) error {
	f.stopped = append(f.stopped, ticket)
	return nil
}

func (f *fakeCaller) reply() (*client.Answer, error) {
	if f.err != nil {
		return nil, f.err
	}
	a := f.answer
	a.Sent = 1
	if a.Ticket == "" && len(f.tickets) > 0 {
		a.Ticket = f.tickets[len(f.tickets)-1]
	}
	return &a, nil
}

// fakeRecords are starts by ticket; the highest of one task is set apart.
type fakeRecords struct {
	byTicket map[string]int
	highest  int
}

func (f fakeRecords) Starts() (tasks, starts, highest int) {
	for _, n := range f.byTicket {
		starts += n
	}
	return len(f.byTicket), starts, f.highest
}

func (f fakeRecords) StartsOf(token string) int { return f.byTicket[token] }

func twoTasks() *workload.Arrival {
	s := &workload.Stream{Account: "desk", Template: "price-quote"}
	return &workload.Arrival{Stream: s, First: 7, Runs: []time.Duration{time.Second, 2 * time.Second}}
}

func outputs(texts ...string) []json.RawMessage {
	var out []json.RawMessage
	for _, text := range texts {
		out = append(out, json.RawMessage(text))
	}
	return out
}

func whole() client.Answer {
	return client.Answer{Outcome: client.Complete, Outputs: outputs("7", "8")}
}

// Each way in which a site can break a promise is counted, and nothing else is.
func TestBrokenPromisesAreCounted(t *testing.T) {
	good := fakeRecords{map[string]int{"t1": 2}, 1}
	notRun := client.Answer{Outcome: client.NotRun}
	for _, c := range []struct {
		name    string
		caller  fakeCaller
		again   client.Answer // of the submission elsewhere; no outcome: there is none
		records fakeRecords
		want    verdict.Counts
	}{
		{"kept", fakeCaller{answer: whole()}, whole(), good, verdict.Counts{MaxStartsPerTask: 1}},
		{"doubled start", fakeCaller{answer: whole()}, client.Answer{}, fakeRecords{map[string]int{"t1": 3}, 2}, verdict.Counts{MaxStartsPerTask: 2}},
		{"partial", fakeCaller{answer: client.Answer{Outcome: client.Complete, Outputs: outputs("7")}}, client.Answer{}, good, verdict.Counts{MaxStartsPerTask: 1, WrongAnswers: 1}},
		{"another job's", fakeCaller{answer: client.Answer{Outcome: client.Complete, Outputs: outputs("8", "7")}}, client.Answer{}, good, verdict.Counts{MaxStartsPerTask: 1, WrongAnswers: 1}},
		{"another job's to the repeat", fakeCaller{answer: whole()}, client.Answer{Outcome: client.Complete, Outputs: outputs("9", "8")}, good, verdict.Counts{MaxStartsPerTask: 1, WrongAnswers: 1}},
		{"complete and never started", fakeCaller{answer: whole()}, client.Answer{}, fakeRecords{map[string]int{"t1": 1}, 1}, verdict.Counts{MaxStartsPerTask: 1, WrongAnswers: 1}},
		{"not run", fakeCaller{answer: notRun}, client.Answer{}, fakeRecords{}, verdict.Counts{}},
		{"not run, yet started", fakeCaller{answer: notRun}, client.Answer{}, fakeRecords{map[string]int{"t1": 1}, 1}, verdict.Counts{MaxStartsPerTask: 1, FalseNotRun: 1}},
		{"not run at first, yet started", fakeCaller{tickets: []string{"t0", "t1"}, answer: whole()}, client.Answer{}, fakeRecords{map[string]int{"t0": 1, "t1": 2}, 1}, verdict.Counts{MaxStartsPerTask: 1, FalseNotRun: 1}},
		{"two answers", fakeCaller{answer: whole()}, client.Answer{Outcome: client.Failed}, good, verdict.Counts{MaxStartsPerTask: 1, ConflictingAnswers: 1}},
		{"unknown contradicts nothing", fakeCaller{answer: whole()}, client.Answer{Outcome: client.Unknown}, good, verdict.Counts{MaxStartsPerTask: 1}},
		{"no answer", fakeCaller{err: context.DeadlineExceeded}, client.Answer{}, good, verdict.Counts{MaxStartsPerTask: 1, Unanswered: 1}},
		{"no ticket, nothing submitted", fakeCaller{err: &client.NoTicketError{Cause: io.EOF}}, client.Answer{}, fakeRecords{}, verdict.Counts{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own := &c.caller
				own.takes = time.Second
				if own.tickets == nil {
					own.tickets = []string{"t1"}
				}
				a := twoTasks()
				if c.again.Outcome != "" {
					a.ResubmitAfter = time.Millisecond
				}
				c.again.Ticket = own.tickets[0]
				other := &fakeCaller{answer: c.again}
				r := play(t.Context(), a, time.Now(), callers{own: own, elsewhere: func(string) caller { return other }})
				if got := judge([]Result{r}, c.records); got != c.want {
					t.Errorf("counted %+v, want %+v", got, c.want)
				}
			})
		})
	}
}

// The second submission and the cancellation go elsewhere, under the job's own
// ticket, and only while the job runs. The response counts from the scheduled
// arrival, however late the job was submitted.
func TestPlay(t *testing.T) {
	for _, c := range []struct {
		name               string
		resubmit, cancel   time.Duration
		resumed, cancelled []string
	}{
		{name: "plain"},
		{name: "again", resubmit: time.Second, resumed: []string{"t1"}},
		{name: "cancelled", cancel: time.Second, cancelled: []string{"t1"}},
		{name: "again too late", resubmit: time.Hour},
		{name: "cancelled too late", cancel: time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own := &fakeCaller{takes: 2 * time.Second, tickets: []string{"t1"}, answer: whole()}
				other := &fakeCaller{takes: time.Second, answer: whole()}
				elsewhere := func(endpoint string) caller {
					if endpoint != "here" {
						t.Errorf("the job was sent to %q, not here", endpoint)
					}
					return other
				}
				a := twoTasks()
				a.ResubmitAfter, a.CancelAfter = c.resubmit, c.cancel
				r := play(t.Context(), a, time.Now().Add(-time.Minute), callers{own: own, elsewhere: elsewhere})
				if r.Took != time.Minute+2*time.Second {
					t.Errorf("took %v", r.Took)
				}
				if !slices.Equal(other.resumed, c.resumed) || r.Again != (c.resumed != nil) {
					t.Errorf("submitted again: %v, counted %v", other.resumed, r.Again)
				}
				if !slices.Equal(other.stopped, c.cancelled) || r.Cancelled != (c.cancelled != nil) {
					t.Errorf("cancelled: %v, counted %v", other.stopped, r.Cancelled)
				}
			})
		})
	}
}

// Dues follow the weights at both levels, quotas bound them, and what one
// account leaves goes to the others.
func TestDues(t *testing.T) {
	doc := &document.Document{Accounts: []document.Account{
		{Name: "a", Weight: 3},
		{Name: "b", Weight: 1},
		{Name: "c", Weight: 2, Parent: "a"},
		{Name: "d", Weight: 1, QuotaSlots: 2},
	}}
	const slots, end = 10, 10 * time.Second
	for _, c := range []struct {
		name          string
		demand, wants map[string]float64
	}{
		{"all wait", map[string]float64{"a": 900, "b": 900, "c": 900, "d": 900}, map[string]float64{"a": 20, "b": 20, "c": 40, "d": 20}},
		{"quota", map[string]float64{"b": 900, "d": 900}, map[string]float64{"b": 80, "d": 20}},
		{"one asks for little", map[string]float64{"a": 5, "b": 900, "c": 900}, map[string]float64{"a": 5, "b": 25, "c": 70}},
		{"enough for all", map[string]float64{"a": 5, "b": 6}, map[string]float64{"a": 5, "b": 6}},
	} {
		var demands []demand
		for account, amount := range c.demand {
			demands = append(demands, demand{0, account, amount})
		}
		got := dues(doc, demands, slots, end)
		for account := range maps.Keys(got) {
			if math.Abs(got[account]-c.wants[account]) > 0.01 {
				t.Errorf("%s: account %s is due %.2f, want %.2f", c.name, account, got[account], c.wants[account])
			}
		}
	}
}

// Slots count for the account and all that enclose it; the highest stays.
func TestQuotaWatch(t *testing.T) {
	q := newQuotaWatch(&document.Document{Accounts: []document.Account{
		{Name: "a", QuotaSlots: 10},
		{Name: "b", QuotaSlots: 4, Parent: "a"},
		{Name: "c", Parent: "a"},
	}})
	one, two := ticket.ID{Counter: 1}, ticket.ID{Counter: 2}
	q.submitted(one, "b")
	q.submitted(two, "c")
	q.sample(map[ticket.ID]uint32{one: 6, two: 5})
	q.sample(map[ticket.ID]uint32{one: 1})
	if got, want := q.overQuota(), map[string]float64{"a": 1.1, "b": 1.5}; !maps.Equal(got, want) {
		t.Errorf("over quota %v, want %v", got, want)
	}
}

func TestCompare(t *testing.T) {
	older := &Report{Figures: []Figure{{"slower", 2, "x"}, {"same", 0, "x"}, {"gone", 1, "x"}, {"grown from nothing", 0, "x"}}}
	newer := &Report{Figures: []Figure{{"slower", 3, "x"}, {"new", 5, "x"}, {"same", 0, "x"}, {"grown from nothing", 1, "x"}}}
	type row struct {
		name  string
		ratio float64
		known bool
	}
	var got []row
	for _, c := range Compare(older, newer) {
		ratio, known := c.Ratio()
		got = append(got, row{c.Name, ratio, known})
	}
	want := []row{{"slower", 1.5, true}, {"new", 0, false}, {"same", 1, true}, {"grown from nothing", 0, false}, {"gone", 0, false}}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A run against an in-process site with each kind of fault keeps every promise,
// counts traffic of each kind, and its report can be compared with.
func TestRun(t *testing.T) {
	p, err := workload.Load("tsagaan-shavar")
	if err != nil {
		t.Fatal(err)
	}
	p.DurationMillis = 1500
	p.Faults = []workload.Fault{
		{Kind: workload.KillEntryVM, AtMillis: 300, Index: 2},
		{Kind: workload.KillWorker, AtMillis: 400, Index: 3},
		{Kind: workload.FailEverything, AtMillis: 500, Index: 4, ForMillis: 300},
		{Kind: workload.SilentWorker, AtMillis: 600, Index: 5, ForMillis: 300},
	}
	var out bytes.Buffer
	opt := Options{Profile: p, Out: &out, JSON: filepath.Join(t.TempDir(), "report.json")}
	if err := Run(t.Context(), opt); err != nil {
		t.Fatal(err)
	}
	for _, event := range []string{"entry VM e3", "worker w003", "fails every task", "falls silent", "w004 (ub-bayangol) is well", "w005 (ub-bayanzurkh) is well"} {
		if strings.Count(out.String(), event) != 1 {
			t.Errorf("%q was not told once", event)
		}
	}
	report, err := readOlder(opt.JSON)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Figures {
		counted := strings.HasPrefix(f.Name, "bytes at ") || strings.HasPrefix(f.Name, "messages ") || strings.HasPrefix(f.Name, "HTTP ")
		if counted && f.Value <= 0 {
			t.Errorf("%s: %v", f.Name, f.Value)
		}
	}
	var table bytes.Buffer
	printComparison(&table, report, report)
	if rows := strings.Count(table.String(), " 1.000\n"); rows != len(report.Figures) {
		t.Errorf("%d of %d figures of a run equal themselves:\n%s", rows, len(report.Figures), table.String())
	}
}

// The page shows all plots, of finite numbers, and is safe against what names
// hold, also when nothing was answered.
func TestPage(t *testing.T) {
	p, err := workload.Load("burst")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := p.Configuration()
	if err != nil {
		t.Fatal(err)
	}
	a := twoTasks()
	for _, results := range [][]Result{nil, {{Arrival: a, Outcome: client.Complete, Took: time.Second, Tickets: []string{"t"}}}} {
		m := &measurement{profile: p, doc: doc, results: results}
		r := m.report()
		r.plots.marks = []mark{{time.Second, "<script>"}}
		r.plots.draw = []drawPoint{{time.Second, 7, 6}}
		r.plots.capKilowatts = 14
		var out strings.Builder
		if err := r.writeHTML(&out); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(out.String(), "<svg"); n != 4 {
			t.Errorf("%d plots", n)
		}
		for _, bad := range []string{"NaN", "Inf", "<script>"} {
			if strings.Contains(out.String(), bad) {
				t.Errorf("the page holds %q", bad)
			}
		}
	}
}

// Symptom: the race detector stops a run, or lines of the output are mixed. Sequence: a
// profile has two faults at the same moment. Cause: each fault is told by a goroutine of
// its own, and the writer was not guarded.
func TestFaultsAtTheSameMomentAreToldInWholeLines(t *testing.T) {
	var out bytes.Buffer
	r := &run{opt: Options{Out: &out}}
	var under sync.WaitGroup
	for range 50 {
		under.Go(func() { r.say("fault %s", "begins") })
	}
	under.Wait()
	if want := strings.Repeat("fault begins\n", 50); out.String() != want {
		t.Errorf("lines are mixed:\n%s", out.String())
	}
}
