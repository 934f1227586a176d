// Package publication publishes configuration documents under increasing
// revisions, keeps the most recent ones, and rolls back by publishing an older
// one again.
//
// A publication is a compare-and-set against the revision that its author
// edited, and carries a change id. If the store's reply is lost, the publisher
// looks for the change id to find out whether the write took effect. If two
// operators publish at the same time, the second gets an error that names the
// change of the first.
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

// Change is a document to publish.
type Change struct {
	// ID identifies the change. A retry with the same ID, after a lost reply,
	// finds the earlier publication and does not publish again.
	ID     string
	Author string
	// BaseRevision is the revision that the author edited; 0 for the first publication.
	BaseRevision uint64
	Document     *document.Document
}

// Receipt describes a successful publication.
type Receipt struct {
	Summary
	// Earlier means that an earlier attempt had published the change, or that
	// the store's reply was lost and reading back showed that the write took
	// effect.
	Earlier bool
}

// ConflictError reports that another change was published first. Nothing was
// published.
type ConflictError struct {
	BaseRevision    uint64  // the revision that the author edited
	Conflicting     Summary // the change that followed it
	CurrentRevision uint64  // the revision in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("not published: based on revision %d, but change %s by %s came first as revision %d; now at %d",
		e.BaseRevision, e.Conflicting.ChangeID, e.Conflicting.Author, e.Conflicting.Revision, e.CurrentRevision)
}

// ChangeReusedError reports that the change id was used before for a different
// document. Nothing was published.
type ChangeReusedError struct {
	Earlier Summary
}

func (e *ChangeReusedError) Error() string {
	return fmt.Sprintf("not published: change id %s is that of revision %d by %s, whose document differs",
		e.Earlier.ChangeID, e.Earlier.Revision, e.Earlier.Author)
}

// MissingFieldError reports a change without an id, author or document.
type MissingFieldError struct {
	Field string
}

func (e *MissingFieldError) Error() string { return "not published: the change has no " + e.Field }

// NoRevisionError reports a revision that is no longer kept or never existed.
type NoRevisionError struct {
	Revision uint64
	Newest   uint64
}

func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("revision %d does not exist or is no longer kept: the newest is %d, and the %d before it are kept", e.Revision, e.Newest, HistoryLength)
}

// Publisher publishes documents and reads published revisions.
type Publisher struct {
	store Store
	now   func() time.Time
}

// New returns a publisher. The now function gives the publication times.
func New(store Store, now func() time.Time) *Publisher {
	return &Publisher{store: store, now: now}
}

// Publish puts a document in force as a whole, or returns an error. After a
// store error the document may nevertheless be in force; retrying with the same
// change id is safe.
func (p *Publisher) Publish(ctx context.Context, change Change) (Receipt, error) {
	if err := validateChange(change); err != nil {
		return Receipt{}, err
	}
	head, version, err := p.headAtLeast(ctx, change.BaseRevision)
	if err != nil {
		return Receipt{}, err
	}
	next := p.stamp(change)
	if receipt, done, err := alreadyPublished(head, next); done {
		return receipt, err
	}
	if head.revision() != change.BaseRevision {
		return Receipt{}, newConflict(change.BaseRevision, head)
	}
	if err := p.archive(ctx, head); err != nil {
		return Receipt{}, err
	}
	return p.replace(ctx, head, version, next)
}

