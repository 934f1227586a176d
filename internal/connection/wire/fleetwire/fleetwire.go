// Package fleetwire converts the messages of packages membership and distribution to
// and from the generated messages.
package fleetwire

import (
	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/distribution"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
)

// RevisionMessage converts a message of package distribution to a control message.
func RevisionMessage(m distribution.Message) *pb.ControlMessage {
	switch m := m.(type) {
	case distribution.Summary:
		summary := &pb.RevisionSummary{Revision: m.Revision, Watching: m.Watching, Ask: m.Ask}
		return &pb.ControlMessage{Message: &pb.ControlMessage_Revision{Revision: summary}}
	case distribution.Push:
		push := &pb.RevisionPush{Version: m.Snapshot.Version, Value: m.Snapshot.Encoded}
		return &pb.ControlMessage{Message: &pb.ControlMessage_Push{Push: push}}
	}
	panic("unknown type of distribution message")
}

// Revision converts a control message to a message of package distribution. It
// returns nil for other kinds of message, and for a revision with a damaged document:
// no VM would apply it, so it must not be passed on.
func Revision(m *pb.ControlMessage) distribution.Message {
	switch m := m.GetMessage().(type) {
	case *pb.ControlMessage_Revision:
		return distribution.Summary{Revision: m.Revision.GetRevision(), Watching: m.Revision.GetWatching(), Ask: m.Revision.GetAsk()}
	case *pb.ControlMessage_Push:
		snapshot, _, err := distribution.Decode(m.Push.GetValue(), m.Push.GetVersion())
		if err != nil {
			return nil
		}
		return distribution.Push{Snapshot: snapshot}
	}
	return nil
}

// MembershipMessage converts a message of package membership to a control message.
func MembershipMessage(m membership.Message) *pb.ControlMessage {
	switch m := m.(type) {
	case membership.Heartbeat:
		beat := &pb.Heartbeat{Sender: factMessage(m.Sender), Silent: m.Silent, Workers: m.Workers, Facts: factMessages(m.Facts)}
		return &pb.ControlMessage{Message: &pb.ControlMessage_Heartbeat{Heartbeat: beat}}
	case membership.Summary:
		return &pb.ControlMessage{Message: &pb.ControlMessage_Summary{Summary: summaryMessage(m)}}
	case membership.Notice:
		return &pb.ControlMessage{Message: &pb.ControlMessage_Notice{Notice: &pb.Notice{Facts: factMessages(m.Facts)}}}
	case membership.Want:
		return &pb.ControlMessage{Message: &pb.ControlMessage_Want{Want: &pb.Want{}}}
	case membership.Probe:
		return &pb.ControlMessage{Message: &pb.ControlMessage_Probe{Probe: &pb.Probe{Sender: factMessage(m.Sender)}}}
	case membership.ProbeReply:
		reply := &pb.ProbeReply{Incarnation: m.Incarnation, Gone: m.Gone, Suspected: m.Suspected}
		return &pb.ControlMessage{Message: &pb.ControlMessage_ProbeReply{ProbeReply: reply}}
	}
	panic("unknown type of membership message")
}

// Membership converts a control message to a message of package membership. It
// returns nil for other kinds of message.
func Membership(m *pb.ControlMessage) membership.Message {
	switch m := m.GetMessage().(type) {
	case *pb.ControlMessage_Heartbeat:
		beat := m.Heartbeat
		return membership.Heartbeat{Sender: fact(beat.GetSender()), Silent: beat.GetSilent(), Workers: beat.GetWorkers(), Facts: facts(beat.GetFacts())}
	case *pb.ControlMessage_Summary:
		return summary(m.Summary)
	case *pb.ControlMessage_Notice:
		return membership.Notice{Facts: facts(m.Notice.GetFacts())}
	case *pb.ControlMessage_Want:
		return membership.Want{}
	case *pb.ControlMessage_Probe:
		return membership.Probe{Sender: fact(m.Probe.GetSender())}
	case *pb.ControlMessage_ProbeReply:
		reply := m.ProbeReply
		return membership.ProbeReply{Incarnation: reply.GetIncarnation(), Gone: reply.GetGone(), Suspected: reply.GetSuspected()}
	}
	return nil
}

