// Package membership keeps each entry VM's view of the fleet: which entry VMs
// live, which workers there are and which are leaving.
//
// Inside a failure domain the entry VMs send each other heartbeats, and one is
// suspected when two of them no longer hear it. Between domains a node compares
// with a random other what both know, one row for each domain. The platform's
// list lags, and is a hint: it makes VMs known, and it counts as a witness.
//
// Core is deterministic: events and the time go in, actions and a View come out.
// It has no goroutine, clock or connection.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the protocol.
const (
	// TickInterval is how often a Tick is due.
	TickInterval = 100 * time.Millisecond
	// heartbeatInterval is how often a member tells its domain that it lives.
	heartbeatInterval = 500 * time.Millisecond
	// suspectAfter is the silence after which a member counts as not heard.
	suspectAfter = 2 * time.Second
	// aloneAfter is the silence after which a node decides without a witness.
	aloneAfter = 5 * time.Second
	// summaryInterval is how often a node compares with another domain.
	summaryInterval = time.Second
	// suspicionDelay is how long the word of a domain that a member lives outlasts
	// its word that the member is suspect. Two halves of a split domain say
	// both in turn.
	suspicionDelay = 4 * time.Second
	// remoteAfter is the silence after which another domain, or one of its
	// members, counts as not heard.
	remoteAfter = 15 * time.Second
	// listInterval is how often the whole fleet together reads the list, unless
	// that would cost a node more than listRate bytes a second.
	listInterval = 5 * time.Second
	listRate     = 1000
	// listRetry is the longest wait of a node that has never read the list,
	// after a read that failed.
	listRetry = 5 * time.Second
	// pauseLimit is the gap between two steps that counts as a pause.
	pauseLimit = time.Second
	// probeLimit is how long a node that was paused waits for replies.
	probeLimit = time.Second
	// mismatchLimit is how long two members may differ in what they know of
	// the domain's workers before one asks for all of it.
	mismatchLimit = time.Second
	// updateRepeats is how many heartbeats repeat a piece of news.
	updateRepeats = 5
	// tombstoneFor is how long a VM that is gone is remembered at least.
	tombstoneFor = 10 * time.Minute
	// forgetInterval is how often the tables are searched for such VMs.
	forgetInterval = time.Minute
)

// Options set up a core.
type Options struct {
	Self Fact // Role Entry, State Present
	Seed uint64
	// Known are VMs that are known from before, such as from the settings, so
	// that a node can join while the platform's list is out.
	Known []Fact
}

// Core is one entry VM's part in the membership.
type Core struct {
	self    Fact
	random  *rand.Rand
	now     time.Time
	actions []Action

	members map[string]*member // other entry VMs
	workers map[string]*worker
	local   []string // members of the own domain, by ID
	remote  []string // members of other domains, by ID
	rows    map[string]*heldRow
	updates []repeated

	listVersion uint64
	listWaiting bool
	workersHash uint64
	hashStale   bool // the hash has to be worked out again
	started     time.Time

	nextHeartbeat time.Time
	nextSummary   time.Time
	nextList      time.Time // of a node that has never read it
	nextForget    time.Time
	listSlot      int64 // last turn that this node looked at
	listBytes     int   // length of the newest list
	listDoubted   bool  // the newest list drops most workers

	standing   Standing
	pauses     uint64
	probeEnds  time.Time
	replies    int
	changed    bool
	view       View
	lastWantAt time.Time
}

// member is another entry VM.
type member struct {
	fact        Fact
	wasListed   bool      // some list named this incarnation
	listed      bool      // the newest list names it
	heardAt     time.Time // last heartbeat; of the own domain
	silent      []string  // whom it does not hear
	namedLiveAt time.Time // last named as live by its row; of another domain
	rowSuspects bool      // its row names it as suspect
	differs     time.Time // since when its workers' hash differs; zero when not
	goneAt      time.Time

	reason   Reason
	since    time.Time
	excluded bool
}

// worker is a worker VM.
type worker struct {
	fact      Fact
	wasListed bool
	goneAt    time.Time
}

// repeated is news that the next heartbeats repeat.
type repeated struct {
	fact Fact
	left int
}

// New returns a core that knows itself and what the options name.
func New(options Options, now time.Time) *Core {
	c := &Core{
		self:     options.Self,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
		now:      now,
		started:  now,
		members:  make(map[string]*member),
		workers:  make(map[string]*worker),
		rows:     make(map[string]*heldRow),
		standing: Acting,
		changed:  true,
	}
	// Nodes that start together spread over the intervals.
	c.nextHeartbeat = now.Add(c.jitter(heartbeatInterval))
	c.nextSummary = now.Add(c.jitter(summaryInterval))
	c.nextList = now
	for _, fact := range options.Known {
		c.learn(fact)
	}
	return c
}

