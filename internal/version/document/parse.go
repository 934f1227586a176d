package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// SyntaxError says that a text is not a document at all.
type SyntaxError struct {
	Offset int64  // bytes into the text
	Path   string // the object concerned, when known
	Reason string
}

func (e *SyntaxError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("document: byte %d: %s", e.Offset, e.Reason)
	}
	return fmt.Sprintf("document: byte %d: %s: %s", e.Offset, e.Path, e.Reason)
}

// Parse reads a document, fills in its defaults and validates it. The error is
// a *SyntaxError or an *InvalidError.
//
// Unknown and repeated fields are refused: a misspelt or repeated field would
// otherwise be dropped, and the operator would believe it in force.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxEncodedBytes {
		return nil, &SyntaxError{Reason: fmt.Sprintf("%d bytes long; at most %d allowed", len(text), MaxEncodedBytes)}
	}
	if err := refuseRepeatedFields(text); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	doc := new(Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, syntaxError(decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &SyntaxError{Offset: decoder.InputOffset(), Reason: "text after the document"}
	}
	doc.ApplyDefaults()
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return doc, nil
}

func syntaxError(offset int64, err error) *SyntaxError {
	var badType *json.UnmarshalTypeError
	if errors.As(err, &badType) {
		reason := fmt.Sprintf("got a %s; allowed: %s", badType.Value, badType.Type)
		return &SyntaxError{Offset: badType.Offset, Path: badType.Field, Reason: reason}
	}
	return &SyntaxError{Offset: offset, Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

// openObject is an object or array that the scan for repeated fields is in.
type openObject struct {
	fields   map[string]bool // nil in an array
	wantName bool
}

// refuseRepeatedFields finds fields that occur twice in one object, of which
// encoding/json would silently keep the last. Names are folded to lower case,
// as encoding/json matches them.
func refuseRepeatedFields(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	var open []openObject
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return syntaxError(decoder.InputOffset(), err)
		}
		name, isString := token.(string)
		if isString && len(open) > 0 && open[len(open)-1].wantName {
			top := &open[len(open)-1]
			folded := strings.ToLower(name)
			if top.fields[folded] {
				return &SyntaxError{Offset: decoder.InputOffset(), Path: name, Reason: "field given twice"}
			}
			top.fields[folded] = true
			top.wantName = false
			continue
		}
		open = enterOrLeave(open, token)
	}
}

// enterOrLeave follows one token that is not a field name.
func enterOrLeave(open []openObject, token json.Token) []openObject {
	switch token {
	case json.Delim('{'):
		return append(open, openObject{fields: make(map[string]bool), wantName: true})
	case json.Delim('['):
		return append(open, openObject{})
	case json.Delim('}'), json.Delim(']'):
		open = open[:len(open)-1]
	}
	if len(open) > 0 && open[len(open)-1].fields != nil {
		open[len(open)-1].wantName = true
	}
	return open
}

// Defaults fills in what an operator may leave out and puts templates and
// accounts into the order of their names, on which the lookups rely.
func (d *Document) ApplyDefaults() {
	for i := range d.Templates {
		d.Templates[i].defaults()
	}
	for i := range d.Accounts {
		if d.Accounts[i].Weight == 0 {
			d.Accounts[i].Weight = DefaultWeight
		}
	}
	slices.SortStableFunc(d.Templates, func(a, b Template) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
}

func (t *Template) defaults() {
	if t.Class == "" {
		t.Class = Normal
	}
	setDefault(&t.Declared.Slots, DefaultSlots)
	setDefault(&t.Declared.MilliCPU, DefaultMilliCPU)
	setDefault(&t.Declared.MemoryMiB, DefaultMemoryMiB)
	setDefault(&t.Declared.Milliwatts, DefaultMilliwatts)
	setDefault(&t.Declared.RunMillis, DefaultRunMillis)
	setDefault(&t.DeadlineMillis, DefaultDeadlineMillis)
	setDefault(&t.MaxTasks, DefaultMaxTasks)
}

func setDefault(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}
