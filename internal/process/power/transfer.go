package power

import (
	"sort"
	"time"
)

// TransferID names a transfer. Sequences of one incarnation only grow.
type TransferID struct {
	Incarnation uint64 // of the giver
	Sequence    uint64
}

// Transfer moves watts from one entry VM's pool to another's. The giver has
// lowered the allotments it comes from, and each worker has confirmed, before
// the transfer exists.
type Transfer struct {
	ID         TransferID
	From, To   VM
	Revision   uint64 // the watts are void under any other plan
	Milliwatts Milliwatts
}

// Ack ends the repetition of a transfer.
type Ack struct {
	ID   TransferID
	From VM   // the receiver
	Void bool // the watts were not taken and never will be: they are stranded
}

// moves is the state of the transfers of one entry VM.
type moves struct {
	sequence uint64
	// promised is what peers were promised and the pool did not hold yet.
	promised map[VM]Milliwatts
	// outgoing has at most one unacknowledged transfer for each peer. A later
	// one is made only after the acknowledgement, so that a receiver has to
	// remember no more than the last sequence of each giver.
	outgoing map[VM]*outgoing
	// taken is the last sequence taken from each giver.
	taken map[VM]uint64

	nextRequest time.Time
	holdUntil   time.Time
}

// outgoing is an unacknowledged transfer.
type outgoing struct {
	transfer Transfer
	next     time.Time     // of the next repetition
	wait     time.Duration // before the repetition after that, doubled each time
}

func newMoves() moves {
	return moves{
		promised: map[VM]Milliwatts{},
		outgoing: map[VM]*outgoing{},
		taken:    map[VM]uint64{},
	}
}

// reset voids all moves. The sequence goes on, so that an identity is never
// used twice.
func (m *moves) reset() {
	sequence := m.sequence
	*m = newMoves()
	m.sequence = sequence
}

// Receive takes a transfer into the pool, once. Without an acknowledgement the
// giver repeats it.
func (l *Ledger) Receive(now time.Time, t Transfer) (ack Ack, ok bool) {
	ack = Ack{ID: t.ID, From: l.self}
	if t.Revision > l.plan.Revision {
		// Not heard of the plan yet: the repetition will be taken.
		return Ack{}, false
	}
	if t.To != l.self || t.Revision < l.plan.Revision {
		// What goes wrong otherwise: an earlier incarnation of this VM took
		// the transfer, put it on a worker and died before it answered; taken
		// again, the watts would count twice.
		ack.Void = true
		return ack, true
	}
	if t.ID.Sequence <= l.moves.taken[t.From] {
		return ack, true
	}
	l.moves.taken[t.From] = t.ID.Sequence
	l.pool += t.Milliwatts
	l.note(now, WattsReceived, t.From.Name, t.Milliwatts)
	return ack, true
}

// Acked ends the repetition of a transfer.
func (l *Ledger) Acked(ack Ack) {
	for to, out := range l.moves.outgoing {
		if out.transfer.ID == ack.ID {
			delete(l.moves.outgoing, to)
			return
		}
	}
}

// Requested decides on a peer's request: at most half of what is unused here
// goes, and nothing while this VM asks for watts itself, so that watts do not
// move back and forth.
func (l *Ledger) Requested(now time.Time, r Request) []Action {
	if r.To != l.self || r.From == l.self || now.Before(l.moves.holdUntil) {
		return nil
	}
	if l.moves.promised[r.From] > 0 || l.moves.outgoing[r.From] != nil {
		return nil
	}
	amount := min(r.Milliwatts, l.spare()/2)
	if amount < l.settings.MinTransfer {
		return nil
	}
	l.moves.promised[r.From] = amount
	return l.collect(now, amount, PeerAsked, nil)
}

// spare is what is unused at this VM's workers.
func (l *Ledger) spare() Milliwatts {
	var sum Milliwatts
	for _, a := range l.order {
		if l.converted(a) {
			sum += a.spare(l.settings.KeepPermille)
		}
	}
	return sum
}

// collect lowers unused allotments by up to amount. The watts reach the pool
// when the workers confirm.
func (l *Ledger) collect(now time.Time, amount Milliwatts, why Reason, actions []Action) []Action {
	for _, a := range l.order {
		if amount <= 0 {
			break
		}
		if !l.converted(a) {
			continue
		}
		part := min(amount, a.spare(l.settings.KeepPermille))
		if part <= 0 {
			continue
		}
		amount -= part
		record := a.record
		record.Allotted -= part
		actions = l.allot(now, a, record, why, actions)
	}
	return actions
}

// serve sends promised watts once the pool holds them, or holds all that will
// come because no worker has a confirmation outstanding. They have left the
// pool before the transfer is sent: a lost transfer strands them.
func (l *Ledger) serve(now time.Time, actions []Action) []Action {
	for _, to := range sortedVMs(l.moves.promised) {
		amount := l.moves.promised[to]
		if l.moves.outgoing[to] != nil || (l.pool < amount && l.waiting()) {
			continue
		}
		delete(l.moves.promised, to)
		amount = min(l.pool, amount)
		if amount <= 0 {
			continue
		}
		l.pool -= amount
		actions = append(actions, l.send(now, to, amount))
	}
	return actions
}

// waiting reports whether a worker has yet to confirm an allotment.
func (l *Ledger) waiting() bool {
	for _, a := range l.order {
		if a.pending {
			return true
		}
	}
	return false
}

// send makes a transfer.
func (l *Ledger) send(now time.Time, to VM, amount Milliwatts) Action {
	l.moves.sequence++
	t := Transfer{
		ID:         TransferID{l.self.Incarnation, l.moves.sequence},
		From:       l.self,
		To:         to,
		Revision:   l.plan.Revision,
		Milliwatts: amount,
	}
	l.moves.outgoing[to] = &outgoing{
		transfer: t,
		next:     now.Add(l.settings.RetryEvery),
		wait:     l.settings.RetryEvery,
	}
	l.note(now, PeerAsked, to.Name, amount)
	return Send{Transfer: t, Reason: PeerAsked}
}

// retry repeats transfers that were not acknowledged in time.
func (l *Ledger) retry(now time.Time, actions []Action) []Action {
	for _, to := range sortedVMs(l.moves.outgoing) {
		out := l.moves.outgoing[to]
		if now.Before(out.next) {
			continue
		}
		out.wait = min(2*out.wait, l.settings.SummaryTTL)
		out.next = now.Add(out.wait)
		actions = append(actions, Send{Transfer: out.transfer, Reason: AnswerMissing})
	}
	return actions
}

// inTransfer is what has left the pool and is not acknowledged.
func (l *Ledger) inTransfer() Milliwatts {
	var sum Milliwatts
	for _, out := range l.moves.outgoing {
		sum += out.transfer.Milliwatts
	}
	return sum
}

// sortedVMs gives the keys of a map in a fixed order.
func sortedVMs[V any](m map[VM]V) []VM {
	if len(m) == 0 {
		return nil
	}
	keys := make([]VM, 0, len(m))
	for vm := range m {
		keys = append(keys, vm)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Name != keys[j].Name {
			return keys[i].Name < keys[j].Name
		}
		return keys[i].Incarnation < keys[j].Incarnation
	})
	return keys
}
