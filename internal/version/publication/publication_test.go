package publication_test

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	connection "github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	standin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

func newPublisher(service *standin.Platform) *publication.Publisher {
	client := storeclient.New(connection.New(service), storeclient.Options{
		StoreReadsPerSecond: 2000, StoreWritesPerSecond: 300, Fleet: 60, Seed: 1,
	})
	return publication.New(client.Configuration(), time.Now)
}

func sample(t *testing.T) *document.Document {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/ventilsvaz/document.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// sampleWithCap returns the sample document with the given power cap.
func sampleWithCap(t *testing.T, milliwatts uint64) *document.Document {
	doc := sample(t)
	doc.Site.PowerCapMilliwatts = milliwatts
	return doc
}

func change(id string, base uint64, doc *document.Document) publication.Change {
	return publication.Change{ID: id, Author: "author-of-" + id, BaseRevision: base, Document: doc}
}

// withVirtualClock runs a test in a synctest bubble, with a stand-in platform.
func withVirtualClock(t *testing.T, test func(t *testing.T, service *standin.Platform, p *publication.Publisher)) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		test(t, service, newPublisher(service))
	})
}

func mustPublish(t *testing.T, p *publication.Publisher, c publication.Change) publication.Receipt {
	t.Helper()
	receipt, err := p.Publish(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return receipt
}

const (
	capOne = 14_000_000 + iota
	capTwo
)

func TestHistoryDiffAndRollback(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, _ *standin.Platform, p *publication.Publisher) {
		mustPublish(t, p, change("one", 0, sampleWithCap(t, capOne)))
		mustPublish(t, p, change("two", 1, sampleWithCap(t, capTwo)))
		differences, err := p.Diff(t.Context(), 1, 2)
		want := document.Difference{Path: "site.power_cap_milliwatts", Old: "14000000", New: "14000001"}
		if err != nil || len(differences) != 1 || differences[0] != want {
			t.Errorf("diff %v, %v", differences, err)
		}
		receipt, err := p.Rollback(t.Context(), 1, change("back", 2, nil))
		if err != nil || receipt.Revision != 3 {
			t.Fatalf("rollback: %+v, %v", receipt, err)
		}
		now, err := p.Current(t.Context())
		if err != nil || now.Site.PowerCapMilliwatts != capOne || now.ChangeID != "back" {
			t.Errorf("in force: %+v, %v", now, err)
		}
		history, err := p.History(t.Context())
		if err != nil || len(history) != 3 || history[1].ChangeID != "two" {
			t.Errorf("history %v, %v", history, err)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, _ *standin.Platform, p *publication.Publisher) {
		const revisions = publication.HistoryLength + 5
		for base := range uint64(revisions) {
			mustPublish(t, p, change(fmt.Sprint("c", base), base, sampleWithCap(t, capOne+base)))
		}
		oldest, err := p.Revision(t.Context(), revisions-publication.HistoryLength)
		if err != nil || oldest.Revision != revisions-publication.HistoryLength {
			t.Errorf("oldest kept revision: %v", err)
		}
		var gone *publication.NoRevisionError
		if _, err := p.Revision(t.Context(), 1); !errors.As(err, &gone) {
			t.Errorf("revision 1: %v, want a NoRevisionError", err)
		}
	})
}

// Guards against an operator's change being silently overwritten: two operators
// edit the same revision and publish at the same time, and the second write would
// replace a document that its author has not seen.
func TestConcurrentPublicationsConflict(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, service *standin.Platform, p *publication.Publisher) {
		mustPublish(t, p, change("one", 0, sampleWithCap(t, capOne)))
		errs := make(chan error, 2)
		for _, id := range []string{"left", "right"} {
			racer := newPublisher(service)
			doc := sampleWithCap(t, capTwo)
			go func() {
				_, err := racer.Publish(t.Context(), change(id, 1, doc))
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if (first == nil) == (second == nil) {
			t.Fatalf("errors %v, %v: want exactly one publication to succeed", first, second)
		}
		now, err := p.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var conflict *publication.ConflictError
		if !errors.As(errors.Join(first, second), &conflict) {
			t.Fatalf("%v, %v: want a ConflictError", first, second)
		}
		if conflict.Conflicting.ChangeID != now.ChangeID || conflict.Conflicting.Author != now.Author || conflict.CurrentRevision != 2 {
			t.Errorf("conflict %+v does not name the winner %s by %s", conflict, now.ChangeID, now.Author)
		}
	})
}

// Guards against a conflict of a retry with its own change: the write takes
// effect, its reply is lost, and another operator publishes before the first
// reads back or retries. The change must be looked for in earlier revisions too,
// not only in the one in force.
func TestChangeIsFoundAfterALaterPublication(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, service *standin.Platform, p *publication.Publisher) {
		service.SetFaults(standin.Faults{LostReplies: 1})
		receipt := mustPublish(t, p, change("one", 0, sampleWithCap(t, capOne)))
		if !receipt.Earlier || receipt.Revision != 1 {
			t.Errorf("receipt %+v, want revision 1, found by reading back", receipt)
		}
		mustPublish(t, p, change("two", 1, sampleWithCap(t, capTwo)))
		again := mustPublish(t, p, change("one", 0, sampleWithCap(t, capOne)))
		if !again.Earlier || again.Revision != 1 {
			t.Errorf("publishing again: %+v, want revision 1 of the earlier attempt", again)
		}
		var reused *publication.ChangeReusedError
		if _, err := p.Publish(t.Context(), change("one", 2, sampleWithCap(t, capTwo))); !errors.As(err, &reused) {
			t.Errorf("another document under the same id: %v, want a ChangeReusedError", err)
		}
	})
}

// Guards against a false conflict after a stale read: the author edits revision
// 2, but the publisher reads the head from a replica that is still at revision 1.
func TestStaleHeadIsReadAgain(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, service *standin.Platform, p *publication.Publisher) {
		mustPublish(t, p, change("one", 0, sampleWithCap(t, capOne)))
		mustPublish(t, p, change("two", 1, sampleWithCap(t, capTwo)))
		service.SetFaults(standin.Faults{StaleReads: true})
		var unknown *publication.NoRevisionError
		if _, err := p.Publish(t.Context(), change("three", 2, sample(t))); !errors.As(err, &unknown) {
			t.Errorf("while reads are stale: %v, want a NoRevisionError", err)
		}
		time.AfterFunc(10*time.Millisecond, func() { service.SetFaults(standin.Faults{}) })
		if receipt := mustPublish(t, p, change("three", 2, sample(t))); receipt.Revision != 3 {
			t.Errorf("receipt %+v, want revision 3", receipt)
		}
	})
}

func TestInvalidDocumentIsNotWritten(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, service *standin.Platform, p *publication.Publisher) {
		doc := sampleWithCap(t, 1) // below the sum of the domains' parts
		_, err := p.Publish(t.Context(), change("one", 0, doc))
		var invalid *document.InvalidError
		if !errors.As(err, &invalid) || invalid.Fields[0].Path != "site.domains" {
			t.Errorf("error %v, want an InvalidError at site.domains", err)
		}
		if n := service.Calls()[standin.MethodCompareAndSet]; n != 0 {
			t.Errorf("%d writes of an invalid document, want 0", n)
		}
	})
}
