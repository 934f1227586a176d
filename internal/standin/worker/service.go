package worker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/ring"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

const (
	eventQueueSize = 1 << 14
	maxFollow      = 30 * time.Second
	retryDivisor   = 4 // a denied holder is told to retry after a quarter of the remaining lease time
)

// event is one item to send to the lease holder: a task result, the answer to a
// heartbeat, or the confirmation of an allotment or throttle.
type event struct {
	id        ticket.ID
	result    *pb.TaskResult
	heartbeat uint64
	// allotment and throttled confirm settings that the holder made.
	allotment *pb.AllotmentAnswer
	throttled *pb.Throttle
}

// stream is the connection of one lease holder.
type stream struct {
	epoch  uint64
	events *ring.Ring[event]
}

func (s *stream) push(id ticket.ID, r *pb.TaskResult) {
	s.events.TryPush(event{id: id, result: r})
}

// Handler returns the HTTP handler of the worker service.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := pumiceyardv1connect.NewWorkerServiceHandler(w, wire.HandlerOptions()...)
	mux.Handle(path, handler)
	return mux
}

var errDead = connect.NewError(connect.CodeUnavailable, errors.New("the worker was killed"))

// Hold implements WorkerService: it grants or denies the lease and serves the
// holder's stream.
func (w *Worker) Hold(ctx context.Context, conn *connect.BidiStream[pb.HoldRequest, pb.HoldResponse]) error {
	first, err := conn.Receive()
	if err != nil {
		return err
	}
	s, answer := w.acquire(time.Now(), first.GetAcquire())
	if answer == nil {
		return errDead
	}
	if err := conn.Send(answer); err != nil || s == nil {
		return err
	}
	go w.receiveLoop(conn, s)
	return w.sendLoop(ctx, conn, s)
}

// receiveLoop handles the holder's messages until the stream ends.
func (w *Worker) receiveLoop(conn *connect.BidiStream[pb.HoldRequest, pb.HoldResponse], s *stream) {
	defer s.events.Close()
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if !w.handleRequest(time.Now(), s, m) {
			return
		}
	}
}

// sendLoop sends queued events to the holder; all that are queued go out as one
// message.
func (w *Worker) sendLoop(ctx context.Context, conn *connect.BidiStream[pb.HoldRequest, pb.HoldResponse], s *stream) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.events.Ready():
		}
		closed := s.events.Closed()
		m := mergeEvents(s.events.Drain())
		if w.isSilent() {
			continue
		}
		if m != nil {
			w.countSent()
			if m.Beat != 0 {
				m.Usage = w.usage()
			}
			if err := conn.Send(m); err != nil {
				return err
			}
		}
		if closed {
			return nil
		}
	}
}

// mergeEvents combines queued events into one message with one result group per
// submission.
func mergeEvents(events []event) *pb.HoldResponse {
	if len(events) == 0 {
		return nil
	}
	m := &pb.HoldResponse{}
	groups := make(map[ticket.ID]*pb.ResultGroup, 4)
	for _, e := range events {
		if e.result == nil {
			e.addTo(m)
			continue
		}
		g := groups[e.id]
		if g == nil {
			g = &pb.ResultGroup{Submission: wire.IDMessage(e.id)}
			groups[e.id] = g
			m.Results = append(m.Results, g)
		}
		g.Results = append(g.Results, e.result)
	}
	return m
}

func (w *Worker) countSent() {
	w.mu.Lock()
	w.traffic.Sent++
	w.mu.Unlock()
}

// addTo adds an event that is not a task result to a message. One field each is
// enough, as a holder has at most one allotment and one throttle in flight.
func (e *event) addTo(m *pb.HoldResponse) {
	m.Beat = max(m.Beat, e.heartbeat)
	if e.allotment != nil {
		m.Allotment = e.allotment
	}
	if e.throttled != nil {
		m.Throttled = e.throttled
	}
}

func (w *Worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Silent
}

func (w *Worker) usage() *pb.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &pb.Usage{
		Milliwatts: w.draw(),
		AgeMillis:  uint32(w.cfg.UsageLag.Milliseconds()),
		Running:    uint32(w.running),
	}
}

