package vm

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// A cancellation of a stored submission is in the store when it is acknowledged, but its holder reads the record only now
// and then, and the message to it may be lost with a link. Two ways bring it to the holder:
//
//   - The VM that has stored it repeats the message until the present holder of the shard reports the submission as ended.
//   - The holder's search for records shows that the record is gone. That serves if the VM that has stored it is lost.

const (
	cancelRepeatInterval = 150 * time.Millisecond // between messages to a holder that has not confirmed
	// cancelHeardWait is how long the acknowledgement of a cancellation waits for the holder: what is acknowledged by then
	// needs no VM to repeat it.
	cancelHeardWait = 200 * time.Millisecond
	// maxBlindNotices is how often all VMs are told of a cancellation whose shard is not known.
	maxBlindNotices = 3
	// cancelNoticeRetention is how long the message is repeated, and sent to new holders of the shard. A new holder reads
	// the records after its claim, so one that is not known after this time has not read the record.
	cancelNoticeRetention = 10 * time.Second
)

// cancelNotice is the message to a holder that a submission has been cancelled.
type cancelNotice struct {
	shard       string // "": not known, as the submission had been cancelled before
	cancelledAt time.Duration
	toldAt      time.Duration
	times       int    // that the holder was told
	heardUnder  uint64 // fencing token of the newest holder that has confirmed it; 0: none has
	answerBy    time.Duration
	waiters     []chan StateAnswer // callers whose acknowledgement waits for the holder
}

// awaitCancelHeard has the holder of a cancelled submission told until it has confirmed, and answers the caller then, or
// after cancelHeardWait.
func (e *engine) awaitCancelHeard(ev cancelledEvent) {
	n := e.cancelNotices[ev.id]
	if n == nil {
		n = &cancelNotice{cancelledAt: e.now, answerBy: e.now}
		e.cancelNotices[ev.id] = n
	}
	if ev.found.record != nil && n.shard == "" {
		n.shard = ev.found.record.Shard
		n.answerBy = max(min(e.now+cancelHeardWait, ev.requestedAt+cancelTimeout), e.now)
	}
	n.waiters = append(n.waiters, ev.reply)
	e.tellCancelled(ev.id, n)
}

// tellCancelled tells the present holder of a cancelled submission unless it has confirmed, and answers callers that have
// waited for that.
func (e *engine) tellCancelled(id submission.ID, n *cancelNotice) {
	holder, token := e.presentHolder(n.shard)
	own := e.shards[n.shard]
	isDue := n.times == 0 || e.now-n.toldAt >= cancelRepeatInterval
	switch {
	case n.shard == "":
		if isDue && n.times < maxBlindNotices {
			n.times, n.toldAt = n.times+1, e.now
			e.broadcastCancelled(id)
		}
	case own != nil:
		if n.heardUnder != own.holding.Token {
			own.core.CancelStored(e.now, id)
		}
		n.heardUnder = own.holding.Token
	case isDue && holder != "" && n.heardUnder != token:
		n.times, n.toldAt = n.times+1, e.now
		if n.times == 2 {
			klog.InfoS("kept: cancellation sent again", "id", id, "shard", n.shard, "holder", holder, "token", token, "link_up", e.linkUp[holder])
		}
		f := e.frame(holder)
		f.Cancelled = append(f.Cancelled, &pb.KeptRef{Id: string(id)})
		f.Queries = append(f.Queries, &pb.KeptRef{Id: string(id), Shard: n.shard})
	}
	if n.heardUnder > 0 || e.now >= n.answerBy {
		n.answer()
	}
}

// answer acknowledges the cancellation to the callers that wait.
func (n *cancelNotice) answer() {
	replyAll(n.waiters, StateAnswer{State: submission.Cancelled})
	n.waiters = nil
}

