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

// event is what the engine takes from its ring buffer and applies to its state.
type event interface{ apply(*engine) }

// Events from callers. The engine answers on the reply channels, which are buffered.
type (
	submitEvent struct {
		record     *submission.Record
		reply      chan Outcome
		receivedAt time.Duration // set by the engine
	}
	stateEvent struct {
		id    submission.ID
		reply chan StateAnswer
		ended chan struct{} // closed when the submission ends; nil: the caller does not wait for that
	}
	cancelEvent struct {
		id    submission.ID
		reply chan StateAnswer
	}
	// waitingEvent asks for the number of a queue's submissions that have not started.
	waitingEvent struct {
		queue string
		reply chan int
	}
	// drainEvent hands over all shards; done is closed when none is held any more.
	drainEvent struct{ done chan struct{} }
	// holdsEvent asks whether this VM holds a shard.
	holdsEvent struct {
		shard string
		reply chan bool
	}
	// abandonEvent reports that a caller of Submit does not wait any longer.
	abandonEvent struct {
		id    submission.ID
		reply chan Outcome // the channel of its submitEvent
	}
)

// Events from the store: what was read, and the results of writes, which may have failed.
type (
	siteEvent struct {
		requestedAt time.Duration // when the store was asked: all changes made before are known
		complete    bool
		items       []store.Item
		events      []store.Event
	}
	workersEvent struct {
		requestedAt time.Duration // when the store was asked: all changes made before are known
		workers     []worker.Info
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
		revision        uint64            // of the store, as the read reported it
		previousWorkers []storedWorker    // the workers that previous holders used
		evacuations     *evacuationsEvent // nil: they were not read
	}
	// confirmedEvent brings records that were read again after a stale scan had found them.
	confirmedEvent struct {
		shard   string
		token   uint64
		records []shard.StoredRecord
	}
	// evacuationsEvent brings evacuations that were read from the store.
	evacuationsEvent struct {
		requestedAt time.Duration // when the store was asked: all changes made before are known
		complete    bool          // the notices are all evacuations as of the revision, not only changes
		revision    uint64
		notices     []evacuation.Notice
	}
	reassignStoredEvent struct {
		shard       string
		token       uint64
		oldRevision uint64 // of the record that was to be replaced
		record      *submission.Record
		result      journal.Result
	}
	lookupDoneEvent struct {
		id    submission.ID
		found storeLookup
		err   error
	}
)

// Events from links to peers.
type (
	peerUpEvent struct {
		name        string
		incarnation uint64
	}
	peerLostEvent struct{ name, why string }
	linkNeedEvent struct{} // a peer has begun or ceased to need the link from this VM
	frameEvent    struct {
		from  string
		frame *pb.KeptFrame
	}
)

// Events from sessions with workers.
type (
	listingEvent struct {
		session     *workerSession
		requestedAt time.Duration
		listing     worker.Listing
	}
	// workerEndedEvent reports that the worker's process has ended before the lease of its runs could.
	workerEndedEvent struct{ session *workerSession }

	// workerFencedEvent reports that the worker has seen a higher fencing token.
	workerFencedEvent struct{ session *workerSession }
	// workerReplacedEvent reports that the worker's incarnation is gone.
	workerReplacedEvent struct {
		session   *workerSession
		successor worker.Incarnation // the incarnation that answers in its place; without an ID if unknown
	}
	// leaseExpiredEvent reports that the lease of the worker's runs has certainly expired.
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
