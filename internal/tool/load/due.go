package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// dueStep is the time step of the reference for accounts' dues.
const dueStep = 100 * time.Millisecond

// share is an account in the tree of weights. As in the site's own order, work
// of an account that also encloses others is a child of its own with the default
// weight.
type share struct {
	weight   float64
	quota    float64 // slots; 0: none
	children []*share
	account  string  // of a leaf
	backlog  float64 // slot-seconds that a leaf waits for
	given    float64 // slot-seconds that a leaf got
}

// shareTree builds the tree and returns its root and the leaf of each account.
func shareTree(doc *document.Document) (*share, map[string]*share) {
	nodes := make(map[string]*share)
	for _, a := range doc.Accounts {
		nodes[a.Name] = &share{weight: float64(a.Weight), quota: float64(a.QuotaSlots), account: a.Name}
	}
	root := &share{}
	for _, a := range doc.Accounts {
		parent := root
		if a.Parent != "" {
			parent = nodes[a.Parent]
		}
		parent.children = append(parent.children, nodes[a.Name])
	}
	leaves := make(map[string]*share)
	for name, n := range nodes {
		leaves[name] = n
		if n.children != nil {
			own := &share{weight: document.DefaultWeight, account: name}
			n.children = append(n.children, own)
			leaves[name] = own
		}
	}
	return root, leaves
}

// want is how much the share can use of one step, in slot-seconds.
func (s *share) want(step time.Duration) float64 {
	sum := s.backlog
	for _, c := range s.children {
		sum += c.want(step)
	}
	if s.quota > 0 {
		sum = min(sum, s.quota*step.Seconds())
	}
	return sum
}

// give divides slot-seconds by weight among the children; what one can not use
// goes to the others.
func (s *share) give(amount float64, step time.Duration) {
	if s.children == nil {
		s.backlog -= amount
		s.given += amount
		return
	}
	type claim struct {
		child *share
		want  float64
	}
	var claims []claim
	var weights float64
	for _, c := range s.children {
		claims = append(claims, claim{c, c.want(step)})
		weights += c.weight
	}
	// The child that needs the least per weight is served first, in full when its
	// part suffices.
	slices.SortStableFunc(claims, func(a, b claim) int {
		return cmp.Compare(a.want/a.child.weight, b.want/b.child.weight)
	})
	for _, c := range claims {
		part := min(c.want, amount*c.child.weight/weights)
		c.child.give(part, step)
		amount -= part
		weights -= c.child.weight
	}
}

// demand is work that an account brings at a time.
type demand struct {
	at          time.Duration
	account     string
	slotSeconds float64
}

// dues returns what each account would have been given by the end, in
// slot-seconds, by weighted sharing of the slots without any overhead: each
// arrival's work can be served at once, on as many slots as there are.
func dues(doc *document.Document, demands []demand, slots float64, end time.Duration) map[string]float64 {
	root, leaves := shareTree(doc)
	next := 0
	for at := time.Duration(0); at < end; at += dueStep {
		for next < len(demands) && demands[next].at < at+dueStep {
			leaves[demands[next].account].backlog += demands[next].slotSeconds
			next++
		}
		root.give(min(slots*dueStep.Seconds(), root.want(dueStep)), dueStep)
	}
	out := make(map[string]float64)
	for name, leaf := range leaves {
		out[name] = leaf.given
	}
	return out
}