// acquire grants or denies the lease. Another entry VM gets it only after the
// holder has released it or it has expired on this worker's clock. Each grant
// advances the lease epoch, which is the fencing token of the holder's messages.
func (w *Worker) acquire(now time.Time, a *pb.Acquire) (*stream, *pb.HoldResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || a == nil {
		return nil, nil
	}
	if w.holder != 0 && w.holder != a.Incarnation && now.Before(w.leaseUntil) {
		remaining := w.leaseUntil.Sub(now)
		return nil, &pb.HoldResponse{Denied: &pb.Denied{
			Reason:           "held",
			Holder:           w.holderName,
			RetryAfterMillis: uint32((remaining / retryDivisor).Milliseconds()) + 1,
		}}
	}
	w.endStream()
	w.epoch++
	w.holder, w.holderName = a.Incarnation, a.EntryVm
	w.ttl = min(time.Duration(a.TtlMillis)*time.Millisecond, maxTTL)
	w.leaseUntil = now.Add(w.ttl)
	w.stream = &stream{epoch: w.epoch, events: ring.New[event](eventQueueSize)}
	if a.AllottedMilliwatts != 0 {
		w.power.allotted = min(w.power.allotted, uint64(a.AllottedMilliwatts))
		w.updateSpeed(now)
	}
	return w.stream, &pb.HoldResponse{Granted: &pb.Granted{
		Epoch:            w.epoch,
		TtlMillis:        uint32(w.ttl.Milliseconds()),
		Capacity:         w.cfg.Capacity,
		IdleMilliwatts:   w.cfg.IdleMilliwatts,
		Running:          w.runningLoads(),
		Record:           w.power.record,
		Incarnation:      w.cfg.Incarnation,
		ThrottlePermille: w.power.throttle,
	}}
}

// runningLoads lists the tasks that run here, started by earlier holders, so that a
// new holder accounts for their slots and watts exactly.
func (w *Worker) runningLoads() []*pb.TaskLoad {
	var runningLoads []*pb.TaskLoad
	for id, sub := range w.submissions {
		for index, t := range sub.tasks {
			if t.state == pb.TaskState_TASK_STATE_RUNNING {
				ref := &pb.TaskRef{Submission: wire.IDMessage(id), Index: index}
				runningLoads = append(runningLoads, &pb.TaskLoad{Task: ref, Each: t.each, ChargedMilliwatts: t.charged})
			}
		}
	}
	return runningLoads
}

// endStream closes the holder's connection. The caller holds mu.
func (w *Worker) endStream() {
	if w.stream != nil {
		w.stream.events.Close()
		w.stream = nil
	}
}

// handleRequest handles one message of a holder and reports whether the stream
// goes on.
func (w *Worker) handleRequest(now time.Time, s *stream, m *pb.HoldRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return false
	}
	w.traffic.Received++
	if w.faults.Silent {
		return true
	}
	w.dropExpired(now)
	current := s.epoch == w.epoch && w.holder != 0
	if m.Release {
		if current {
			w.holder = 0
			w.endStream()
		}
		return false
	}
	if m.Beat != 0 {
		if !current || now.After(w.leaseUntil) {
			return false
		}
		w.leaseUntil = now.Add(w.ttl)
		s.events.TryPush(event{heartbeat: m.Beat})
	}
	if current && m.Epoch == s.epoch {
		w.handlePower(now, s, m)
	}
	for _, g := range m.Starts {
		w.startGroup(now, s, m.Epoch, g)
	}
	for _, r := range m.Stops {
		if current {
			w.stop(wire.ID(r.Submission), r.Index)
		}
	}
	return true
}

// handlePower applies the power settings of the lease holder. A checkpoint is
// treated as a stop: the stand-in does not resume checkpointed tasks.
func (w *Worker) handlePower(now time.Time, s *stream, m *pb.HoldRequest) {
	if m.Throttle != nil && m.Throttle.Permille > 0 {
		s.events.TryPush(event{throttled: w.applyThrottle(now, m.Throttle)})
	}
	if m.Allotment != nil {
		s.events.TryPush(event{allotment: w.applyAllotment(now, m.Allotment)})
	}
	for _, r := range m.Checkpoints {
		w.stop(wire.ID(r.Submission), r.Index)
	}
}

