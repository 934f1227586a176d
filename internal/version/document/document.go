// Package document defines the operators' configuration: the templates, client
// accounts and site limits that are in force together under one revision.
//
// A document is immutable once parsed. It is accepted or refused as a whole: a
// half-applied document would put templates in force that were never checked
// against the accounts and limits they were written for.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Class orders work by how long its caller can wait.
type Class string

// The classes, most pressing first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Declared is what a template's author expects one task to occupy. It is a
// hint: the true size may be far off.
type Declared struct {
	Slots        uint32 `json:"slots"`
	MilliCPU     uint32 `json:"milli_cpu"`    // thousandths of a processor
	MemoryMiB    uint32 `json:"memory_mib"`   // mebibytes
	Accelerators uint32 `json:"accelerators"` // whole devices
	Milliwatts   uint32 `json:"milliwatts"`   // draw above the idle worker
	RunMillis    uint32 `json:"run_millis"`   // run time, milliseconds
}

// Template describes one kind of work.
type Template struct {
	Name string `json:"name"`
	// Class is the class of each submission of the template.
	Class Class `json:"class"`
	// Idempotent says that a task may be run again without harm. Submissions
	// of other templates need a ticket.
	Idempotent bool `json:"idempotent"`
	// Declared is the expected size of one task.
	Declared Declared `json:"declared"`
	// DeadlineMillis is the longest a submission may take, from its arrival to
	// its answer, in milliseconds.
	DeadlineMillis uint32 `json:"deadline_millis"`
	// MaxTasks is the largest number of tasks in one submission.
	MaxTasks uint32 `json:"max_tasks"`
}

// Account holds the parameters of one client account.
type Account struct {
	Name string `json:"name"`
	// Weight is the account's share relative to its siblings.
	Weight uint32 `json:"weight"`
	// QuotaSlots bounds the slots that the account and its children occupy
	// over the whole site; 0 means no bound.
	QuotaSlots uint32 `json:"quota_slots"`
	// Parent names the account whose share this one divides; empty at the top.
	Parent string `json:"parent,omitempty"`
	// KeyHashes are the hex SHA-256 hashes of the keys that are valid now.
	// Several are valid at once while a key is being rotated.
	KeyHashes []string `json:"key_hashes"`
}

// Site holds the limits of the whole site.
type Site struct {
	// PowerCapMilliwatts is the hard cap on the site's draw, idle draw
	// included.
	PowerCapMilliwatts uint64 `json:"power_cap_milliwatts"`
	// Domains maps each failure domain to its part of the cap, in milliwatts.
	// The parts never sum to more than the cap, so that domains that are cut
	// off from each other cannot pass it together.
	Domains map[string]uint64 `json:"domains"`
}

// Document is one revision of the configuration.
type Document struct {
	// Revision grows by one with each publication; 0 means never published.
	Revision uint64 `json:"revision,omitempty"`
	// ChangeID names the publication that made this revision.
	ChangeID string `json:"change_id,omitempty"`
	// Author is the operator who published it.
	Author string `json:"author,omitempty"`
	// PublishedUnixMillis is when, by the publisher's clock.
	PublishedUnixMillis int64 `json:"published_unix_millis,omitempty"`

	// Templates and Accounts are in the order of their names.
	Templates []Template `json:"templates"`
	Accounts  []Account  `json:"accounts"`
	Site      Site       `json:"site"`
}

// KeyHash is the hash under which a document holds an account's key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Encode is the stored form of the document, which Parse reads back.
func (d *Document) Encode() ([]byte, error) {
	return json.MarshalIndent(d, "", "  ")
}

// Template returns the template of that name, or nil.
func (d *Document) Template(name string) *Template {
	i, found := slices.BinarySearchFunc(d.Templates, name, compareTemplate)
	if !found {
		return nil
	}
	return &d.Templates[i]
}

// Account returns the client account of that name, or nil.
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
