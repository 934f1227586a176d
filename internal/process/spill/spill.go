package spill

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reason says why tasks go where they go, or why a peer gets none.
type Reason string

// Reasons of a Move.
const (
	FreeHere   Reason = "free_here"   // free slots of this VM
	FreeNear   Reason = "free_near"   // free slots in the own failure domain
	FreeAway   Reason = "free_away"   // free slots in another failure domain
	QueueNear  Reason = "queue_near"  // shorter queue in the own failure domain
	NoRoom     Reason = "no_room"     // nobody has room; the tasks wait here
	BatchLimit Reason = "batch_limit" // room is left for the next plan
)

// Reasons for which a peer gets no task. FullPeer covers a peer in another
// domain that offers less than the hysteresis asks for.
const (
	StaleAdvert    Reason = "stale_advert"
	PeerDraining   Reason = "peer_draining"
	PeerNotAllowed Reason = "peer_not_allowed"
	FullPeer       Reason = "full_peer"
)

// Here stands for this VM in a Move.
const Here = ""

// Load is this VM's own state.
type Load struct {
	Name      string // of this entry VM
	Domain    string // failure domain
	FreeSlots int
	Queued    int // tasks that wait for a slot of this VM's workers
	Workers   int // held here
	Draining  bool
	// Away says that the last plan sent tasks to other domains.
	Away bool
}

// Peer is what another entry VM advertised last.
type Peer struct {
	Name      string
	Domain    string
	FreeSlots int
	Queued    int
	Workers   int
	Draining  bool
	Age       time.Duration // of the advert
	Sent      int           // tasks sent to the peer since that advert
}

// Move sends Count tasks to a peer, or keeps them Here.
type Move struct {
	Peer   string
	Count  int
	Reason Reason
}

// Plan divides want tasks, none of which has started or been moved before,
// between this VM and its peers. The counts of the moves add up to want; the
// ones that stay come first and last. A nil allowed admits every peer.
func Plan(s Settings, own Load, peers []Peer, want int, allowed func(peer string) bool) []Move {
	pl := planner{settings: s, own: own, left: max(want, 0)}
	pl.keep(own.FreeSlots-own.Queued, FreeHere)
	if pl.left == 0 {
		return pl.moves
	}
	pl.admit(peers, allowed)
	pl.send(FreeNear)
	pl.send(FreeAway)
	pl.keep(pl.queueHere(), QueueNear)
	pl.send(QueueNear)
	pl.rest()
	return pl.moves
}

// Judge returns why the peer gets no task at all, or "" when it may get some.
func Judge(s Settings, own Load, peer Peer, allowed func(peer string) bool) Reason {
	switch {
	case peer.Draining:
		return PeerDraining
	case peer.Age > s.MaxAge:
		return StaleAdvert
	case allowed != nil && !allowed(peer.Name):
		return PeerNotAllowed
	case room(s, own, &peer, FreeNear) <= 0 &&
		room(s, own, &peer, FreeAway) <= 0 &&
		room(s, own, &peer, QueueNear) <= 0:
		return FullPeer
	}
	return ""
}

// room returns how many tasks the peer may be sent for the reason, the part of
// other homes and the tasks already on their way taken off.
func room(s Settings, own Load, p *Peer, why Reason) int {
	near := p.Domain == own.Domain
	free := p.FreeSlots - p.Queued - p.Sent
	switch why {
	case FreeNear:
		if near {
			return part(s, free)
		}
	case FreeAway:
		if !near && free >= s.away(own) {
			return part(s, free)
		}
	case QueueNear:
		if near {
			return part(s, free+s.QueuePerWorker*p.Workers)
		}
	}
	return 0
}

// part returns this home's share of n, at least 1 of a positive n.
func part(s Settings, n int) int {
	if n <= 0 {
		return 0
	}
	return max(int(s.Share*float64(n)), 1)
}

// away returns how many free slots make another domain worth a move.
func (s Settings) away(own Load) int {
	if own.Away {
		return s.StopAway
	}
	return s.StartAway
}

// planner is the state of one plan.
type planner struct {
	settings Settings
	own      Load
	left     int // tasks that have no place yet
	peers    []candidate
	moves    []Move
	used     int  // peers that tasks are sent to
	limited  bool // a batch limit left room unused
}

// candidate is an admitted peer.
type candidate struct {
	Peer
	move int // index in planner.moves; -1: none
	turn uint64
}

// admit keeps the peers that may get tasks, in the order in which they get
// them.
func (pl *planner) admit(peers []Peer, allowed func(string) bool) {
	pl.peers = make([]candidate, 0, len(peers))
	self := xxhash.Sum64String(pl.own.Name)
	for _, p := range peers {
		if p.Name == pl.own.Name || Judge(pl.settings, pl.own, p, allowed) != "" {
			continue
		}
		turn := bits.RotateLeft64(self, 1) ^ xxhash.Sum64String(p.Name)
		pl.peers = append(pl.peers, candidate{Peer: p, move: -1, turn: turn})
	}
	slices.SortFunc(pl.peers, compare)
}

// compare puts the peer with more spare first. Spares within a factor of two
// count as equal and are ordered by a hash that differs from home to home.
func compare(a, b candidate) int {
	if c := cmp.Compare(band(b.FreeSlots-b.Queued-b.Sent), band(a.FreeSlots-a.Queued-a.Sent)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.turn, b.turn); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

func band(spare int) int {
	if spare < 0 {
		return -bits.Len(uint(-spare))
	}
	return bits.Len(uint(spare))
}

// keep leaves up to room tasks here. A draining VM keeps none that a peer can
// take.
func (pl *planner) keep(room int, why Reason) {
	if pl.own.Draining {
		return
	}
	count := min(room, pl.left)
	if count <= 0 {
		return
	}
	pl.moves = append(pl.moves, Move{Here, count, why})
	pl.left -= count
}

// queueHere returns how many tasks may wait here beyond the free slots that
// were filled already.
func (pl *planner) queueHere() int {
	waiting := max(pl.own.Queued-pl.own.FreeSlots, 0)
	return pl.settings.QueuePerWorker*pl.own.Workers - waiting
}

// send gives tasks to the peers that have room for the reason.
func (pl *planner) send(why Reason) {
	for i := range pl.peers {
		if pl.left == 0 {
			return
		}
		p := &pl.peers[i]
		count := pl.limit(p, room(pl.settings, pl.own, &p.Peer, why))
		if count > 0 {
			pl.add(p, count, why)
		}
	}
}

// limit applies the bounds on peers and batches to the room of a peer.
func (pl *planner) limit(p *candidate, room int) int {
	if room <= 0 {
		return 0
	}
	sent := 0
	if p.move >= 0 {
		sent = pl.moves[p.move].Count
	} else if pl.used == pl.settings.Peers {
		pl.limited = true
		return 0
	}
	allowance := pl.settings.Batch - sent
	if allowance < min(room, pl.left) {
		pl.limited = true
	}
	return min(room, pl.left, allowance)
}

// add sends count tasks, in the same move when the peer has one already; the
// first reason stands.
func (pl *planner) add(p *candidate, count int, why Reason) {
	if p.move < 0 {
		p.move = len(pl.moves)
		pl.moves = append(pl.moves, Move{Peer: p.Name, Reason: why})
		pl.used++
	}
	pl.moves[p.move].Count += count
	p.Sent += count
	pl.left -= count
}

// rest leaves here what has no place.
func (pl *planner) rest() {
	if pl.left == 0 {
		return
	}
	why := NoRoom
	if pl.limited {
		why = BatchLimit
	}
	pl.moves = append(pl.moves, Move{Here, pl.left, why})
}
