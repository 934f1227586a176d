package distribution

import "time"

// Peer is another entry VM.
type Peer struct {
	ID     string
	Domain string // failure domain
}

// Snapshot is one published configuration revision.
type Snapshot struct {
	Revision uint64 // grows with each publication; 0 for none
	Version  uint64 // the store's version of the key
	Encoded  []byte // the value of the key
}

// Message is a message between entry VMs: a Summary or a Push.
type Message interface {
	// Size is the length on the wire in bytes, with the framing of a call.
	Size() int
}

// Message sizes on the wire, used to account for traffic: the framing and headers
// of one message on an open stream, and the fields apart from the payload.
const (
	framingBytes  = 40
	revisionBytes = 20
)

// Summary tells a peer which revision the sender has. A peer with a higher
// revision replies with a Push, a peer with a lower one with its own Summary.
type Summary struct {
	Revision uint64
	Watching bool // the sender's watch of the store works
	Ask      bool // the sender wants a reply even if the revisions are equal
}

// Size is the length on the wire in bytes.
func (Summary) Size() int { return framingBytes + revisionBytes }

// Push sends a revision to a peer.
type Push struct {
	Snapshot Snapshot
}

// Size is the length on the wire in bytes.
func (p Push) Size() int { return framingBytes + revisionBytes + len(p.Snapshot.Encoded) }

// Event is an input of a Node: a Tick, PeersChanged, Received or StoreAnswered.
type Event interface{ event() }

// Tick advances time. It is due every TickInterval.
type Tick struct{}

// PeersChanged replaces the list of the other known entry VMs.
type PeersChanged struct{ Peers []Peer }

// Received is a message from a peer.
type Received struct {
	From    Peer
	Message Message
}

// StoreAnswered is the result of a CallStore.
type StoreAnswered struct {
	Call     uint64
	Failed   bool
	Snapshot Snapshot // Revision 0: nothing newer
}

func (Tick) event()          {}
func (PeersChanged) event()  {}
func (Received) event()      {}
func (StoreAnswered) event() {}

// Action is an output of a Node, to be executed by its caller: a Send, CallStore,
// Apply or Ready.
type Action interface{ action() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      Peer
	Message Message
}

// CallStore asks the store for a value with a version above After and waits at
// most Wait for one. Call numbers the calls; a reply to an earlier call is
// ignored.
type CallStore struct {
	Call  uint64
	After uint64
	Wait  time.Duration
}

// Apply applies a revision on this node.
type Apply struct{ Snapshot Snapshot }

// Ready reports that the node may serve, because it has the highest revision that
// it could find. It is emitted once.
type Ready struct{}

func (Send) action()      {}
func (CallStore) action() {}
func (Apply) action()     {}
func (Ready) action()     {}
