package load

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/verdict"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// measurement is all that a run noted.
type measurement struct {
	profile  *workload.Profile
	doc      *document.Document
	local    *localSite // nil for a site that runs elsewhere
	results  []Result
	planned  int // arrivals
	held     workload.Held
	span     time.Duration // from the first arrival's schedule to the last answer
	cpu      time.Duration // of this process
	exchange exchange
	began    time.Time
}

// Ratios are kept in thousandths, up to a million, to three digits.
const (
	ratioScale      = 1000
	highestRatio    = 1_000_000 * ratioScale
	histogramDigits = 3
)

// ratios is a histogram of response over ideal.
type ratios struct{ *hdrhistogram.Histogram }

func newRatios() ratios { return ratios{hdrhistogram.New(1, highestRatio, histogramDigits)} }

func (r ratios) record(ratio float64) {
	_ = r.RecordValue(min(int64(ratio*ratioScale), highestRatio))
}

func (r ratios) at(percentile float64) float64 {
	return float64(r.ValueAtPercentile(percentile)) / ratioScale
}

// ratio is a complete job's response over its ideal.
func (m *measurement) ratio(r *Result) float64 {
	ideal := r.Arrival.Longest() + m.profile.RoundTrip()
	return float64(r.Took) / float64(ideal)
}

// startRecords are the workers' own records of starts.
type startRecords interface {
	Starts() (tasks, starts, highest int)
	StartsOf(token string) int
}

// judge counts what the promises are checked by. Records are nil for a site
// that runs elsewhere.
func judge(results []Result, records startRecords) verdict.Counts {
	var c verdict.Counts
	for i := range results {
		r := &results[i]
		if r.Outcome == noAnswer && r.Reason != reasonNoTicket {
			c.Unanswered++
		}
		if r.Contradicted {
			c.ConflictingAnswers++
		}
		if r.Wrong || records != nil && incomplete(r, records) {
			c.WrongAnswers++
		}
		if records != nil && ranThoughNotRun(r, records) {
			c.FalseNotRun++
		}
	}
	if records != nil {
		_, _, c.MaxStartsPerTask = records.Starts()
	}
	return c
}

// incomplete reports whether a complete answer has tasks that never started.
func incomplete(r *Result, records startRecords) bool {
	return r.Outcome == client.Complete && records.StartsOf(r.lastTicket()) < len(r.Arrival.Runs)
}

// ranThoughNotRun reports whether a worker started something under a ticket
// that was answered "not run".
func ranThoughNotRun(r *Result, records startRecords) bool {
	for i, token := range r.Tickets {
		last := i == len(r.Tickets)-1
		if last && r.Outcome != client.NotRun {
			continue
		}
		if records.StartsOf(token) > 0 {
			return true
		}
	}
	return false
}

func (r *Result) lastTicket() string { return r.Tickets[len(r.Tickets)-1] }

// report works out all figures.
func (m *measurement) report() *Report {
	r := &Report{
		Profile:  m.profile.Name,
		Seed:     m.profile.Seed,
		Site:     "elsewhere",
		Began:    m.began,
		Outcomes: make(map[string]int),
	}
	var records startRecords
	if m.local != nil {
		r.Site = "in-process"
		records = m.local.site.Records()
	}
	counts := judge(m.results, records)
	m.addOutcomes(r)
	m.addResponses(r)
	m.addMessages(r)
	if m.local != nil {
		m.addStarts(r, records)
		m.addSiteTraffic(r)
		counts.PeakToCapRatio = m.addDraw(r)
		m.addDues(r)
		m.addSlots(r)
	}
	m.addPromises(r, counts)
	m.addTool(r)
	if r.verdict = counts.Check(); r.verdict != nil {
		r.Broken = r.verdict.Error()
	}
	r.plots = m.plotData()
	return r
}

func (m *measurement) jobs() float64 { return float64(max(len(m.results), 1)) }

