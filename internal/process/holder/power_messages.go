package holder

import (
	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/power"
)

func allotmentMessage(a power.Allot) *pb.Allotment {
	return &pb.Allotment{
		Sequence: a.Sequence,
		Record: &pb.AllotmentRecord{
			Revision:           a.Record.Revision,
			GrantedMilliwatts:  uint64(a.Record.Granted),
			AllottedMilliwatts: uint64(a.Record.Allotted),
		},
	}
}

func runMessage(vm power.VM) *pb.EntryRun {
	return &pb.EntryRun{Name: vm.Name, Incarnation: vm.Incarnation}
}

func entryRun(m *pb.EntryRun) power.VM {
	return power.VM{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}

func summaryMessage(s power.Summary) *pb.PowerSummary {
	return &pb.PowerSummary{
		From:            runMessage(s.From),
		Revision:        s.Revision,
		HeldMilliwatts:  uint64(s.Held),
		SpareMilliwatts: uint64(s.Spare),
		Confirmed:       s.Confirmed,
		Leased:          s.Leased,
	}
}

func summary(m *pb.PowerSummary) power.Summary {
	return power.Summary{
		From:      entryRun(m.From),
		Revision:  m.Revision,
		Held:      power.Milliwatts(m.HeldMilliwatts),
		Spare:     power.Milliwatts(m.SpareMilliwatts),
		Confirmed: m.Confirmed,
		Leased:    m.Leased,
	}
}

func requestMessage(r power.Request) *pb.PowerRequest {
	return &pb.PowerRequest{From: runMessage(r.From), To: runMessage(r.To), Milliwatts: uint64(r.Milliwatts)}
}

func request(m *pb.PowerRequest) power.Request {
	return power.Request{
		From:       entryRun(m.From),
		To:         entryRun(m.To),
		Milliwatts: power.Milliwatts(m.Milliwatts),
		Reason:     power.DemandHere,
	}
}

func transferMessage(t power.Transfer) *pb.PowerTransfer {
	return &pb.PowerTransfer{
		Incarnation: t.ID.Incarnation,
		Sequence:    t.ID.Sequence,
		From:        runMessage(t.From),
		To:          runMessage(t.To),
		Revision:    t.Revision,
		Milliwatts:  uint64(t.Milliwatts),
	}
}

func transfer(m *pb.PowerTransfer) power.Transfer {
	return power.Transfer{
		ID:         power.TransferID{Incarnation: m.Incarnation, Sequence: m.Sequence},
		From:       entryRun(m.From),
		To:         entryRun(m.To),
		Revision:   m.Revision,
		Milliwatts: power.Milliwatts(m.Milliwatts),
	}
}

func ackMessage(a power.Ack) *pb.PowerAck {
	return &pb.PowerAck{
		Incarnation: a.ID.Incarnation,
		Sequence:    a.ID.Sequence,
		From:        runMessage(a.From),
		Void:        a.Void,
	}
}

func ack(m *pb.PowerAck) power.Ack {
	return power.Ack{
		ID:   power.TransferID{Incarnation: m.Incarnation, Sequence: m.Sequence},
		From: entryRun(m.From),
		Void: m.Void,
	}
}