// validateChange returns an error if a required field of the change is missing.
func validateChange(change Change) error {
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

// stamp returns a copy of the document with the revision after the base, and
// the id, author and time of the change.
func (p *Publisher) stamp(change Change) *document.Document {
	next := *change.Document
	next.Revision = change.BaseRevision + 1
	next.ChangeID = change.ID
	next.Author = change.Author
	next.PublishedUnixMillis = p.now().UnixMilli()
	return &next
}

// alreadyPublished looks for the change among the recent ones in the head.
func alreadyPublished(head *Head, next *document.Document) (receipt Receipt, done bool, err error) {
	if head == nil {
		return Receipt{}, false, nil
	}
	earlier := head.findChange(next.ChangeID)
	if earlier == nil {
		return Receipt{}, false, nil
	}
	if earlier.Digest != summaryOf(next).Digest {
		return Receipt{}, true, &ChangeReusedError{Earlier: *earlier}
	}
	return Receipt{Summary: *earlier, Earlier: true}, true, nil
}

func newConflict(base uint64, head *Head) error {
	return &ConflictError{BaseRevision: base, Conflicting: head.publicationAfter(base), CurrentRevision: head.revision()}
}

// archive writes the revision in force to its history slot. This happens before
// the head is replaced: in the other order, a publisher that crashed in between
// would lose the revision that a rollback needs.
func (p *Publisher) archive(ctx context.Context, head *Head) error {
	if head == nil {
		return nil
	}
	key := historySlotKey(head.revision())
	held, err := p.store.Get(ctx, key, 0)
	if err != nil {
		return err
	}
	if kept := decodeArchived(held.Value); kept != nil && kept.Revision >= head.revision() {
		return nil
	}
	text, err := json.Marshal(head.Document)
	if err != nil {
		return err
	}
	isArchived := func(value []byte) bool {
		kept := decodeArchived(value)
		return kept != nil && kept.Revision >= head.revision()
	}
	outcome, err := p.store.CompareAndSet(ctx, key, text, held.Version, isArchived)
	if err != nil {
		return err
	}
	if !outcome.Swapped && !isArchived(outcome.Current.Value) {
		return &DamagedError{Key: key, Cause: fmt.Errorf("overwritten while revision %d was being archived", head.revision())}
	}
	return nil
}

func historySlotKey(revision uint64) string {
	return fmt.Sprintf(historyKeyFormat, revision%HistoryLength)
}

// decodeArchived decodes an archived revision. It returns nil if the value is
// missing or invalid.
func decodeArchived(value []byte) *document.Document {
	doc, err := document.Parse(value)
	if err != nil {
		return nil
	}
	return doc
}

// replace writes a head with the next document, if the head is unchanged.
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
		return Receipt{}, documentError(err)
	}
	isOwnWrite := func(value []byte) bool {
		found, err := DecodeHead(value)
		return err == nil && found.findChange(next.ChangeID) != nil
	}
	outcome, err := p.store.CompareAndSet(ctx, HeadKey, value, version, isOwnWrite)
	if err != nil {
		return Receipt{}, err
	}
	if !outcome.Swapped {
		return p.explainConflict(outcome.Current.Value, next)
	}
	klog.Infof(logPrefix+"revision %d: change %s by %s", next.Revision, next.ChangeID, next.Author)
	return Receipt{Summary: summary, Earlier: outcome.ReadBack}, nil
}

// documentError returns the cause inside a *DamagedError: the new head could not
// be decoded because its document is invalid.
func documentError(err error) error {
	if damaged, ok := err.(*DamagedError); ok {
		return damaged.Cause
	}
	return err
}

// explainConflict returns the result of a compare-and-set that failed because
// another publication was written first, which may be another attempt at the
// same change.
func (p *Publisher) explainConflict(value []byte, next *document.Document) (Receipt, error) {
	head, err := DecodeHead(value)
	if err != nil {
		return Receipt{}, err
	}
	if receipt, done, err := alreadyPublished(head, next); done {
		return receipt, err
	}
	return Receipt{}, newConflict(next.Revision-1, head)
}

// head reads the head and its store version; the head is nil if nothing was
// ever published.
func (p *Publisher) head(ctx context.Context, minVersion uint64) (*Head, uint64, error) {
	found, err := p.store.Get(ctx, HeadKey, minVersion)
	if err != nil || found.Version == 0 {
		return nil, 0, err
	}
	head, err := DecodeHead(found.Value)
	return head, found.Version, err
}

// headAtLeast reads a head whose revision is at least base. An older head means
// either a stale read, which is repeated, since it would report a conflict with
// a change that the author has seen; or that the base revision does not exist.
func (p *Publisher) headAtLeast(ctx context.Context, base uint64) (*Head, uint64, error) {
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

// Current returns the document in force, or nil if nothing was ever published.
func (p *Publisher) Current(ctx context.Context) (*document.Document, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil || head == nil {
		return nil, err
	}
	return head.Document, nil
}

// History lists the recent publications, newest first.
func (p *Publisher) History(ctx context.Context) ([]Summary, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil || head == nil {
		return nil, err
	}
	return head.Recent, nil
}

// Revision returns the document of a kept revision.
func (p *Publisher) Revision(ctx context.Context, revision uint64) (*document.Document, error) {
	head, _, err := p.head(ctx, 0)
	if err != nil {
		return nil, err
	}
	if revision == head.revision() && head != nil {
		return head.Document, nil
	}
	held, err := p.store.Get(ctx, historySlotKey(revision), 0)
	if err != nil {
		return nil, err
	}
	kept := decodeArchived(held.Value)
	if kept == nil || kept.Revision != revision {
		return nil, &NoRevisionError{Revision: revision, Newest: head.revision()}
	}
	return kept, nil
}

// Diff lists the fields that differ between two kept revisions.
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

// Rollback publishes the document of a kept revision as a new revision.
// change.Document is ignored.
func (p *Publisher) Rollback(ctx context.Context, revision uint64, change Change) (Receipt, error) {
	kept, err := p.Revision(ctx, revision)
	if err != nil {
		return Receipt{}, err
	}
	change.Document = kept
	return p.Publish(ctx, change)
}