// sum adds up a number over all results.
func (m *measurement) sum(of func(*Result) int) float64 {
	total := 0
	for i := range m.results {
		total += of(&m.results[i])
	}
	return float64(total)
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (m *measurement) addOutcomes(r *Report) {
	r.add("jobs", float64(m.planned), "jobs scheduled")
	r.add("jobs", float64(len(m.results)), "jobs submitted")
	for _, outcome := range outcomes {
		r.add("jobs", m.sum(func(x *Result) int { return count(x.Outcome == outcome) }), "jobs %s", outcome)
	}
	r.add("jobs", m.sum(func(x *Result) int { return count(x.Again) }), "jobs submitted again while they ran")
	r.add("jobs", m.sum(func(x *Result) int { return count(x.Cancelled) }), "jobs cancelled while they ran")
	for i := range m.results {
		if x := &m.results[i]; x.Outcome != client.Complete {
			r.Outcomes[string(x.Outcome)+" "+x.Reason]++
		}
	}
}

// outcomes are the ways in which a job can end, in the order of reports.
var outcomes = []client.Outcome{client.Complete, client.Failed, client.NotRun, client.Unknown, noAnswer}

// addResponses adds response over ideal of complete jobs, over all and by group.
func (m *measurement) addResponses(r *Report) {
	groups := map[string]ratios{"": newRatios()}
	for i := range m.results {
		x := &m.results[i]
		if x.Outcome != client.Complete {
			continue
		}
		for _, group := range m.groups(x.Arrival.Stream) {
			if _, ok := groups[group]; !ok {
				groups[group] = newRatios()
			}
			groups[group].record(m.ratio(x))
		}
	}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		g := groups[group]
		r.add("x", g.at(50), "response over ideal p50%s", group)
		r.add("x", g.at(99), "response over ideal p99%s", group)
	}
}

// groups names what a stream's responses are grouped by.
func (m *measurement) groups(s *workload.Stream) []string {
	return []string{
		"",
		fmt.Sprintf(", class %s", m.doc.Template(s.Template).Class),
		", template " + s.Template,
		", account " + s.Account,
	}
}

// addMessages adds what went between the callers and the site.
func (m *measurement) addMessages(r *Report) {
	jobs := m.jobs()
	beyond := m.sum(func(x *Result) int { return max(x.Sent-1, 0) })
	refused := m.sum(func(x *Result) int { return count(x.Outcome == client.NotRun) })
	again := m.sum(func(x *Result) int { return count(x.Again) })
	r.add("per job", beyond/jobs, "requests beyond one (wasted)")
	r.add("per job", refused/jobs, "requests whose last answer was a refusal (wasted)")
	r.add("per job", again/jobs, "requests submitted again by the profile")
	r.add("per job", float64(m.exchange.requests)/jobs, "HTTP requests, all")
	r.add("per job", float64(m.exchange.ticketRequests)/jobs, "HTTP requests, for tickets")
	r.add("B per job", float64(m.exchange.bytes)/jobs, "bytes between callers and site")
}

func (m *measurement) addStarts(r *Report, records startRecords) {
	tasks, starts, highest := records.Starts()
	r.add("tasks", float64(tasks), "tasks started")
	r.add("starts per task", float64(starts)/float64(max(tasks, 1)), "starts per started task, mean")
	r.add("starts per task", float64(highest), "starts per task, highest")
}

// addSiteTraffic adds what passed inside the site from the load's first arrival
// to its last answer, heartbeats and lease messages among it.
func (m *measurement) addSiteTraffic(r *Report) {
	now, base := m.local.trafficNow(), m.local.base
	jobs := m.jobs()
	for _, role := range roles {
		r.add("B per job", float64(now.bytes[role]-base.bytes[role])/jobs, "bytes at %s listeners", role)
	}
	r.add("per job", float64(now.workers.Received-base.workers.Received)/jobs, "messages to workers, heartbeats included")
	r.add("per job", float64(now.workers.Sent-base.workers.Sent)/jobs, "messages from workers, heartbeats included")
	r.add("per job", float64(now.workers.Refused-base.workers.Refused)/jobs, "starts refused by workers (wasted)")
	r.add("per job", float64(now.workers.Duplicates-base.workers.Duplicates)/jobs, "starts refused as duplicates (wasted)")
}

