package publication

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Keys in the store.
const (
	// HeadKey holds the revision in force.
	HeadKey = "pumiceyard/configuration/head"
	// historyKeyFormat is the key of a history slot. Past revisions are stored
	// in HistoryLength slots that are reused in turn.
	historyKeyFormat = "pumiceyard/configuration/history/%d"
	// HistoryLength is how many past revisions are kept.
	HistoryLength = 32
)

// Stored is the value of a key with its version.
type Stored struct {
	Value   []byte
	Version uint64 // 0 when the key does not exist
}

// Outcome is the result of a compare-and-set.
type Outcome struct {
	Swapped  bool
	ReadBack bool   // the reply was lost; reading the key showed that the write took effect
	Current  Stored // after a conflict, the value that was found
}

// Store is the key-value store. If a reply to a write is lost, the store reads
// the key to find out whether the write took effect.
type Store interface {
	// Get reads a key at minVersion or a later version.
	Get(ctx context.Context, key string, minVersion uint64) (Stored, error)
	// CompareAndSet writes a key if it is at the expected version. isOwnWrite
	// reports whether a value read after a lost reply shows that this write
	// took effect.
	CompareAndSet(ctx context.Context, key string, value []byte, expected uint64, isOwnWrite func([]byte) bool) (Outcome, error)
}

// Summary describes one publication.
type Summary struct {
	Revision            uint64 `json:"revision"`
	ChangeID            string `json:"change_id"`
	Author              string `json:"author"`
	PublishedUnixMillis int64  `json:"published_unix_millis"`
	// Digest is the hex SHA-256 of the document without its revision, change
	// id, author and publication time.
	Digest string `json:"digest"`
}

// Head is the value of HeadKey: the document in force, and the summaries of
// this and earlier publications, newest first.
type Head struct {
	Document *document.Document
	Recent   []Summary
}

// storedHead is the JSON form of a Head.
type storedHead struct {
	Document json.RawMessage `json:"document"`
	Recent   []Summary       `json:"recent"`
}

// DamagedError reports a stored value that cannot be decoded. The value is left
// in place.
type DamagedError struct {
	Key   string
	Cause error
}

func (e *DamagedError) Error() string { return fmt.Sprintf("stored value of %s: %v", e.Key, e.Cause) }

func (e *DamagedError) Unwrap() error { return e.Cause }

// DecodeHead decodes a stored head and validates its document.
func DecodeHead(value []byte) (*Head, error) {
	var form storedHead
	if err := json.Unmarshal(value, &form); err != nil {
		return nil, &DamagedError{Key: HeadKey, Cause: err}
	}
	doc, err := document.Parse(form.Document)
	if err != nil {
		return nil, &DamagedError{Key: HeadKey, Cause: err}
	}
	return &Head{Document: doc, Recent: form.Recent}, nil
}

func (h *Head) encode() ([]byte, error) {
	text, err := json.Marshal(h.Document)
	if err != nil {
		return nil, err
	}
	if len(text) > document.MaxEncodedBytes {
		reason := fmt.Sprintf("%d bytes long; at most %d allowed", len(text), document.MaxEncodedBytes)
		return nil, &document.SyntaxError{Reason: reason}
	}
	return json.Marshal(storedHead{Document: text, Recent: h.Recent})
}

// findChange returns the summary of a change, or nil if the change is not among
// the recent ones.
func (h *Head) findChange(changeID string) *Summary {
	for i := range h.Recent {
		if h.Recent[i].ChangeID == changeID {
			return &h.Recent[i]
		}
	}
	return nil
}

// publicationAfter returns the summary of the publication that followed a
// revision, or of the newest one if that is no longer listed.
func (h *Head) publicationAfter(revision uint64) Summary {
	for _, summary := range h.Recent {
		if summary.Revision == revision+1 {
			return summary
		}
	}
	return h.Recent[0]
}

func (h *Head) revision() uint64 {
	if h == nil {
		return 0
	}
	return h.Document.Revision
}

func summaryOf(doc *document.Document) Summary {
	content := *doc
	content.Revision, content.ChangeID, content.Author, content.PublishedUnixMillis = 0, "", "", 0
	text, err := json.Marshal(content)
	if err != nil {
		panic("publication: cannot encode a document: " + err.Error())
	}
	sum := sha256.Sum256(text)
	return Summary{
		Revision:            doc.Revision,
		ChangeID:            doc.ChangeID,
		Author:              doc.Author,
		PublishedUnixMillis: doc.PublishedUnixMillis,
		Digest:              hex.EncodeToString(sum[:]),
	}
}
