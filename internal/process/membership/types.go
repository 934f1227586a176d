package membership

import "time"

// Role says what a VM is.
type Role uint8

// The roles.
const (
	Entry  Role = iota + 1 // runs this program
	Worker                 // runs tasks
)

// State is what is known of one incarnation of a VM. It only ever grows: what
// is leaving or gone stays so, whatever a lagging list still shows.
type State uint8

// The states, in the order in which they follow.
const (
	Present State = iota + 1
	Leaving       // gets no new work
	Gone          // will not come back under this incarnation
)

// Sign is how something became known.
type Sign string

// The signs.
const (
	SignList    Sign = "platform_list"
	SignOwnWord Sign = "own_word"
	SignPeer    Sign = "peer"
)

// Fact is what is known of one incarnation of a VM. An incarnation is a number
// that grows with each start of the VM; none is ever used again.
type Fact struct {
	Role        Role
	ID          string
	Incarnation uint64
	Domain      string // failure domain
	Rack        string
	Address     string // host:port
	State       State
	Sign        Sign
}

// Message is what entry VMs send each other: a Heartbeat, Summary, Notice, Want,
// Probe or ProbeReply.
type Message interface {
	// Size is the length on the wire in bytes, with the framing of a call.
	Size() int
}

// Lengths on the wire, for the accounts.
const (
	framingBytes = 40 // framing and headers of one message on an open stream
	numberBytes  = 9  // a fixed 64-bit field
	flagBytes    = 2
	textBytes    = 2 // a text field, beside its text
)

// Heartbeat tells the others of a failure domain that the sender lives.
type Heartbeat struct {
	Sender Fact
	// Silent names the members of the domain that the sender does not hear.
	Silent []string
	// Workers is a hash of what the sender knows of the domain's workers.
	Workers uint64
	// Facts repeats recent news, in case a Notice was lost.
	Facts []Fact
}

// Summary compares what two nodes know of the failure domains.
type Summary struct {
	Sender  Fact
	Digests []Digest
	Rows    []Row    // whole rows that the receiver lacks
	Need    []string // domains whose rows the sender lacks
	Reply   bool     // answers a Summary
}

// Digest stands for the row of one domain.
type Digest struct {
	Domain string
	Beat   uint64 // grows while the domain lives
	Hash   uint64 // of the row's members
}

// Row is what one failure domain says of its entry VMs.
type Row struct {
	Digest
	Members []RowMember
}

// RowMember is one entry VM of a row.
type RowMember struct {
	ID          string
	Incarnation uint64
	Address     string
	Leaving     bool
	Suspect     bool
}

// Notice spreads news.
type Notice struct {
	Facts []Fact
}

// Want asks a member of the own domain for all it knows of the domain's workers.
type Want struct{}

// Probe asks how the sender's incarnation stands, after a pause.
type Probe struct {
	Sender Fact
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Incarnation uint64 // the one that was asked about
	Gone        bool
	Suspected   bool
}

// Size is the length on the wire in bytes.
func (h Heartbeat) Size() int {
	size := framingBytes + numberBytes + factSize(h.Sender) + factsSize(h.Facts)
	for _, id := range h.Silent {
		size += textBytes + len(id)
	}
	return size
}

// Size is the length on the wire in bytes.
func (s Summary) Size() int {
	size := framingBytes + flagBytes + factSize(s.Sender)
	for _, d := range s.Digests {
		size += digestSize(d)
	}
	for _, r := range s.Rows {
		size += digestSize(r.Digest)
		for _, m := range r.Members {
			size += 2*textBytes + len(m.ID) + len(m.Address) + numberBytes + 2*flagBytes
		}
	}
	for _, domain := range s.Need {
		size += textBytes + len(domain)
	}
	return size
}

func digestSize(d Digest) int { return 2*textBytes + len(d.Domain) + 2*numberBytes }

// Size is the length on the wire in bytes.
func (n Notice) Size() int { return framingBytes + factsSize(n.Facts) }