// ListedFacts converts the platform's list of VMs to facts.
func ListedFacts(m *pb.ListVMsResponse) []membership.Fact {
	out := make([]membership.Fact, 0, len(m.GetVms()))
	for _, vm := range m.GetVms() {
		f := membership.Fact{
			Role: membership.Worker, ID: vm.Id, Incarnation: vm.Incarnation, Domain: vm.Domain, Rack: vm.Rack,
			Address: vm.Address, State: membership.Present, Sign: membership.SignList,
		}
		if vm.Role == pb.VMRole_VM_ROLE_ENTRY {
			f.Role = membership.Entry
		}
		if vm.Leaving {
			f.State = membership.Leaving
		}
		out = append(out, f)
	}
	return out
}

func factMessage(f membership.Fact) *pb.VMFact {
	m := &pb.VMFact{
		Role: pb.VMRole_VM_ROLE_WORKER, Id: f.ID, Incarnation: f.Incarnation, Domain: f.Domain, Rack: f.Rack,
		Address: f.Address, State: uint32(f.State),
	}
	if f.Role == membership.Entry {
		m.Role = pb.VMRole_VM_ROLE_ENTRY
	}
	return m
}

func factMessages(facts []membership.Fact) []*pb.VMFact {
	out := make([]*pb.VMFact, 0, len(facts))
	for _, f := range facts {
		out = append(out, factMessage(f))
	}
	return out
}

// fact converts a fact about a VM that a peer sent.
func fact(m *pb.VMFact) membership.Fact {
	f := membership.Fact{
		Role: membership.Worker, ID: m.GetId(), Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Rack: m.GetRack(),
		Address: m.GetAddress(), State: membership.State(m.GetState()), Sign: membership.SignPeer,
	}
	if m.GetRole() == pb.VMRole_VM_ROLE_ENTRY {
		f.Role = membership.Entry
	}
	return f
}

func facts(ms []*pb.VMFact) []membership.Fact {
	out := make([]membership.Fact, 0, len(ms))
	for _, m := range ms {
		out = append(out, fact(m))
	}
	return out
}

func summaryMessage(s membership.Summary) *pb.DomainSummary {
	m := &pb.DomainSummary{Sender: factMessage(s.Sender), Need: s.Need, Reply: s.Reply}
	for _, d := range s.Digests {
		m.Rows = append(m.Rows, rowMessage(membership.Row{Digest: d}))
	}
	for _, r := range s.Rows {
		m.Rows = append(m.Rows, rowMessage(r))
	}
	return m
}

func rowMessage(r membership.Row) *pb.DomainRow {
	m := &pb.DomainRow{Domain: r.Domain, Beat: r.Beat, Hash: r.Hash}
	for _, member := range r.Members {
		m.Members = append(m.Members, &pb.DomainMember{
			Id: member.ID, Incarnation: member.Incarnation, Address: member.Address,
			Leaving: member.Leaving, Suspect: member.Suspect,
		})
	}
	return m
}

// summary converts a domain summary. A row without members is a digest: a full row
// has at least its author as a member.
func summary(m *pb.DomainSummary) membership.Summary {
	s := membership.Summary{Sender: fact(m.GetSender()), Need: m.GetNeed(), Reply: m.GetReply()}
	for _, r := range m.GetRows() {
		d := membership.Digest{Domain: r.GetDomain(), Beat: r.GetBeat(), Hash: r.GetHash()}
		if len(r.GetMembers()) == 0 {
			s.Digests = append(s.Digests, d)
			continue
		}
		s.Rows = append(s.Rows, membership.Row{Digest: d, Members: rowMembers(r.GetMembers())})
	}
	return s
}

func rowMembers(ms []*pb.DomainMember) []membership.RowMember {
	out := make([]membership.RowMember, 0, len(ms))
	for _, m := range ms {
		out = append(out, membership.RowMember{
			ID: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(),
			Leaving: m.GetLeaving(), Suspect: m.GetSuspect(),
		})
	}
	return out
}