// presentHolder returns the newest holder of a shard that is known here, other than this VM, and its fencing token. A
// holder's load may arrive before the store tells of its claim.
func (e *engine) presentHolder(name string) (holder string, token uint64) {
	holding := e.site.Holding(name)
	holder, token = holding.Holder, holding.Token
	if l := e.loads[name]; l != nil && l.token > token {
		holder, token = l.holder, l.token
	}
	if holder == e.vm.config.Name {
		return "", token
	}
	return holder, token
}

// noteCancelHeard records that a holder has confirmed that a submission has ended.
func (e *engine) noteCancelHeard(id submission.ID, report stateReport) {
	n := e.cancelNotices[id]
	if n == nil || report.shard != n.shard || !report.state.Final() || report.token <= n.heardUnder {
		return
	}
	n.heardUnder = report.token
	if n.times > 1 {
		klog.InfoS("kept: cancellation confirmed", "id", id, "shard", n.shard, "token", report.token, "sent", n.times, "after", e.now-n.cancelledAt)
	}
	n.answer()
}

// repeatCancelNotices repeats what holders have not confirmed, and forgets what is older than cancelNoticeRetention.
func (e *engine) repeatCancelNotices() {
	if e.now-e.noticesCheckedAt < checkInterval {
		return
	}
	e.noticesCheckedAt = e.now
	for id, n := range e.cancelNotices {
		e.tellCancelled(id, n)
		if e.now-n.cancelledAt < cancelNoticeRetention {
			continue
		}
		if _, token := e.presentHolder(n.shard); n.shard != "" && n.heardUnder != token {
			klog.InfoS("kept: a holder has not confirmed a cancellation, its search will show it", "id", id, "shard", n.shard, "token", token, "sent", n.times)
		}
		delete(e.cancelNotices, id)
	}
}

// maxAbsentReads is how many records that a search has not shown are read, two reads each. Others are read after the next
// search.
const maxAbsentReads = 32

// absentEvent brings records that a search has not shown, as they are now.
type absentEvent struct {
	shard string
	token uint64
	found map[submission.ID]storeLookup
}

// checkAbsent reads the records of submissions that a search, which may be of stale data, has not shown.
func (e *engine) checkAbsent(name string, h *heldShard, absent []submission.ID) {
	if len(absent) == 0 || h.checkingAbsent {
		return
	}
	h.checkingAbsent = true
	token := h.holding.Token
	absent = absent[:min(len(absent), maxAbsentReads)]
	e.vm.spawn(func() {
		found := make(map[submission.ID]storeLookup)
		for _, id := range absent {
			lookup, err := e.vm.readSubmission(h.ctx, id)
			if err != nil {
				klog.InfoS("kept: a record that a search has not shown cannot be read", "id", id, "shard", name, "why", err)
				pause.For(h.ctx, scanRetryDelay)
				break // the next search finds the others again
			}
			found[id] = lookup
		}
		e.vm.deliver(absentEvent{shard: name, token: token, found: found})
	})
}

// apply ends the submissions whose records are gone.
func (ev absentEvent) apply(e *engine) {
	h := e.heldUnder(ev.shard, ev.token)
	if h == nil {
		return
	}
	h.checkingAbsent = false
	for id, found := range ev.found {
		e.endAbsent(h, id, found)
	}
}

// endAbsent ends a submission here if its record is not in the shard any more.
func (e *engine) endAbsent(h *heldShard, id submission.ID, found storeLookup) {
	readAt := uint64(math.MaxUint64) // a record that is gone stays away
	if found.record != nil {
		readAt = found.revision
	}
	if found.record != nil && found.record.Shard == h.holding.Shard || !h.core.ExpectsRecord(id, readAt) {
		return
	}
	klog.InfoS("kept: the record of an unfinished submission is gone", "id", id, "shard", h.holding.Shard, "token", h.holding.Token, "state", found.state.String())
	if found.state == submission.Cancelled {
		h.core.CancelStored(e.now, id)
	} else {
		h.core.RecordConflict(e.now, id)
	}
	if found.state.Final() {
		e.applyStateReport(id, stateReport{state: found.state})
	}
}
