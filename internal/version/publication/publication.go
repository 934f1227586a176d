// Package publication puts documents in force: it publishes them under one
// growing revision, keeps the last ones, and goes back to one of them by
// publishing it again.
//
// A publication is a compare-and-set of the revision that its author started
// from, and carries a change id. An answer that was lost is settled by looking
// for the change id; two operators who race see whose change came first.
package publication

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const logPrefix = "publication: "

// Change is one document to be published.
type Change struct {
	// ID names the change. Publishing the same change again, after an answer
	// was lost, finds that it is already in force.
	ID     string
	Author string
	// Base is the revision that the author started from; 0 for the first.
	BaseRevision uint64
	Document     *document.Document
}

// Receipt says under which revision a change is published.
type Receipt struct {
	Summary
	// Earlier says that the change had been published by an earlier attempt,
	// or that its answer was lost and reading back showed it.
	Earlier bool
}

// ConflictError says that another change came first. Nothing was published.
type ConflictError struct {
	BaseRevision    uint64  // the revision that the author started from
	Conflicting     Summary // the change that followed it
	CurrentRevision uint64  // the revision in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("not published: based on revision %d, but change %s by %s came first as revision %d; now at %d",
		e.BaseRevision, e.Conflicting.ChangeID, e.Conflicting.Author, e.Conflicting.Revision, e.CurrentRevision)
}

// ChangeReusedError says that a change id was used before, for a document that
// differs. Nothing was published.
type ChangeReusedError struct {
	Earlier Summary
}

func (e *ChangeReusedError) Error() string {
	return fmt.Sprintf("not published: change id %s is that of revision %d by %s, whose document differs",
		e.Earlier.ChangeID, e.Earlier.Revision, e.Earlier.Author)
}

// MissingFieldError says that a change lacks its id or author.
type MissingFieldError struct {
	Field string
}

func (e *MissingFieldError) Error() string { return "not published: a change needs its " + e.Field }

// NoRevisionError says that a revision is not kept, or never was.
type NoRevisionError struct {
	Revision uint64
	Newest   uint64
}

func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept; the newest is %d and %d before it are", e.Revision, e.Newest, HistoryLength)
}

// Publisher publishes documents and reads what was published.
type Publisher struct {
	store Store
	now   func() time.Time
}

// New returns a publisher that stamps documents by the given clock.
func New(store Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}

// Publish puts a document in force, whole or not at all.
func (p *Publisher) Publish(ctx context.Context, change Change) (Receipt, error) {
	if err := check(change); err != nil {
		return Receipt{}, err
	}
	head, version, err := p.headSince(ctx, change.BaseRevision)
	if err != nil {
		return Receipt{}, err
	}
	next := p.stamp(change)
	if receipt, done, err := alreadyPublished(head, next); done {
		return receipt, err
	}
	if head.revision() != change.BaseRevision {
		return Receipt{}, conflict(change.BaseRevision, head)
	}
	if err := p.archive(ctx, head); err != nil {
		return Receipt{}, err
	}
	return p.replace(ctx, head, version, next)
}

// check refuses a change that cannot be published.
func check(change Change) error {
	switch {
	case change.ID == "":
		return &MissingFieldError{Field: "id"}
	case change.Author == "":
		return &MissingFieldError{Field: "author"}
	case change.Document == nil:
		return &MissingFieldError{Field: "document"}
	}
	return nil
}

// stamp returns a copy of the document under the revision after the base.
func (p *Publisher) stamp(change Change) *document.Document {
	next := *change.Document
	next.Revision = change.BaseRevision + 1
	next.ChangeID = change.ID
	next.Author = change.Author
	next.PublishedUnixMillis = p.now().UnixMilli()
	return &next
}

// alreadyPublished finds the change among those that the head knows.
func alreadyPublished(head *Head, next *document.Document) (receipt Receipt, done bool, err error) {
	if head == nil {
		return Receipt{}, false, nil
	}
	earlier := head.published(next.ChangeID)
	if earlier == nil {
		return Receipt{}, false, nil
	}
	if earlier.Digest != summaryOf(next).Digest {
		return Receipt{}, true, &ChangeReusedError{Earlier: *earlier}
	}
	return Receipt{Summary: *earlier, Earlier: true}, true, nil
}

func conflict(base uint64, head *Head) error {
	return &ConflictError{BaseRevision: base, Conflicting: head.after(base), CurrentRevision: head.revision()}
}

// archive keeps the revision in force before it is replaced. Done after it, a
// publisher that dies in between would lose the revision to go back to.
func (p *Publisher) archive(ctx context.Context, head *Head) error {
	if head == nil {
		return nil
	}
	key := slot(head.revision())
	held, err := p.store.Get(ctx, key, 0)
	if err != nil {
		return err
	}
	if kept := decodeKept(held.Value); kept != nil && kept.Revision >= head.revision() {
		return nil
	}
	text, err := json.Marshal(head.Document)
	if err != nil {
		return err
	}
	mine := func(value []byte) bool {
		kept := decodeKept(value)
		return kept != nil && kept.Revision >= head.revision()
	}
	outcome, err := p.store.CompareAndSet(ctx, key, text, held.Version, mine)
	if err != nil {
		return err
	}
	if !outcome.Swapped && !mine(outcome.Current.Value) {
		return &DamagedError{Key: key, Cause: fmt.Errorf("changed while revision %d was being kept", head.revision())}
	}
	return nil
}