func (w *Worker) startGroup(now time.Time, s *stream, epoch uint64, g *pb.StartGroup) {
	if len(g.Index) != len(g.Input) {
		return
	}
	id := wire.ID(g.Submission)
	for i := range g.Index {
		if r := w.start(now, epoch, g, i); r != nil {
			s.push(id, r)
		}
	}
}

// Seal implements WorkerService. From now on the worker refuses starts under a
// generation lower than the request's; it answers with the tasks that did start.
func (w *Worker) Seal(ctx context.Context, req *connect.Request[pb.SealRequest]) (*connect.Response[pb.SealResponse], error) {
	if w.isSilent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return nil, errDead
	}
	w.calls.Seals++
	m := req.Msg
	if m.WorkerIncarnation != 0 && m.WorkerIncarnation != w.cfg.Incarnation {
		return connect.NewResponse(&pb.SealResponse{Restarted: true}), nil
	}
	id := wire.ID(m.Submission)
	sub := w.submission(id, m.ExpiryUnixMillis)
	resp := &pb.SealResponse{Results: sub.results(), Closed: sub.closed}
	if want := wire.Generation(m.Generation); !want.Less(sub.minGeneration) {
		sub.minGeneration = want
		resp.Sealed = true
		if m.Closed != "" && sub.closed == "" {
			sub.closed = m.Closed
		}
	}
	resp.Generation = wire.GenerationMessage(sub.minGeneration)
	return connect.NewResponse(resp), nil
}

func (s *submission) results() []*pb.TaskResult {
	out := make([]*pb.TaskResult, 0, len(s.tasks))
	for index, t := range s.tasks {
		out = append(out, t.result(index))
	}
	return out
}

// Follow implements WorkerService: it waits until a requested task has ended.
func (w *Worker) Follow(ctx context.Context, req *connect.Request[pb.FollowRequest]) (*connect.Response[pb.FollowResponse], error) {
	wait := min(time.Duration(req.Msg.WaitMillis)*time.Millisecond, maxFollow)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		results, changed, err := w.endedTasks(req.Msg)
		if err != nil {
			return nil, err
		}
		if len(results) > 0 {
			return connect.NewResponse(&pb.FollowResponse{Results: results}), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return connect.NewResponse(&pb.FollowResponse{}), nil
		case <-changed:
		}
	}
}

var errNoRecord = connect.NewError(connect.CodeNotFound, errors.New("no record of the task: the worker was restarted or the ticket has expired"))

// endedTasks returns those of the requested tasks that have ended. An unknown task
// is an error: only started tasks are followed, so the worker was restarted, and
// without the error the caller would wait forever for the task to end.
func (w *Worker) endedTasks(m *pb.FollowRequest) ([]*pb.TaskResult, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls.Follows++
	if w.dead {
		return nil, nil, errDead
	}
	sub := w.submissions[wire.ID(m.Submission)]
	if sub == nil {
		return nil, nil, errNoRecord
	}
	var out []*pb.TaskResult
	for _, index := range m.Index {
		t := sub.tasks[index]
		if t == nil {
			return nil, nil, errNoRecord
		}
		if t.state != pb.TaskState_TASK_STATE_RUNNING {
			out = append(out, t.result(index))
		}
	}
	return out, sub.changed, nil
}

// StopSubmission implements WorkerService.
func (w *Worker) StopSubmission(_ context.Context, req *connect.Request[pb.StopSubmissionRequest]) (*connect.Response[pb.StopSubmissionResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return nil, errDead
	}
	w.calls.Stops++
	id := wire.ID(req.Msg.Submission)
	resp := &pb.StopSubmissionResponse{}
	if sub := w.submissions[id]; sub != nil {
		for index := range sub.tasks {
			if w.stop(id, index) {
				resp.Stopped++
			}
		}
	}
	return connect.NewResponse(resp), nil
}
