// Package network simulates the network between VMs on a virtual clock, for tests of
// deterministic state machines.
//
// Messages are delivered in the order of their arrival times, and at equal times in
// the order in which they were sent, so that runs with the same seed are identical.
// Tests can inject message loss and cuts.
package network

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Network delivers messages and runs timed actions. It is not safe for concurrent
// use.
type Network struct {
	// Now is the virtual time.
	Now time.Time
	// Delay is the one-way latency of a message.
	Delay time.Duration
	// Loss is the probability that a message is lost, from 0 to 1.
	Loss float64
	// Cut reports whether all messages from one VM to another are lost; nil means
	// that none are.
	Cut func(from, to string) bool

	random  *rand.Rand
	pending queue
	order   uint64
	traffic map[string]*Traffic
}

// Traffic counts what one VM sent and received.
type Traffic struct {
	Messages int // sent
	Sent     int // bytes
	Received int // bytes
}

// New returns a network that draws message losses from a generator with this seed.
func New(seed uint64, delay time.Duration) *Network {
	return &Network{
		Now:     time.Unix(0, 0),
		Delay:   delay,
		random:  rand.New(rand.NewPCG(seed, seed)),
		traffic: make(map[string]*Traffic),
	}
}

// Traffic returns the counts of a VM since the last reset.
func (n *Network) Traffic(vm string) *Traffic {
	if n.traffic[vm] == nil {
		n.traffic[vm] = new(Traffic)
	}
	return n.traffic[vm]
}

// ResetTraffic sets all counts to zero.
func (n *Network) ResetTraffic() { clear(n.traffic) }

// Send calls deliver after Delay, unless the message is lost. bytes is the size of the
// message for the traffic counts.
func (n *Network) Send(from, to string, bytes int, deliver func()) {
	sender := n.Traffic(from)
	sender.Messages++
	sender.Sent += bytes
	if n.random.Float64() < n.Loss || (n.Cut != nil && n.Cut(from, to)) {
		return
	}
	n.After(n.Delay, func() {
		n.Traffic(to).Received += bytes
		deliver()
	})
}

// After schedules an action to run after a delay.
func (n *Network) After(wait time.Duration, action func()) {
	n.order++
	heap.Push(&n.pending, timed{at: n.Now.Add(wait), order: n.order, action: action})
}

// Every schedules an action to run at an interval, indefinitely.
func (n *Network) Every(interval time.Duration, action func()) {
	n.After(interval, func() {
		action()
		n.Every(interval, action)
	})
}

// Run advances the clock by span and runs the actions that become due.
func (n *Network) Run(span time.Duration) {
	end := n.Now.Add(span)
	n.RunUntil(end, func() bool { return false })
	n.Now = end
}

// RunUntil runs the actions that become due up to end, until the condition holds
// after one of them, and reports whether it did.
func (n *Network) RunUntil(end time.Time, condition func() bool) bool {
	for len(n.pending) > 0 && !n.pending[0].at.After(end) {
		next := heap.Pop(&n.pending).(timed)
		n.Now = next.at
		next.action()
		if condition() {
			return true
		}
	}
	return false
}

type timed struct {
	at     time.Time
	order  uint64
	action func()
}

// queue is a heap of actions ordered by time and then by scheduling order.
type queue []timed

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(item any) { *q = append(*q, item.(timed)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}
