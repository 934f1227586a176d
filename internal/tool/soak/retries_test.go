package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/kept/link"
)

// fourVMs returns a soak of four VMs in two failure domains, without processes.
func fourVMs(t *testing.T) *soak {
	s := &soak{}
	for i := range 4 {
		p := &process{name: fmt.Sprintf("vm%d", i+1), domain: domains[i%len(domains)]}
		for _, x := range []**proxy{&p.peerProxy, &p.storeProxy, &p.callerProxy} {
			*x = newProxyTo(t, "127.0.0.1:1")
		}
		s.vms = append(s.vms, p)
	}
	return s
}

func newProxyTo(t *testing.T, target string) *proxy {
	t.Helper()
	p, err := newProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

// Guards against soaks that all play the same half of the code: retries must be on for some seeds and off for others.
func TestSeedsDetermineTheRetries(t *testing.T) {
	on := 0
	for seed := range uint64(100) {
		played := retriesOf(seed)
		if again := retriesOf(seed); played != again {
			t.Fatalf("seed %d is played with retries and without", seed)
		}
		if played {
			on++
		}
	}
	if on < 35 || on > 65 {
		t.Errorf("retries are on for %d of 100 seeds, want about one in %d", on, retriesEvery)
	}
}

// Guards against retries that miss a task that runs in two failure domains: each attempt must go to another domain than
// the one before, and some callers must leave early, but not the last attempt of any.
func TestAttemptsGoToAnotherDomain(t *testing.T) {
	s := fourVMs(t)
	r := rand.New(rand.NewPCG(1, 400))
	leaving, firstAt := 0, make(map[string]int)
	for range 100 {
		attempts := s.drawAttempts(r)
		firstAt[attempts[0].at.name]++
		for i, a := range attempts {
			if i > 0 && a.at.domain == attempts[i-1].at.domain {
				t.Fatalf("two attempts in a row at VMs of %s", a.at.domain)
			}
			if a.stay < attemptTimeout {
				leaving++
			}
		}
		if last := attempts[len(attempts)-1]; len(attempts) != maxAttempts || last.stay != attemptTimeout {
			t.Fatalf("%d attempts, the last one for %v", len(attempts), last.stay)
		}
	}
	if leaving < 100 || leaving > 200 {
		t.Errorf("%d of 300 attempts are left early, want about one in %d", leaving, leavesEvery)
	}
	if len(firstAt) != len(s.vms) {
		t.Errorf("the first attempts go to %v, want all VMs", firstAt)
	}
}

// Guards against callers that send work again too early, after a result or after the end of the faults.
func TestAttemptsEndWithAResult(t *testing.T) {
	const soakTime = 8 * time.Second
	lost := errors.New("connection lost")
	for name, c := range map[string]struct {
		answers []error
		takes   time.Duration
		want    string
		after   time.Duration
	}{
		"at once":          {[]error{nil}, time.Second, "done", time.Second},
		"the third":        {[]error{lost, lost, nil}, time.Second, "done", 3*time.Second + 2*retryDelay},
		"none":             {[]error{lost, lost, lost, lost}, 100 * time.Millisecond, "without result", 400*time.Millisecond + 3*retryDelay},
		"after the faults": {[]error{lost, lost}, 5 * time.Second, "without result", 10*time.Second + retryDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), soakTime)
				defer cancel()
				startedAt, made := time.Now(), 0
				outcome := retry(ctx, make([]attempt, maxAttempts), func(attempt) (client.State, error) {
					time.Sleep(c.takes)
					made++
					return client.StateDone, c.answers[min(made, len(c.answers))-1]
				})
				if outcome != c.want || made != len(c.answers) || time.Since(startedAt) != c.after {
					t.Errorf("%q after %d attempts and %v, want %q after %d and %v", outcome, made, time.Since(startedAt), c.want, len(c.answers), c.after)
				}
			})
		})
	}
}

// Guards against a violation whose lines do not say when its caller sent it and left.
func TestAttemptsAreLogged(t *testing.T) {
	s, dir := fourVMs(t), t.TempDir()
	var err error
	if s.callers, err = newEventLog(dir, 3, "callers"); err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	p := s.vms[0]
	p.callerProxy = newProxyTo(t, silent.Addr().String())
	if _, err := s.submitFor(attempt{p, 50 * time.Millisecond}, newSmallWork("s3-c4-1", 1, 1000, true)); err == nil {
		t.Fatal("a result from a VM that does not answer")
	}
	if err := s.callers.close(); err != nil {
		t.Fatal(err)
	}
	lines, err := linesOf(dir, 3, "s3-c4-1")
	if err != nil || len(lines) != 2 || !strings.Contains(lines[0].text, `"attempt begins" id="s3-c4-1" vm="vm1" stay="50ms"`) ||
		!strings.Contains(lines[1].text, `"attempt ends" id="s3-c4-1" vm="vm1" state="none" left=true`) {
		t.Errorf("the lines are %v (%v)", lines, err)
	}
	if log, err := os.ReadFile(filepath.Join(dir, "3-callers.log")); err != nil || strings.Count(string(log), "\n") != 2 {
		t.Errorf("the log is %q (%v)", log, err)
	}
}

// streams notes which VMs have streams to a VM, and from which a stream has ended.
type streams struct {
	mu    sync.Mutex
	from  []string
	ended []string
}

func (s *streams) PeerUp(string, uint64)   {}
func (s *streams) PeerLost(string, string) {}
func (s *streams) Frame(from string, _ *pb.KeptFrame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.from, from) {
		s.from = append(s.from, from)
	}
}

func (s *streams) InboundStreamEnded(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, from)
}

// Guards against a reset of all connections of a VM that leaves out its streams to other VMs, or takes those of VMs
// with similar names along.
func TestConnectionsFromAVMAreReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var seen, ignored streams
	server := link.NewServer(&pb.KeptHeartbeat{EntryVm: "vm9"}, &seen, func() time.Duration { return 0 }) // no gap between frames ends a stream
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	p := newProxyTo(t, l.Addr().String())
	names := []string{"vm1", "vm2", "vm21"}
	for _, name := range names {
		s := link.DefaultSettings()
		s.SilenceTimeout, s.OpenTimeout = time.Minute, time.Minute // no stream may end because this machine is slow
		defer link.Open(t.Context(), s, &pb.KeptHeartbeat{EntryVm: name, Incarnation: 1}, "vm9", p.address(), nil, &ignored).Close()
	}
	await(t, "all streams are open", func() bool {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		return len(seen.from) == len(names)
	})
	p.resetConnectionsFrom("vm2")
	await(t, "a stream ends", func() bool {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		return len(seen.ended) > 0
	})
	time.Sleep(50 * time.Millisecond) // for others to end as well, which must not happen
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if !slices.Equal(seen.ended, []string{"vm2"}) {
		t.Errorf("streams from %v have ended, want that from vm2 only", seen.ended)
	}
}

// Guards against a kind of fault of the connections that is never drawn.
func TestConnectionFaultsAreAllDrawn(t *testing.T) {
	s := fourVMs(t)
	kinds := make(map[string]int)
	r := rand.New(rand.NewPCG(1, 401))
	for range 300 {
		f := s.randomConnectionFault(r)
		kinds[f.kind]++
	}
	for _, kind := range []string{"all connections reset", "requests lost", "replies lost"} {
		if kinds[kind] < 60 {
			t.Errorf("%q is drawn %d times of 300", kind, kinds[kind])
		}
	}
}
