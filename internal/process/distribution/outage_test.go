package distribution

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	connection "github.com/pumiceyard/pumiceyard/internal/connection/platform"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	standin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
	"github.com/pumiceyard/pumiceyard/internal/version/publication"
)

// Guards against an operator's change that is published twice, or that a new VM does
// not apply, after an outage. The change is published, its reply is lost and the store
// becomes unavailable; a VM is replaced; the store returns and the operator publishes
// the change again. An unknown outcome must not be treated as a failure.
func TestPublishLostItsAnswerInAnOutageAndAVMIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New(standin.Options{})
		options := storeclient.Options{StoreReadsPerSecond: 2000, StoreWritesPerSecond: 300, Fleet: 2, Seed: 1}
		platform := &lastAnswer{Client: connection.New(service), service: service}
		client := storeclient.New(platform, options)
		operator := publication.New(client.Configuration(), time.Now)
		pair := newPair(t, client)
		publish := func(id string, base uint64) (publication.Receipt, error) {
			return operator.Publish(t.Context(), publication.Change{ID: id, Author: "radka", BaseRevision: base, Document: sample(t)})
		}
		if _, err := publish("first", 0); err != nil {
			t.Fatal(err)
		}
		pair.run(inForceWithin)

		platform.armed = true
		var unresolved *storeclient.UnresolvedError
		if _, err := publish("second", 1); !errors.As(err, &unresolved) {
			t.Fatalf("error %v, want an UnresolvedError", err)
		}
		platform.armed = false
		pair.replace(1)
		pair.run(inForceWithin)
		if node := pair.nodes[1]; !node.Ready() || node.Held().Revision != 1 {
			t.Errorf("the new VM: ready %v with revision %d, want 1 of its peer", node.Ready(), node.Held().Revision)
		}
		var down *storeclient.UnavailableError
		if _, err := publish("third", 2); !errors.As(err, &down) {
			t.Errorf("during the outage: %v, want an UnavailableError", err)
		}
		service.SetFaults(standin.Faults{})
		pair.run(inForceWithin)
		if held := pair.nodes[1].Held().Revision; held != 2 {
			t.Errorf("after the outage revision %d is in force, want 2", held)
		}
		again, err := publish("second", 1)
		if err != nil || again.Revision != 2 || !again.Earlier {
			t.Errorf("published again as %+v, %v; want revision 2 of the first attempt", again, err)
		}
	})
}

// lastAnswer makes the store unavailable as soon as the next head is written, before
// it replies.
type lastAnswer struct {
	*connection.Client
	service *standin.Platform
	armed   bool
}

func (l *lastAnswer) CompareAndSet(ctx context.Context, msg *pumiceyardv1.CompareAndSetRequest) (*pumiceyardv1.CompareAndSetResponse, error) {
	answer, err := l.Client.CompareAndSet(ctx, msg)
	if l.armed && msg.Key == publication.HeadKey {
		l.service.SetFaults(standin.Faults{Outage: true})
		return nil, errors.New("connection lost")
	}
	return answer, err
}

func sample(t *testing.T) *document.Document {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/tsagaan-shavar/document.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// pair is two nodes of one domain over the store client.
type pair struct {
	t      *testing.T
	client *storeclient.Client
	peers  []Peer
	nodes  []*Node
}

func newPair(t *testing.T, client *storeclient.Client) *pair {
	p := &pair{t: t, client: client, peers: []Peer{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}}}
	p.nodes = make([]*Node, len(p.peers))
	for i := range p.peers {
		p.replace(i)
	}
	return p
}

func (p *pair) replace(i int) {
	p.nodes[i] = New(Options{Self: p.peers[i], Seed: uint64(i + 1)}, time.Now())
	p.step(i, PeersChanged{Peers: []Peer{p.peers[1-i]}})
}

// run ticks both nodes for a while on the virtual clock.
func (p *pair) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(TickInterval) {
		for i := range p.nodes {
			p.step(i, Tick{})
		}
	}
}

func (p *pair) step(i int, event Event) {
	for _, action := range append([]Action(nil), p.nodes[i].Step(time.Now(), event)...) {
		switch action := action.(type) {
		case Send:
			if p.nodes[1-i] != nil {
				p.step(1-i, Received{From: p.peers[i], Message: action.Message})
			}
		case CallStore:
			p.step(i, p.call(action))
		}
	}
}

func (p *pair) call(c CallStore) StoreAnswered {
	answer, err := p.client.Watch(p.t.Context(), storeclient.ForConfiguration, publication.HeadKey, c.After, 0)
	if err != nil {
		return StoreAnswered{Call: c.Call, Failed: true}
	}
	return p.decode(c, answer)
}

func (p *pair) decode(c CallStore, answer *pumiceyardv1.WatchResponse) StoreAnswered {
	if !answer.Changed {
		return StoreAnswered{Call: c.Call}
	}
	snapshot, _, err := Decode(answer.Value, answer.Version)
	if err != nil {
		p.t.Error(err)
	}
	return StoreAnswered{Call: c.Call, Snapshot: snapshot}
}