func slot(revision uint64) string { return fmt.Sprintf(historyKey, revision%HistoryLength) }

// decodeKept reads a kept revision; nil when there is none.
func decodeKept(value []byte) *document.Document {
	doc, err := document.Parse(value)
	if err != nil {
		return nil
	}
	return doc
}

// replace puts the next document in the place of the head.
func (p *Publisher) replace(ctx context.Context, head *Head, version uint64, next *document.Document) (Receipt, error) {
	summary := summaryOf(next)
	successor := &Head{Document: next, Recent: []Summary{summary}}
	if head != nil {
		kept := min(len(head.Recent), HistoryLength)
		successor.Recent = append(successor.Recent, head.Recent[:kept]...)
	}
	value, err := successor.encode()
	if err != nil {
		return Receipt{}, err
	}
	if _, err := DecodeHead(value); err != nil {
		return Receipt{}, refusal(err)
	}
	mine := func(value []byte) bool {
		found, err := DecodeHead(value)
		return err == nil && found.published(next.ChangeID) != nil
	}
	outcome, err := p.store.CompareAndSet(ctx, HeadKey, value, version, mine)
	if err != nil {
		return Receipt{}, err
	}
	if !outcome.Swapped {
		return p.lost(outcome.Current.Value, next)
	}
	klog.Infof(logPrefix+"revision %d: change %s by %s", next.Revision, next.ChangeID, next.Author)
	return Receipt{Summary: summary, Earlier: outcome.ReadBack}, nil
}

// refusal takes the reason of a document out of the head that was to hold it.
func refusal(err error) error {
	if damaged, ok := err.(*DamagedError); ok {
		return damaged.Cause
	}
	return err
}

// lost explains a compare-and-set that another publication won: perhaps
// another attempt at the same change.
func (p *Publisher) lost(value []byte, next *document.Document) (Receipt, error) {
	head, err := DecodeHead(value)
	if err != nil {
		return Receipt{}, err
	}
	if receipt, done, err := alreadyPublished(head, next); done {
		return receipt, err
	}
	return Receipt{}, conflict(next.Revision-1, head)
}

// head reads the head, or nil when nothing was ever published.
func (p *Publisher) head(ctx context.Context, floor uint64) (*Head, uint64, error) {
	found, err := p.store.Get(ctx, HeadKey, floor)
	if err != nil || found.Version == 0 {
		return nil, 0, err
	}
	head, err := DecodeHead(found.Value)
	return head, found.Version, err
}

// headSince reads a head that has reached the base. A head from before it is a
// stale read, which would blame a conflict on a change that the author knew; or
// the base does not exist.
func (p *Publisher) headSince(ctx context.Context, base uint64) (*Head, uint64, error) {
	head, version, err := p.head(ctx, 0)
	if err != nil || head.revision() >= base {
		return head, version, err
	}
	newer, newerVersion, err := p.head(ctx, version+1)
	if err != nil || newer.revision() < base {
		return nil, 0, &NoRevisionError{Revision: base, Newest: head.revision()}
	}
	return newer, newerVersion, nil
}

// Current returns the document in force in the store, or nil when nothing was
// ever published.
func (p *Publisher) Current(ctx context.Context) (*document.Document, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil || head == nil {
		return nil, err
	}
	return head.Document, nil
}

// History lists the publications that are kept, newest first.
func (p *Publisher) History(ctx context.Context) ([]Summary, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil || head == nil {
		return nil, err
	}
	return head.Recent, nil
}

// Revision returns the document of a revision that is kept.
func (p *Publisher) Revision(ctx context.Context, revision uint64) (*document.Document, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil {
		return nil, err
	}
	if revision == head.revision() && head != nil {
		return head.Document, nil
	}
	held, err := p.store.Get(ctx, slot(revision), 0)
	if err != nil {
		return nil, err
	}
	kept := decodeKept(held.Value)
	if kept == nil || kept.Revision != revision {
		return nil, &NoRevisionError{Revision: revision, Newest: head.revision()}
	}
	return kept, nil
}

// Diff lists what changed from one kept revision to another.
func (p *Publisher) Diff(ctx context.Context, from, to uint64) ([]document.Difference, error) {
	older, err := p.Revision(ctx, from)
	if err != nil {
		return nil, err
	}
	newer, err := p.Revision(ctx, to)
	if err != nil {
		return nil, err
	}
	return document.Diff(older, newer), nil
}

// Rollback publishes a kept revision again, as a new one. The change's Document
// is left out.
func (p *Publisher) Rollback(ctx context.Context, revision uint64, change Change) (Receipt, error) {
	kept, err := p.Revision(ctx, revision)
	if err != nil {
		return Receipt{}, err
	}
	change.Document = kept
	return p.Publish(ctx, change)
}
