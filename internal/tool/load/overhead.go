package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

// overhead is what the tool itself costs, measured against a server in this
// process that answers at once. The server's own work is in it, so it is an
// upper bound.
type overhead struct {
	jobs        int
	cpuPerJob   time.Duration
	responseP50 time.Duration
	responseP99 time.Duration
	wrong       int // answers that were not what the server sends
}

// overheadError says that the tool did not get or misread the instant server's
// answers. Its figures of any site would be worth nothing.
type overheadError struct{ wrong, jobs int }

func (e *overheadError) Error() string {
	return fmt.Sprintf("%d of %d answers of the tool's own server were missing or wrong", e.wrong, e.jobs)
}

const (
	overheadJobs    = 2000
	overheadCallers = 4
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it fails on bad arguments only
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureOverhead submits the profile's first jobs to the instant server, a few
// at a time, each after the one before.
func measureOverhead(ctx context.Context, p *workload.Profile) (*overhead, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: instantServer()}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	steady := p.Steady()
	arrivals := workload.Schedule(steady)
	arrivals = arrivals[:min(len(arrivals), overheadJobs)]
	t := newTransport()
	defer t.inner.CloseIdleConnections()
	accounts := make(map[string]*account)
	for _, s := range steady.Streams {
		if accounts[s.Account], err = newAccount(s.Key, []string{"http://" + l.Addr().String()}, t); err != nil {
			return nil, err
		}
	}
	o := drain(ctx, arrivals, accounts)
	if o.wrong > 0 {
		return nil, &overheadError{o.wrong, o.jobs}
	}
	return o, nil
}

// drain submits the jobs one after another in each of a few goroutines.
func drain(ctx context.Context, arrivals []workload.Arrival, accounts map[string]*account) *overhead {
	times := hdrhistogram.New(1, time.Minute.Microseconds(), histogramDigits)
	o := &overhead{jobs: len(arrivals)}
	var next atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	cpu := cpuTime()
	for range overheadCallers {
		group.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(arrivals); i = next.Add(1) - 1 {
				a := &arrivals[i]
				own := accounts[a.Stream.Account]
				r := play(ctx, a, time.Now(), callers{own: own.client, elsewhere: own.elsewhere})
				mu.Lock()
				_ = times.RecordValue(r.Took.Microseconds())
				if r.Wrong || r.Outcome == noAnswer {
					o.wrong++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	o.cpuPerJob = (cpuTime() - cpu) / time.Duration(max(o.jobs, 1))
	o.responseP50 = time.Duration(times.ValueAtPercentile(50)) * time.Microsecond
	o.responseP99 = time.Duration(times.ValueAtPercentile(99)) * time.Microsecond
	return o
}

// Messages of the instant server.
type (
	instantTicket struct {
		Ticket           string `json:"ticket"`
		ExpiryUnixMillis int64  `json:"expiry_unix_millis"`
	}
	instantTickets struct {
		Tickets []instantTicket `json:"tickets"`
	}
	instantAnswer struct {
		Outcome string `json:"outcome"`
		Outputs []int  `json:"outputs"`
	}
)

const instantTicketTTL = 10 * time.Minute

// instantServer answers each submission at once with the right outputs.
func instantServer() http.Handler {
	var tickets atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Count int `json:"count"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		var out instantTickets
		for range body.Count {
			name := "t" + strconv.FormatInt(tickets.Add(1), 10)
			out.Tickets = append(out.Tickets, instantTicket{name, time.Now().Add(instantTicketTTL).UnixMilli()})
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	mux.HandleFunc("PUT /v1/submissions/{ticket}", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Tasks []workload.TaskInput `json:"tasks"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		out := instantAnswer{Outcome: "complete"}
		for _, t := range body.Tasks {
			out.Outputs = append(out.Outputs, t.Echo)
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	return mux
}
