// Package document defines the configuration that operators publish: templates,
// client accounts and site limits, which take effect together as one revision.
//
// A document is immutable once parsed. It is accepted or rejected as a whole: a
// partly applied document would activate templates that were never validated
// against the accounts and limits they were written for.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Class ranks submissions by how long their callers can wait.
type Class string

// The classes, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Declared holds the resources that a template's author expects one task to
// use. It is a hint: actual use may differ widely.
type Declared struct {
	Slots        uint32 `json:"slots"`
	MilliCPU     uint32 `json:"milli_cpu"`    // thousandths of a processor
	MemoryMiB    uint32 `json:"memory_mib"`   // mebibytes
	Accelerators uint32 `json:"accelerators"` // whole devices
	Milliwatts   uint32 `json:"milliwatts"`   // power draw in addition to that of an idle worker
	RunMillis    uint32 `json:"run_millis"`   // run time, milliseconds
}

// Template describes one kind of submission.
type Template struct {
	Name string `json:"name"`
	// Class applies to every submission of the template.
	Class Class `json:"class"`
	// Idempotent means that running a task again does no harm. Submissions of
	// templates that are not idempotent need a ticket.
	Idempotent bool `json:"idempotent"`
	// Declared is the expected size of one task.
	Declared Declared `json:"declared"`
	// DeadlineMillis limits the time from a submission's arrival to its answer.
	DeadlineMillis uint32 `json:"deadline_millis"`
	// MaxTasks is the largest number of tasks in one submission.
	MaxTasks uint32 `json:"max_tasks"`
}

// Account holds the parameters of one client account.
type Account struct {
	Name string `json:"name"`
	// Weight sets the account's fair share relative to its siblings.
	Weight uint32 `json:"weight"`
	// QuotaSlots limits the slots that the account and its descendants occupy
	// across the site; 0 means no limit.
	QuotaSlots uint32 `json:"quota_slots"`
	// Parent names the account of whose share this account gets a part; empty
	// for a top-level account.
	Parent string `json:"parent,omitempty"`
	// KeyHashes are the hex SHA-256 hashes of the valid keys. Several keys are
	// valid at once while a key is being rotated.
	KeyHashes []string `json:"key_hashes"`
}

// Site holds the limits of the whole site.
type Site struct {
	// PowerCapMilliwatts is the hard limit on the site's power draw, including
	// idle draw.
	PowerCapMilliwatts uint64 `json:"power_cap_milliwatts"`
	// Domains maps each failure domain to its part of the cap, in milliwatts.
	// The sum of the parts never exceeds the cap, so that domains partitioned
	// from each other cannot exceed it together.
	Domains map[string]uint64 `json:"domains"`
}

// Document is one revision of the configuration.
type Document struct {
	// Revision increases by one with each publication; 0 means never published.
	Revision uint64 `json:"revision,omitempty"`
	// ChangeID identifies the publication that created this revision.
	ChangeID string `json:"change_id,omitempty"`
	// Author is the operator who published the revision.
	Author string `json:"author,omitempty"`
	// PublishedUnixMillis is the publication time by the publisher's clock.
	PublishedUnixMillis int64 `json:"published_unix_millis,omitempty"`

	// Templates and Accounts are sorted by name.
	Templates []Template `json:"templates"`
	Accounts  []Account  `json:"accounts"`
	Site      Site       `json:"site"`
}

// KeyHash returns the hash that a document stores in place of an account's key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Encode returns the document as JSON, which Parse accepts.
func (d *Document) Encode() ([]byte, error) {
	return json.MarshalIndent(d, "", "  ")
}

// Template returns the template with the given name, or nil.
func (d *Document) Template(name string) *Template {
	i, found := slices.BinarySearchFunc(d.Templates, name, compareTemplate)
	if !found {
		return nil
	}
	return &d.Templates[i]
}

// Account returns the client account with the given name, or nil.
func (d *Document) Account(name string) *Account {
	i, found := slices.BinarySearchFunc(d.Accounts, name, compareAccount)
	if !found {
		return nil
	}
	return &d.Accounts[i]
}

// AccountOfKey returns the client account for which the key is valid, or nil.
func (d *Document) AccountOfKey(key string) *Account {
	hash := KeyHash(key)
	for i := range d.Accounts {
		if slices.Contains(d.Accounts[i].KeyHashes, hash) {
			return &d.Accounts[i]
		}
	}
	return nil
}

func compareTemplate(t Template, name string) int { return strings.Compare(t.Name, name) }

func compareAccount(a Account, name string) int { return strings.Compare(a.Name, name) }
