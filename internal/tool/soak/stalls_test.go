package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against soaks that all play the same half of the code: stalls must be on for some seeds and off for others,
// with each number of processors, as the seed says.
func TestSeedsDetermineTheStalls(t *testing.T) {
	const vms = 4
	on, procs := 0, make(map[int]int)
	for seed := range uint64(100) {
		st := stallsOf(seed, vms)
		if again := stallsOf(seed, vms); st.on != again.on || !slices.Equal(st.procs, again.procs) {
			t.Fatalf("seed %d has two plans of stalls", seed)
		}
		if !st.on {
			continue
		}
		on++
		if len(st.procs) != vms {
			t.Errorf("seed %d says the processors of %d VMs, want %d", seed, len(st.procs), vms)
		}
		for _, n := range st.procs {
			procs[n]++
		}
	}
	if on < 35 || on > 65 {
		t.Errorf("stalls are on for %d of 100 seeds, want about one in %d", on, stallsEvery)
	}
	for _, n := range []int{1, 2, 4} {
		if share := float64(procs[n]) / float64(on*vms); share < 0.2 || share > 0.5 {
			t.Errorf("%.2f of the VMs run on %d processors, want about a third", share, n)
		}
	}
	if len(procs) != 3 {
		t.Errorf("VMs run on these numbers of processors: %v", procs)
	}
}

// Guards against known seeds that no longer play what made them fail, because something new draws from the random
// numbers of the faults.
func TestSeedsKeepTheirFaults(t *testing.T) {
	for seed, want := range map[uint64]string{
		1:    "silence, replies lost, kill, silence, replies lost, planned stop",
		22:   "silence, replies lost, planned stop, silence, pause, connections reset",
		25:   "evacuation, new connections reset, replies lost, delay, reload, evacuation",
		47:   "kill, delay, connections reset, pause, replies lost, silence",
		136:  "new connections reset, connections reset, replies lost, connections reset, connections reset, silence",
		145:  "delay, kill, replies lost, replies lost, silence, kill",
		4307: "silence, replies lost, new connections reset, reload, planned stop, reload",
	} {
		s := &soak{rand: rand.New(rand.NewPCG(seed, 1))}
		for i := range 4 {
			s.vms = append(s.vms, &process{name: fmt.Sprintf("vm%d", i+1)})
		}
		for range 6 {
			p, err := newProxy("127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			s.workerProxies = append(s.workerProxies, p)
		}
		var got []string
		for range 6 {
			kind := s.randomFault().kind
			got = append(got, kind)
		}
		if strings.Join(got, ", ") != want {
			t.Errorf("seed %d begins with %q, want %q", seed, strings.Join(got, ", "), want)
		}
	}
}

// isSuspended reports whether a process is suspended by a signal.
func isSuspended(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

// Guards against stalls that miss what they are for: a VM must be suspended when it orders a start, or after a while if
// it orders none, and must go on afterwards, on as many processors as the seed says.
func TestStallBeginsWhenAStartIsOrdered(t *testing.T) {
	for name, c := range map[string]struct {
		line    string
		atStart int
	}{
		"starts":    {`"kept: start" id=1`, 1},
		"no starts": {`"kept: stop" id=1`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			daemon := filepath.Join(dir, "daemon")
			script := "#!/bin/sh\necho procs $GOMAXPROCS\nwhile sleep 0.01; do echo '" + c.line + "'; done\n"
			if err := os.WriteFile(daemon, []byte(script), 0o700); err != nil {
				t.Fatal(err)
			}
			p := &process{name: "vm1", logPath: filepath.Join(dir, "vm1.log"), procs: 2}
			if err := p.run(daemon); err != nil {
				t.Fatal(err)
			}
			defer func() {
				p.signal(syscall.SIGKILL)
				<-p.exitChannel()
			}()
			s := &soak{vms: []*process{p}}
			var err error
			if s.faults, err = newFaultLog(dir, 1); err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				s.stall(p, time.Second)
				close(done)
			}()
			pid := p.cmd.Process.Pid
			await(t, "the process is suspended", func() bool { return isSuspended(pid) })
			<-done
			await(t, "the process goes on", func() bool { return !isSuspended(pid) })
			if s.stallCount != 1 || s.stallsAtStarts != c.atStart {
				t.Errorf("%d stalls, %d at a start, want 1 and %d", s.stallCount, s.stallsAtStarts, c.atStart)
			}
			log, err := os.ReadFile(p.logPath)
			if err != nil || !strings.HasPrefix(string(log), "procs 2\n") || !strings.Contains(string(log), c.line) {
				t.Errorf("the log is %q (%v)", log, err)
			}
			faults, err := os.ReadFile(filepath.Join(dir, "1-faults.log"))
			if err != nil || strings.Count(string(faults), `kind="stall" target="vm1"`) != 2 {
				t.Errorf("the log of the faults is %q (%v), want the begin and the end of a stall", faults, err)
			}
		})
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen in time: %s", what)
		}
	}
}

// Guards against stalls that begin at a start of earlier, or that cut a VM's log.
func TestOneStallForOneStart(t *testing.T) {
	var onStart atomic.Pointer[func()]
	var log strings.Builder
	w := &startWatcher{log: &log, onStart: &onStart}
	calls := 0
	f := func() { calls++ }
	for _, b := range []string{`"kept: start" 1`, `"kept: stop"`, `"kept: start" 2`, `"kept: start" 3`} {
		if _, err := w.Write([]byte(b)); err != nil {
			t.Fatal(err)
		}
		want := 0
		switch {
		case strings.HasSuffix(b, "1"):
			onStart.Store(&f)
		case strings.Contains(b, "start"):
			want = 1
		}
		if calls != want {
			t.Errorf("called %d times after %s, want %d", calls, b, want)
		}
	}
	if want := `"kept: start" 1"kept: stop""kept: start" 2"kept: start" 3`; log.String() != want {
		t.Errorf("the log is %s, want %s", log.String(), want)
	}
}
