package publication

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Keys of the store.
const (
	// HeadKey holds the revision in force.
	HeadKey = "pumiceyard/configuration/head"
	// historyKey holds past revisions, in slots that are used in turn.
	historyKey = "pumiceyard/configuration/history/%d"
	// HistoryLength is how many past revisions are kept.
	HistoryLength = 32
)

// Stored is what a key holds.
type Stored struct {
	Value   []byte
	Version uint64 // 0 when the key does not exist
}

// Outcome is how a compare-and-set ended.
type Outcome struct {
	Swapped  bool
	ReadBack bool   // an answer was lost and reading back settled it
	Current  Stored // after a conflict, the other's value
}

// Store is the key-value service. It settles lost answers by reading back.
type Store interface {
	// Get reads a key, at the floor's version or a later one.
	Get(ctx context.Context, key string, floor uint64) (Stored, error)
	// CompareAndSet writes a key if it is at the expected version. Mine tells
	// whether a value that was read back shows that this write took effect.
	CompareAndSet(ctx context.Context, key string, value []byte, expected uint64, mine func([]byte) bool) (Outcome, error)
}

// Summary names one publication.
type Summary struct {
	Revision            uint64 `json:"revision"`
	ChangeID            string `json:"change_id"`
	Author              string `json:"author"`
	PublishedUnixMillis int64  `json:"published_unix_millis"`
	// Digest is the hex SHA-256 of the document without its stamp.
	Digest string `json:"digest"`
}

// Head is the value of HeadKey: the document in force, and the summaries of it
// and of the revisions before it, newest first.
type Head struct {
	Document *document.Document
	Recent   []Summary
}

// headForm is a head as it is stored.
type headForm struct {
	Document json.RawMessage `json:"document"`
	Recent   []Summary       `json:"recent"`
}

// DamagedError says that a stored value cannot be read. It is left in place.
type DamagedError struct {
	Key   string
	Cause error
}

func (e *DamagedError) Error() string { return fmt.Sprintf("stored value of %s: %v", e.Key, e.Cause) }

func (e *DamagedError) Unwrap() error { return e.Cause }

// DecodeHead reads a stored head and validates its document.
func DecodeHead(value []byte) (*Head, error) {
	var form headForm
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
	return json.Marshal(headForm{Document: text, Recent: h.Recent})
}

// published returns the summary of a change, or nil when the change is not
// among those that the head still knows.
func (h *Head) published(changeID string) *Summary {
	for i := range h.Recent {
		if h.Recent[i].ChangeID == changeID {
			return &h.Recent[i]
		}
	}
	return nil
}

// after is the summary of the publication that followed a revision, or of the
// newest one when that is no longer known.
func (h *Head) after(revision uint64) Summary {
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
		panic("publication: a document that cannot be encoded: " + err.Error())
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