// addDraw adds the use of the power cap and returns the peak over the cap.
func (m *measurement) addDraw(r *Report) (peakOverCap float64) {
	limit := float64(m.doc.Site.PowerCapMilliwatts)
	idle := float64(m.local.options.IdleMilliwatts) * float64(m.local.options.Workers)
	draw := &m.local.draw
	r.add("of cap", float64(draw.Peak)/limit, "peak draw over cap")
	r.add("of cap", draw.Mean()/limit, "share of the cap used, mean")
	r.add("of cap", (draw.Mean()-idle)/(limit-idle), "share of the cap above idle used, mean")
	return float64(draw.Peak) / limit
}

// addDues adds the service of each account over its due at the end of the
// arrivals. Service is the run time in slots of jobs that were complete by then.
// Cancelled jobs count on neither side.
func (m *measurement) addDues(r *Report) {
	end := m.profile.Duration()
	service := make(map[string]float64)
	var wanted []demand
	for i := range m.results {
		x := &m.results[i]
		if x.Cancelled {
			continue
		}
		s := x.Arrival.Stream
		d := demand{x.Arrival.At, s.Account, m.slotSeconds(x.Arrival)}
		wanted = append(wanted, d)
		if x.Outcome == client.Complete && x.End() <= end {
			service[s.Account] += d.slotSeconds
		}
	}
	slices.SortFunc(wanted, func(a, b demand) int { return cmp.Compare(a.at, b.at) })
	due := dues(m.doc, wanted, m.local.slots(), end)
	for _, account := range slices.Sorted(maps.Keys(due)) {
		if due[account] > 0 {
			r.add("of due", service[account]/due[account], "service over due, account %s", account)
		}
	}
}

// addSlots adds what accounts occupied of their quotas, sampled, and the most
// that a worker had to run at a time, by its own count.
func (m *measurement) addSlots(r *Report) {
	over := m.local.quotas.overQuota()
	for _, account := range slices.Sorted(maps.Keys(over)) {
		r.add("of quota", over[account], "highest slots in use over quota, account %s", account)
	}
	most := float64(m.local.peakSlotsOfWorker()) / float64(m.local.options.Capacity.Slots)
	r.add("of slots", most, "highest slots in use over slots, any worker")
}

func (m *measurement) slotSeconds(a *workload.Arrival) float64 {
	var run time.Duration
	for _, d := range a.Runs {
		run += d
	}
	slots := m.doc.Template(a.Stream.Template).Declared.Slots
	return run.Seconds() * float64(slots)
}

func (m *measurement) addPromises(r *Report, c verdict.Counts) {
	r.add("jobs", float64(c.WrongAnswers), "wrong or partial answers")
	r.add("jobs", float64(c.ConflictingAnswers), "jobs with two different answers")
	r.add("jobs", float64(c.Unanswered), "jobs without an answer in time")
	if m.local != nil {
		r.add("jobs", float64(c.FalseNotRun), "jobs answered not run that had run")
	}
}

// addTool adds how well the tool kept its schedule, and its process's CPU.
func (m *measurement) addTool(r *Report) {
	late := hdrhistogram.New(1, time.Hour.Microseconds(), histogramDigits)
	for i := range m.results {
		_ = late.RecordValue(max(m.results[i].Late.Microseconds(), 1))
	}
	r.add("jobs", float64(m.held.Jobs), "jobs held back by the bound on jobs under way")
	r.add("ms", float64(m.held.Longest)/float64(time.Millisecond), "longest time a job was held back")
	r.add("us", float64(late.ValueAtPercentile(99)), "submission after schedule p99")
	cpuOf := "the tool"
	if m.local != nil {
		cpuOf = "the tool and the in-process site"
	}
	r.add("us", micros(m.cpu)/m.jobs(), "CPU per job, %s", cpuOf)
	r.add("s", m.span.Seconds(), "time from the first arrival to the last answer")
}
