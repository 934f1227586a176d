// Package network is a small stand-in for the network between VMs, on a virtual
// clock, for tests of deterministic cores.
//
// Messages are delivered in the order of their times and then of their sending,
// so that a run with one seed is always the same. Loss and cuts are injected.
package network

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Network delivers messages and runs timed actions. It is for one goroutine.
type Network struct {
	// Now is the virtual time.
	Now time.Time
	// Delay is the time that a message takes one way.
	Delay time.Duration
	// Loss is the part of the messages that is lost, from 0 to 1.
	Loss float64
	// Cut reports whether messages between two VMs are lost; nil for none.
	Cut func(from, to string) bool

	random  *rand.Rand
	pending queue
	order   uint64
	traffic map[string]*Traffic
}

// Traffic is what one VM sent and received.
type Traffic struct {
	Messages int // sent
	Sent     int // bytes
	Received int // bytes
}

// New returns a network whose losses are drawn from the seed.
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

// Send delivers a message of so many bytes, unless it is lost.
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

// After runs an action once the time has passed.
func (n *Network) After(wait time.Duration, action func()) {
	n.order++
	heap.Push(&n.pending, timed{at: n.Now.Add(wait), order: n.order, action: action})
}

// Every runs an action at an interval, for ever.
func (n *Network) Every(interval time.Duration, action func()) {
	n.After(interval, func() {
		action()
		n.Every(interval, action)
	})
}

// Run moves the time on and runs what falls due.
func (n *Network) Run(span time.Duration) {
	end := n.Now.Add(span)
	n.RunUntil(end, func() bool { return false })
	n.Now = end
}

// RunUntil runs what falls due until the condition holds, and reports whether
// it came to hold by the end.
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

// queue is a heap of actions by time.
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
