package top

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// vmMetrics returns a VM's metrics at the n-th read.
func vmMetrics(name, shard string, n int) string {
	return fmt.Sprintf(`# TYPE pumiceyard_kept_submissions_open gauge
pumiceyard_kept_submissions_open{entry_vm="%[1]s"} 3
# TYPE pumiceyard_kept_store_calls_total counter
pumiceyard_kept_store_calls_total{entry_vm="%[1]s",answered="true"} %[3]d
pumiceyard_kept_store_calls_total{entry_vm="%[1]s",answered="false"} 2
# TYPE pumiceyard_kept_shard_workers gauge
pumiceyard_kept_shard_workers{entry_vm="%[1]s",shard="%[2]s"} 12
pumiceyard_kept_shard_workers{entry_vm="%[1]s",shard="lost/0"} 0
# TYPE pumiceyard_kept_shard_room_cores gauge
pumiceyard_kept_shard_room_cores{entry_vm="%[1]s",shard="%[2]s"} 192
pumiceyard_kept_shard_room_cores{entry_vm="%[1]s",shard="lost/0"} 0
# TYPE pumiceyard_kept_submissions_ended_total counter
pumiceyard_kept_submissions_ended_total{entry_vm="%[1]s",queue="desk",outcome="done"} %[3]d
pumiceyard_kept_submissions_ended_total{entry_vm="%[1]s",queue="desk",outcome="abandoned"} 1
`, name, shard, 100*n)
}

func TestSampleOmitsFormerShardsAndSumsOutcomes(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, vmMetrics("a1", "a/0", 1))
	}))
	defer vm.Close()
	s, err := Read(context.Background(), http.DefaultClient, vm.URL)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Shards) != 1 || s.Shards["a/0"].CapacityCores != 192 {
		t.Errorf("shards %+v, want a/0 alone with 192 cores", s.Shards)
	}
	if s.StoreCalls != 102 || s.UnansweredStoreCalls != 2 {
		t.Errorf("%v calls of the store, %v unanswered, want 102 and 2", s.StoreCalls, s.UnansweredStoreCalls)
	}
	if q := s.Queues["desk"]; q.Done != 100 || q.Refused != 1 {
		t.Errorf("queue %+v, want 100 done and 1 refused", q)
	}
}

// Guards against an empty display while one VM is down: of two VMs one answers with an error.
// The other must be shown, and the first listed with its error.
func TestUnreachableVMIsReportedWithReason(t *testing.T) {
	reads := 0
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads++
		fmt.Fprint(w, vmMetrics("a1", "a/0", reads))
	}))
	defer up.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	defer down.Close()
	var out bytes.Buffer
	err := Run(context.Background(), Options{URLs: []string{up.URL, down.URL}, Interval: time.Millisecond, Count: 2, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"a/0    a1      12", "no answer: metrics of " + down.URL, "404 Not Found"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not shown in:\n%s", want, text)
		}
	}
}

func TestRateIsUnknownAfterVMRestart(t *testing.T) {
	calls := func(s *Sample) float64 { return s.StoreCalls }
	began := time.Now()
	before := &Sample{At: began, StoreCalls: 500}
	if r := vmRate(before, &Sample{At: began.Add(time.Second), StoreCalls: 20}, calls); r != unknownRate {
		t.Errorf("rate %s of a counter that decreased, want none", r)
	}
	if r := vmRate(before, &Sample{At: began.Add(2 * time.Second), StoreCalls: 600}, calls); r != "50.0" {
		t.Errorf("rate %s, want 50.0", r)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	good := Options{URLs: []string{"http://x"}, Interval: time.Second}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for _, bad := range []Options{{Interval: time.Second}, {URLs: good.URLs}, {URLs: good.URLs, Interval: 1, Count: -1}} {
		if bad.Validate() == nil {
			t.Errorf("invalid options %+v were accepted", bad)
		}
	}
}

// Guards against an operator believing that a domain is evacuated while some VMs still start work
// there: only one of two VMs knows of the evacuation, and the display must say so.
func TestEvacuationIsShownWithNumberOfInformedVMs(t *testing.T) {
	now := map[string]*Sample{
		"u1": {EntryVM: "a1", Evacuated: []string{"a"}},
		"u2": {EntryVM: "b1"},
	}
	var out bytes.Buffer
	if err := writeSnapshot(&out, nil, now, nil); err != nil {
		t.Fatal(err)
	}
	if want := "evacuated: a, known at 1 of 2 VMs"; !strings.Contains(out.String(), want) {
		t.Errorf("no line %q in:\n%s", want, out.String())
	}
}
