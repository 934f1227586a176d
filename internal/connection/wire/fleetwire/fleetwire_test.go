package fleetwire

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/distribution"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
)

func marshalRoundTrip(t *testing.T, m *pb.ControlMessage) *pb.ControlMessage {
	t.Helper()
	text, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	out := new(pb.ControlMessage)
	if err := proto.Unmarshal(text, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Every message must be unchanged after it is encoded and decoded. If a field were
// lost, the VMs of the fleet would never agree on the membership.
func TestMessagesRoundTrip(t *testing.T) {
	worker := membership.Fact{
		Role: membership.Worker, ID: "w", Incarnation: 3, Domain: "d", Rack: "r",
		Address: "w:1", State: membership.Leaving, Sign: membership.SignPeer,
	}
	sender := worker
	sender.Role, sender.ID, sender.State = membership.Entry, "e", membership.Present
	digest := membership.Digest{Domain: "d", Beat: 4, Hash: 5}
	row := membership.Row{Digest: digest, Members: []membership.RowMember{
		{ID: "a", Incarnation: 6, Address: "a:1", Leaving: true},
		{ID: "b", Incarnation: 7, Address: "b:1", Suspect: true},
	}}
	for _, m := range []membership.Message{
		membership.Heartbeat{Sender: sender, Silent: []string{"x"}, Workers: 8, Facts: []membership.Fact{worker}},
		membership.Summary{Sender: sender, Digests: []membership.Digest{digest}, Rows: []membership.Row{row}, Need: []string{"f"}, Reply: true},
		membership.Notice{Facts: []membership.Fact{worker, sender}},
		membership.Want{},
		membership.Probe{Sender: sender},
		membership.ProbeReply{Incarnation: 9, Gone: true, Suspected: true},
	} {
		if got := Membership(marshalRoundTrip(t, MembershipMessage(m))); !reflect.DeepEqual(got, m) {
			t.Errorf("%+v is decoded as %+v", m, got)
		}
	}
	summary := distribution.Summary{Revision: 1, Watching: true, Ask: true}
	if got := Revision(marshalRoundTrip(t, RevisionMessage(summary))); got != summary {
		t.Errorf("%+v is decoded as %+v", summary, got)
	}
	damaged := distribution.Push{Snapshot: distribution.Snapshot{Revision: 2, Version: 3, Encoded: []byte("damaged")}}
	if got := Revision(marshalRoundTrip(t, RevisionMessage(damaged))); got != nil {
		t.Errorf("a damaged document is decoded as %+v", got)
	}
}
