package shard

import "time"

// trust is what runs on a worker have shown of it.
type trust struct {
	streak    int // failed runs since the last that completed
	lastJob   *job
	slow      float64 // how much longer runs take here than elsewhere; 0: not known
	ejected   time.Duration
	ejections int
}

// A worker that fails what completes elsewhere is left alone for a while. Without it a
// worker that fails all at once draws all work, as it always has room. Sound workers
// fail two runs in a thousand, so two failures of different submissions without a
// completed run between them are enough; one makes it the last choice, for one task at
// a time.
const (
	streakMost = 2               // failed runs in a row, of different submissions
	ejectFirst = 2 * time.Second // doubled with each ejection
	ejectMost  = 8 * time.Second
	slowWeight = 0.2 // of a new run in the mean
	slowFloor  = 0.5
	doubtCost  = 10 // of a worker whose last run failed
)

func (r *trust) failed(now time.Duration, j *job) {
	if r.lastJob == j {
		return // counted
	}
	r.lastJob = j
	r.streak++
	if r.streak >= streakMost && now >= r.ejected {
		r.ejected = now + min(ejectFirst<<r.ejections, ejectMost)
		r.ejections = min(r.ejections+1, 4)
	}
}

// pardon takes back a failure of a submission that failed elsewhere too.
func (r *trust) pardon(j *job) {
	if r.lastJob != j || r.streak == 0 {
		return
	}
	r.lastJob = nil
	r.streak--
	r.ejected = 0
}

// completed notes a run and the ratio of its time to the expected one.
func (r *trust) completed(ratio float64) {
	r.streak = 0
	r.lastJob = nil
	r.ejections = 0
	if r.slow == 0 {
		r.slow = 1
	}
	r.slow += (ratio - r.slow) * slowWeight
}

// admits reports whether a worker may get a task beside those it has.
func (r *trust) admits(now time.Duration, beside int) bool {
	if now < r.ejected {
		return false
	}
	return r.streak == 0 || beside == 0
}

// pace is how long a queue's tasks take, against their callers' estimates.
type pace struct {
	factor float64
	runs   int
}

// Learning of a queue's pace.
const (
	paceWeight = 0.05
	paceEarly  = 10 // runs for which the plain mean is used
)

func (s *Shard) factor(queue string) float64 {
	if p := s.pace[queue]; p != nil {
		return p.factor
	}
	return 1
}

// learn takes the time of a run that has completed.
func (s *Shard) learn(now time.Duration, h *host, t *task) {
	if t.startedAt == 0 || t.step.Estimate <= 0 {
		return
	}
	took := float64(now - t.startedAt)
	queue := t.job.rec.Queue
	p := s.pace[queue]
	if p == nil {
		p = &pace{factor: 1}
		s.pace[queue] = p
	}
	ratio := took / float64(t.step.Estimate)
	h.record.completed(ratio / p.factor)
	p.runs++
	weight := max(paceWeight, 1/float64(min(p.runs, paceEarly)+1))
	p.factor += (min(ratio, 4*p.factor) - p.factor) * weight
}

// cost ranks workers for a task: how much longer it takes there.
func (s *Shard) cost(t *task, r *room) float64 {
	slow := r.host.record.slow
	if slow == 0 {
		slow = 1
	}
	cost := max(slow, slowFloor)
	if t.step.DataRack != "" && t.step.DataRack != r.host.info.Rack {
		cost *= remoteFactor
	}
	if r.host.record.streak > 0 {
		cost *= doubtCost
	}
	if t.avoid == r.host {
		cost *= avoidFactor
	}
	return float64(int(cost * costSteps))
}

const (
	remoteFactor = 1.5 // time of a task away from its data, by the platform's figures
	avoidFactor  = 100 // where it failed before: last choice
	costSteps    = 5   // differences under a fifth are noise
)
