package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a violation that names a submission whose lines have to be looked for in the logs of all VMs, and
// against lines of another submission whose key has the same beginning.
func TestLinesOfABrokenSubmission(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing", "logs")
	faults, err := newFaultLog(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if err := faults.close(); err != nil {
		t.Fatal(err)
	}
	const header = "I1203 18:30:5"
	for name, lines := range map[string][]string{
		"7-vm1.log": {
			header + `1.000000 1 a.go:1] "kept: accepted" id="s7-c0-1"`,
			header + `1.500000 1 a.go:1] "kept: accepted" id="s7-c0-12"`,
			header + `1.600000 1 a.go:1] "kept: accepted" id="crashing-s7-c0-1"`,
			header + `4.000000 1 a.go:1] "kept: ended" id="s7-c0-1"`,
		},
		"7-vm2.log":    {header + `3.000000 1 a.go:1] "kept: start" task="s7-c0-1.0.0"`, "panic: s7-c0-12"},
		"7-faults.log": {header + `2.000000 soak] "fault begins" kind="kill" target="vm1"`, header + `5.000000 soak] "fault ends" kind="kill" target="vm1"`},
		"8-vm1.log":    {header + `2.500000 1 a.go:1] "kept: accepted" id="s7-c0-1"`},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	s := &soak{opt: Options{Seed: 7, LogDir: dir, Out: &out}}
	s.printLines(&Violation{Guarantee: "no task may run twice at the same time: s7-c0-1.0.0 runs twice at once"})
	want := []string{
		"seed 7: the lines of s7-c0-1 and the faults until then:",
		"vm1     " + header + `1.000000 1 a.go:1] "kept: accepted" id="s7-c0-1"`,
		"faults  " + header + `2.000000 soak] "fault begins" kind="kill" target="vm1"`,
		"vm2     " + header + `3.000000 1 a.go:1] "kept: start" task="s7-c0-1.0.0"`,
		"vm1     " + header + `4.000000 1 a.go:1] "kept: ended" id="s7-c0-1"`,
	}
	if got := strings.TrimSpace(out.String()); got != strings.Join(want, "\n") {
		t.Errorf("printed\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
	out.Reset()
	s.printLines(&Violation{Guarantee: "a task that crashes its workers must be given up"})
	if out.String() != "" {
		t.Errorf("printed %q for a violation that names no submission", out.String())
	}
}
