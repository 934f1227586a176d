package vm

import (
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/evacuation"
	"github.com/pumiceyard/pumiceyard/internal/kept/journal"
	"github.com/pumiceyard/pumiceyard/internal/kept/shard"
	"github.com/pumiceyard/pumiceyard/internal/kept/site"
	"github.com/pumiceyard/pumiceyard/internal/kept/store"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// event is something that the engine takes from its ring.
type event interface{ apply(*engine) }

// From callers.
type (
	submitEvent struct {
		record     *submission.Record
		reply      chan Outcome  // buffered
		receivedAt time.Duration // set by the engine
	}
	stateEvent struct {
		id    submission.ID
		reply chan StateAnswer // buffered
		ended chan struct{}    // closed at its end; nil: the caller does not wait for it
	}
	cancelEvent struct {
		id    submission.ID
		reply chan StateAnswer // buffered
	}
	waitingEvent struct {
		queue string
		reply chan int // buffered
	}
	drainEvent struct{ done chan struct{} }
	holdsEvent struct {
		shard string
		reply chan bool // buffered
	}
	// abandonEvent says that a caller does not wait any more.
	abandonEvent struct {
		id    submission.ID
		reply chan Outcome // that of its submitEvent
	}
)

// From the store.
type (
	siteEvent struct {
		sent   time.Duration // when the call left
		whole  bool
		items  []store.Item
		events []store.Event
	}
	workersEvent struct {
		sent time.Duration // when the call left
		list []worker.Info
	}
	servicesEvent     struct{ services []catalog.Service }
	recordStoredEvent struct {
		record *submission.Record
		result journal.Result
	}
	finalStoredEvent struct {
		shard, id string
		token     uint64
		state     submission.State
		result    journal.Result
	}
	progressStoredEvent struct {
		shard, id string
		token     uint64
		result    journal.Result
	}
	claimedEvent struct {
		claim    site.Claim
		revision uint64
		err      error
	}
	scannedEvent struct {
		shard           string
		token           uint64
		records         []shard.StoredRecord
		previousWorkers []worker.Info     // the workers that earlier holders used
		evacuations     *evacuationsEvent // nil: they were not asked for
	}
	// evacuationsEvent brings what the store says of evacuations.
	evacuationsEvent struct {
		sent     time.Duration // when the call left
		whole    bool          // the notices are the list of all evacuations at the revision
		revision uint64
		notices  []evacuation.Notice
	}
	reassignStoredEvent struct {
		shard       string
		token       uint64
		oldRevision uint64 // revision of the record that was to be replaced
		record      *submission.Record
		result      journal.Result
	}
	lookupDoneEvent struct {
		id    submission.ID
		found storeLookup
		err   error
	}
)

// From peers.
type (
	peerUpEvent struct {
		name        string
		incarnation uint64
	}
	peerLostEvent struct{ name, why string }
	linkNeedEvent struct{} // a peer needs the link from here, or does not any more
	frameEvent    struct {
		from  string
		frame *pb.KeptFrame
	}
)

// From workers.
type (
	listingEvent struct {
		session *workerSession
		sent    time.Duration
		listing worker.Listing
	}
	workerFencedEvent   struct{ session *workerSession }
	workerReplacedEvent struct {
		session   *workerSession
		successor worker.Incarnation // that answers in its place; without ID: not known
	}
	leaseExpiredEvent struct{ session *workerSession }
	startReplyEvent   struct {
		session *workerSession
		task    submission.TaskRef
		run     uint64
		reply   worker.Reply
	}
	stopReplyEvent struct {
		session *workerSession
		task    submission.TaskRef
		run     uint64
		reply   worker.Reply
	}
)
