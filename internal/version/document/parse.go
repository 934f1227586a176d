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

// SyntaxError reports a text that cannot be decoded as a document.
type SyntaxError struct {
	Offset int64  // bytes into the text
	Path   string // the field concerned, when known
	Reason string
}

func (e *SyntaxError) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("document: byte %d: %s", e.Offset, e.Reason)
	}
	return fmt.Sprintf("document: byte %d: %s: %s", e.Offset, e.Path, e.Reason)
}

// Parse decodes a document, applies defaults and validates it. The error is a
// *SyntaxError or an *InvalidError.
//
// Unknown and repeated fields are rejected: a misspelt or repeated field would
// otherwise be dropped silently, while the operator believes it is in force.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxEncodedBytes {
		return nil, &SyntaxError{Reason: fmt.Sprintf("%d bytes long; at most %d allowed", len(text), MaxEncodedBytes)}
	}
	if err := rejectRepeatedFields(text); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	doc := new(Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, newSyntaxError(decoder.InputOffset(), err)
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

func newSyntaxError(offset int64, err error) *SyntaxError {
	var badType *json.UnmarshalTypeError
	if errors.As(err, &badType) {
		reason := fmt.Sprintf("got a %s; allowed: %s", badType.Value, badType.Type)
		return &SyntaxError{Offset: badType.Offset, Path: badType.Field, Reason: reason}
	}
	return &SyntaxError{Offset: offset, Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

// openValue is an object or array that encloses the current token.
type openValue struct {
	fields      map[string]bool // nil in an array
	expectsName bool
}

// rejectRepeatedFields returns an error if a field occurs twice in one object;
// encoding/json would silently keep the last one. Names are compared in lower
// case, since encoding/json matches them without regard to case.
func rejectRepeatedFields(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	var open []openValue
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return newSyntaxError(decoder.InputOffset(), err)
		}
		name, isString := token.(string)
		if isString && len(open) > 0 && open[len(open)-1].expectsName {
			top := &open[len(open)-1]
			folded := strings.ToLower(name)
			if top.fields[folded] {
				return &SyntaxError{Offset: decoder.InputOffset(), Path: name, Reason: "field given twice"}
			}
			top.fields[folded] = true
			top.expectsName = false
			continue
		}
		open = updateNesting(open, token)
	}
}

// updateNesting updates the stack of open objects and arrays for a token that
// is not a field name.
func updateNesting(open []openValue, token json.Token) []openValue {
	switch token {
	case json.Delim('{'):
		return append(open, openValue{fields: make(map[string]bool), expectsName: true})
	case json.Delim('['):
		return append(open, openValue{})
	case json.Delim('}'), json.Delim(']'):
		open = open[:len(open)-1]
	}
	if len(open) > 0 && open[len(open)-1].fields != nil {
		open[len(open)-1].expectsName = true
	}
	return open
}

// ApplyDefaults sets omitted optional fields, and sorts templates and accounts
// by name for the binary search of the lookups.
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
