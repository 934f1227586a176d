package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field whose value differs between two documents.
type Difference struct {
	Path string // such as templates[quote].deadline_millis
	Old  string // JSON, empty when the field was added
	New  string // JSON, empty when the field was removed
}

// Diff lists the fields that differ between two documents, sorted by path. It
// ignores the revision, change id, author and publication time.
func Diff(from, to *Document) []Difference {
	before, after := from.fields(), to.fields()
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			differences = append(differences, Difference{Path: path, Old: before[path], New: after[path]})
		}
	}
	return differences
}

// fields returns the JSON value of each field by its path.
func (d *Document) fields() map[string]string {
	fields := make(map[string]string)
	for _, t := range d.Templates {
		flatten(fields, fmt.Sprintf("templates[%s]", t.Name), t)
	}
	for _, a := range d.Accounts {
		flatten(fields, fmt.Sprintf("accounts[%s]", a.Name), a)
	}
	flatten(fields, "site", d.Site)
	return fields
}

// flatten adds the fields of a value, and of the objects in it, under path.
func flatten(fields map[string]string, path string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic("document: cannot encode a parsed document: " + err.Error())
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) != nil {
		fields[path] = string(text)
		return
	}
	for name, field := range object {
		flatten(fields, path+"."+name, field)
	}
}