// Step takes one event in and returns what to do. The slice is valid until the
// next step. The view must be read again before acting on it.
//
// The time has to come from time.Now, with its wall clock.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = c.actions[:0]
	c.noticePause(now)
	c.now = now
	switch event := event.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(event.From, event.Message)
	case ListRead:
		c.listRead(event)
	case WorkerSaid:
		c.workerSaid(event.Worker)
	case Leave:
		c.leave()
	}
	c.endProbe()
	return c.actions
}

// tick does what is due by time.
func (c *Core) tick() {
	c.evaluate()
	c.forgetGone()
	if c.standing == Superseded {
		return
	}
	c.beat()
	c.summarize()
	c.readList()
}

func (c *Core) receive(from string, message Message) {
	switch message := message.(type) {
	case Heartbeat:
		c.heard(message)
	case Summary:
		c.compare(message)
	case Notice:
		c.spread(c.learnAll(message.Facts, SignPeer), c.isLocal(from))
	case Want:
		c.send(from, Notice{Facts: c.domainWorkers()})
	case Probe:
		c.learn(message.Sender)
		c.probed(message.Sender)
	case ProbeReply:
		c.probeReply(message)
	}
}

func (c *Core) send(to string, message Message) {
	var address string
	if m := c.members[to]; m != nil {
		address = m.fact.Address
	}
	c.actions = append(c.actions, Send{To: to, Address: address, Message: message})
}

func (c *Core) isLocal(id string) bool {
	m := c.members[id]
	return m != nil && m.fact.Domain == c.self.Domain
}

// learn takes a fact in and reports whether it is news.
//
// What goes wrong otherwise: the lagging list, or a peer that was cut off, still
// shows a worker as present that said it is leaving, or a VM under its old
// incarnation; the worker gets work again and loses it. So an older incarnation
// is ignored and the state of an incarnation only grows.
func (c *Core) learn(fact Fact) (news bool) {
	if fact.ID == c.self.ID {
		c.learnOfSelf(fact)
		return false
	}
	known := c.known(fact)
	switch {
	case known == nil && fact.State == Gone:
		return false // forgotten here already
	case known == nil:
		c.adopt(fact)
		return true
	case fact.Incarnation < known.Incarnation:
		return false
	case fact.Incarnation > known.Incarnation:
		c.adopt(fact)
		return true
	case fact.State > known.State:
		known.State, known.Sign = fact.State, fact.Sign
		c.learnt(fact)
		return true
	}
	return false
}

// learnOfSelf takes in what others say of this node.
func (c *Core) learnOfSelf(fact Fact) {
	newer := fact.Incarnation > c.self.Incarnation
	same := fact.Incarnation == c.self.Incarnation
	switch {
	case newer, same && fact.State == Gone:
		c.standing = Superseded
		c.changed = true
	case same && fact.State == Leaving && c.self.State == Present:
		c.leave()
	}
}

func (c *Core) known(fact Fact) *Fact {
	if fact.Role == Entry {
		if m := c.members[fact.ID]; m != nil {
			return &m.fact
		}
		return nil
	}
	if w := c.workers[fact.ID]; w != nil {
		return &w.fact
	}
	return nil
}

// adopt begins to know an incarnation.
func (c *Core) adopt(fact Fact) {
	if fact.Role == Entry {
		c.members[fact.ID] = &member{fact: fact}
		c.sortMembers()
	} else {
		c.workers[fact.ID] = &worker{fact: fact}
	}
	c.learnt(fact)
}

// learnt notes that a fact has changed what is known.
func (c *Core) learnt(fact Fact) {
	c.changed = true
	if fact.Role == Worker {
		if fact.State == Gone {
			c.workers[fact.ID].goneAt = c.now
		}
		c.hashStale = true
	} else if fact.State == Gone {
		c.members[fact.ID].goneAt = c.now
		c.sortMembers()
	}
}

// sortMembers keeps the members that are not gone in a fixed order, on which
// the random choices are made.
func (c *Core) sortMembers() {
	c.local, c.remote = nil, nil
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[id]
		switch {
		case m.fact.State == Gone:
		case m.fact.Domain == c.self.Domain:
			c.local = append(c.local, id)
		default:
			c.remote = append(c.remote, id)
		}
	}
}

// forgetGone drops the VMs that are gone for long, so that the tables stay as
// large as the fleet.
func (c *Core) forgetGone() {
	if c.now.Before(c.nextForget) {
		return
	}
	c.nextForget = c.now.Add(forgetInterval)
	for id, m := range c.members {
		if m.fact.State == Gone && c.now.Sub(m.goneAt) > tombstoneFor {
			delete(c.members, id)
		}
	}
	for id, w := range c.workers {
		if w.fact.State == Gone && c.now.Sub(w.goneAt) > tombstoneFor {
			delete(c.workers, id)
		}
	}
}

func (c *Core) jitter(longest time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(longest)) + 1)
}

func byID(a, b Fact) int { return cmp.Compare(a.ID, b.ID) }