// Size is the length on the wire in bytes.
func (Want) Size() int { return framingBytes }

// Size is the length on the wire in bytes.
func (p Probe) Size() int { return framingBytes + factSize(p.Sender) }

// Size is the length on the wire in bytes.
func (ProbeReply) Size() int { return framingBytes + numberBytes + 2*flagBytes }

func factSize(f Fact) int {
	texts := len(f.ID) + len(f.Domain) + len(f.Rack) + len(f.Address)
	return 5*textBytes + texts + numberBytes + 3*flagBytes
}

func factsSize(facts []Fact) (size int) {
	for _, f := range facts {
		size += factSize(f)
	}
	return size
}

// Event is something that happened: a Tick, Received, ListRead, WorkerSaid or
// Leave.
type Event interface{ event() }

// Tick lets time pass. It is due every TickInterval.
type Tick struct{}

// Received is a message from an entry VM.
type Received struct {
	From    string
	Message Message
}

// ListRead is the end of a ReadList.
type ListRead struct {
	Failed  bool
	Version uint64 // grows with each change of the list
	VMs     []Fact
}

// WorkerSaid is what a worker said of itself, on the connection of its lease.
type WorkerSaid struct{ Worker Fact }

// Leave starts the leaving of this node.
type Leave struct{}

func (Tick) event()       {}
func (Received) event()   {}
func (ListRead) event()   {}
func (WorkerSaid) event() {}
func (Leave) event()      {}

// Action is something to be done: a Send or a ReadList.
type Action interface{ action() }

// Send sends a message to an entry VM. It may get lost.
type Send struct {
	To      string
	Address string
	Message Message
}

// ReadList asks for the platform's list of VMs.
type ReadList struct{}

func (Send) action()     {}
func (ReadList) action() {}

// Standing says whether this node may act on what it knows.
type Standing uint8

// The standings.
const (
	// Acting: it may.
	Acting Standing = iota + 1
	// Probing: it was paused and asks how it stands. It must not act.
	Probing
	// Superseded: its incarnation is known to be gone. It must end, and start
	// again under a new one.
	Superseded
)

// View is what a node knows at one moment.
type View struct {
	// Version grows with each change of the view.
	Version  uint64
	Standing Standing
	// Pauses counts how often the node was paused. After each, what it holds
	// may have lapsed and has to be asked for again.
	Pauses uint64
	// Leaving says that this node is to leave.
	Leaving bool
	// Isolated says that no other entry VM is heard, though some are known.
	Isolated bool
	// ListDoubted says that the platform's newest list drops most workers at
	// once, and is not believed in that.
	ListDoubted bool
	// Live maps each failure domain to its live entry VMs by ID, this node
	// included.
	Live map[string][]Fact
	// Workers are the workers that are present or leaving, by ID.
	Workers []Fact
	// Suspects are the entry VMs that are in doubt, by ID.
	Suspects []Suspect
}

// Suspect is an entry VM in doubt.
type Suspect struct {
	VM     Fact
	Reason Reason
	Since  time.Time
	// Live says that it still counts as live, since others hear it.
	Live bool
}

// Reason says why an entry VM is in doubt.
type Reason string

// The reasons.
const (
	NeverHeard           Reason = "never_heard"             // listed, and no sign of it yet
	SilentToSeveral      Reason = "silent_to_several"       // another member does not hear it either
	SilentHereOnly       Reason = "silent_here_only"        // another member hears it
	SilentNoWitness      Reason = "silent_no_witness"       // nobody to ask, for long
	SilentAndUnlisted    Reason = "silent_and_unlisted"     // and the platform's list dropped it
	SuspectedByItsDomain Reason = "suspected_by_its_domain" // says its own domain
	DomainUnreachable    Reason = "domain_unreachable"      // nothing is heard of its whole domain
	MissingFromItsDomain Reason = "missing_from_its_domain" // its domain no longer names it
)
