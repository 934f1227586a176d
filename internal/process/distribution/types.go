package distribution

import "time"

// Peer is another entry VM.
type Peer struct {
	ID     string
	Domain string // failure domain
}

// Snapshot is one published revision.
type Snapshot struct {
	Revision uint64 // grows with each publication; 0 for none
	Version  uint64 // the store's version of the key
	Encoded  []byte // the value of the key
}

// Message is what entry VMs send each other: a Summary or a Push.
type Message interface {
	// Size is the length on the wire in bytes, with the framing of a call.
	Size() int
}

// Lengths on the wire, for the accounts: the framing and headers of one message
// on an open stream, and the fields beside the payload.
const (
	framingBytes  = 40
	revisionBytes = 20
)

// Summary tells a peer which revision the sender holds. A peer that holds a
// higher one answers with a Push, one that holds a lower one with its Summary.
type Summary struct {
	Revision uint64
	Watching bool // the sender's watch of the store is being answered
	Ask      bool // the sender wants an answer even if both hold the same
}

// Size is the length on the wire in bytes.
func (Summary) Size() int { return framingBytes + revisionBytes }

// Push hands a revision to a peer.
type Push struct {
	Snapshot Snapshot
}

// Size is the length on the wire in bytes.
func (p Push) Size() int { return framingBytes + revisionBytes + len(p.Snapshot.Encoded) }

// Event is something that happened: a Tick, PeersChanged, Received or
// StoreAnswered.
type Event interface{ event() }

// Tick lets time pass. It is due every TickInterval.
type Tick struct{}

// PeersChanged replaces the live entry VMs, without the node itself.
type PeersChanged struct{ Peers []Peer }

// Received is a message from a peer.
type Received struct {
	From    Peer
	Message Message
}

// StoreAnswered is the end of a CallStore.
type StoreAnswered struct {
	Call     uint64
	Failed   bool
	Snapshot Snapshot // Revision 0: nothing newer
}

func (Tick) event()          {}
func (PeersChanged) event()  {}
func (Received) event()      {}
func (StoreAnswered) event() {}

// Action is something to be done: a Send, CallStore, Apply or Ready.
type Action interface{ action() }

// Send sends a message to a peer. It may get lost.
type Send struct {
	To      Peer
	Message Message
}

// CallStore asks the store for a value whose version passes After, and waits
// for one for at most Wait. A late answer, by its number, is ignored.
type CallStore struct {
	Call  uint64
	After uint64
	Wait  time.Duration
}

// Apply puts a revision in force on this node.
type Apply struct{ Snapshot Snapshot }

// Ready says that the node may serve: it holds the highest revision that it
// could learn of. It comes once.
type Ready struct{}

func (Send) action()      {}
func (CallStore) action() {}
func (Apply) action()     {}
func (Ready) action()     {}
