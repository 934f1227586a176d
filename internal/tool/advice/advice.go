// Package advice lists, for each stable reason code, its meaning and what to do
// about it. The command-line tool prints the advice with errors, and
// docs/OPERATIONS.md contains the list as tables.
package advice

import (
	"fmt"
	"strings"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// Group is the heading under which reason codes are listed: the situation in
// which they occur.
type Group string

// The groups, in the order in which they are printed.
const (
	Refused       Group = "Refused before it was taken"
	NotCompleted  Group = "Taken, and did not complete"
	TimelineStep  Group = "Steps of a timeline, between the system's processes"
	Operator      Group = "Requests of operators"
	Placement     Group = "Why tasks wait for a worker"
	QueueOrder    Group = "Whose turn it is"
	PeerSelection Group = "Which entry VM gets tasks"
	WorkerHealth  Group = "Why a worker has its tier"
	Power         Group = "Why watts move"
	Membership    Group = "Why an entry VM is in doubt"
)

// Groups returns all groups in the order in which they are printed.
func Groups() []Group {
	return []Group{Refused, NotCompleted, TimelineStep, Operator, Placement, QueueOrder, PeerSelection, WorkerHealth, Power, Membership}
}

// Entry explains one code.
type Entry struct {
	Group   Group
	Code    reason.Code
	Meaning string
	Action  string
}

// For returns the entry of a code, and false if there is none.
func For(code reason.Code) (Entry, bool) {
	for _, e := range entries {
		if e.Code == code {
			return e, true
		}
	}
	return Entry{}, false
}

// All returns all entries in the order of their groups.
func All() []Entry { return entries }

// Markdown renders the entries as one table for each group.
func Markdown() string {
	var b strings.Builder
	for _, g := range Groups() {
		fmt.Fprintf(&b, "### %s\n\n| Code | Meaning | What to do |\n|---|---|---|\n", g)
		for _, e := range entries {
			if e.Group == g {
				fmt.Fprintf(&b, "| `%s` | %s | %s |\n", e.Code, e.Meaning, e.Action)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}
