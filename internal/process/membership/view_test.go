package membership

import (
	"testing"
	"time"
)

// Symptom: an entry VM that has joined is never linked to by one member of its
// domain. Sequence: a notice of the newcomer comes, the view is read; its first
// heartbeat comes before the next tick; nothing else changes. Cause would be a
// view that is rebuilt on news only, while the first sign of life is none.
func TestFirstSignOfLifeShowsInTheView(t *testing.T) {
	now := time.Unix(100, 0)
	self := Fact{Role: Entry, ID: "a", Incarnation: 1, Domain: "d", Address: "a:1", State: Present}
	other := Fact{Role: Entry, ID: "b", Incarnation: 2, Domain: "d", Address: "b:1", State: Present}
	c := New(Options{Self: self, Seed: 1}, now)
	c.Step(now, Received{From: "c", Message: Notice{Facts: []Fact{other}}})
	before := c.View()
	c.Step(now, Received{From: "b", Message: Heartbeat{Sender: other}})
	c.Step(now.Add(TickInterval), Tick{})
	if after := c.View(); after.Version == before.Version || len(after.Live["d"]) != 2 {
		t.Errorf("view %d after %d, live %v", after.Version, before.Version, after.Live["d"])
	}
}

// The same for a member of another domain, whose row is its sign of life.
func TestFirstRowShowsInTheView(t *testing.T) {
	now := time.Unix(100, 0)
	self := Fact{Role: Entry, ID: "a", Incarnation: 1, Domain: "d", Address: "a:1", State: Present}
	other := Fact{Role: Entry, ID: "b", Incarnation: 2, Domain: "e", Address: "b:1", State: Present}
	row := Row{
		Digest:  Digest{Domain: "e", Beat: 1, Hash: 1},
		Members: []RowMember{{ID: "b", Incarnation: 2, Address: "b:1"}},
	}
	c := New(Options{Self: self, Seed: 1}, now)
	c.Step(now, Received{From: "c", Message: Notice{Facts: []Fact{other}}})
	before := c.View()
	c.Step(now, Received{From: "b", Message: Summary{Sender: other, Rows: []Row{row}}})
	c.Step(now.Add(TickInterval), Tick{})
	if after := c.View(); after.Version == before.Version || len(after.Live["e"]) != 1 {
		t.Errorf("view %d after %d, live %v", after.Version, before.Version, after.Live["e"])
	}
}
