package submission

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

func validRecord() *Record {
	return &Record{
		ID:    "5c0e7a21d94b36f8",
		Steps: []Step{{Count: 4, CPUMilli: 500, MemMB: 256, Estimate: 900 * time.Millisecond}, {Count: 20, DependsOn: []int{0}}},
	}
}

// Guards against requests that crash the entry VMs that receive them, or that make capacity appear free.
func TestValidateNamesTheInvalidField(t *testing.T) {
	if err := validRecord().Validate(); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string]func(*Record){
		"id":                        func(r *Record) { r.ID = "a/b" },
		"steps":                     func(r *Record) { r.Steps[1].Count = maxTasks },
		"step 0: count":             func(r *Record) { r.Steps[0].Count = 2_000_000_000 },
		"step 0: processor":         func(r *Record) { r.Steps[0].CPUMilli = -1 },
		"step 0: memory":            func(r *Record) { r.Steps[0].MemMB = -1 },
		"step 0: accelerators":      func(r *Record) { r.Steps[0].GPU = -1 },
		"step 0: estimate":          func(r *Record) { r.Steps[0].Estimate = -1 },
		"step 0: most per worker":   func(r *Record) { r.Steps[0].MaxPerWorker = -1 },
		"step 0: first task":        func(r *Record) { r.Steps[0].FirstIndex = -1 },
		"step 1: steps before it":   func(r *Record) { r.Steps[1].DependsOn = []int{1} },
		"step 0: steps before it":   func(r *Record) { r.Steps[0].DependsOn = []int{-1} },
		"steps: no tasks":           func(r *Record) { r.Steps[0].Count, r.Steps[1].Count = 0, 0 },
		"steps: 0 of them, 1 to 10": func(r *Record) { r.Steps = nil },
	} {
		r := validRecord()
		change(r)
		err := r.Validate()
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Guards against a stored record that crashes the process, or that changes when it is stored again.
func FuzzRecord(f *testing.F) {
	f.Add(validRecord().Encode())
	f.Add([]byte(`{"s":[{"n":4096}],"p":{"d":[{"Step":0,"Index":1}],"f":{"0.3":2}},"o":["0.1"]}`))
	f.Add([]byte(`{"s":[{"n":-1},{"n":2}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRecord("id", value)
		if err != nil {
			return
		}
		if r.CriticalPath() < 0 {
			t.Errorf("%q has a critical path of %s", value, r.CriticalPath())
		}
		again, err := DecodeRecord("id", r.Encode())
		if err != nil {
			t.Fatalf("%q cannot be decoded after it was encoded again: %v", value, err)
		}
		if !slices.Equal(again.AllTasks(), r.AllTasks()) || !slices.Equal(again.Progress.Done, r.Progress.Done) ||
			!maps.Equal(again.Progress.Failed, r.Progress.Failed) || len(again.Progress.Losses) != len(r.Progress.Losses) {
			t.Errorf("%q is %+v after it was encoded again, want %+v", value, again, r)
		}
	})
}
