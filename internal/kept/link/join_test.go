package link

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// messages calls a function with each field of a frame that is a message, and a function that sets it.
func messages(t *testing.T, each func(f protoreflect.FieldDescriptor, set func(*pb.KeptFrame))) {
	t.Helper()
	ofTheStream := map[protoreflect.Name]bool{"entry_vm": true, "incarnation": true, "reaches_store": true, "wanted": true}
	fields := (&pb.KeptFrame{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case ofTheStream[f.Name()]:
		case f.IsList():
			each(f, func(frame *pb.KeptFrame) { frame.ProtoReflect().Mutable(f).List().AppendMutable() })
		case f.Message() != nil:
			each(f, func(frame *pb.KeptFrame) { frame.ProtoReflect().Mutable(f) })
		default:
			t.Fatalf("%s is of a kind that this test does not know", f.Name())
		}
	}
}

// Symptom: a kind of message never arrives. Sequence: it waits for the stream, like the
// others. Cause: frames that wait are joined field by field, and a new one was left out.
func TestJoinedFramesLoseNoField(t *testing.T) {
	full := &pb.KeptFrame{}
	messages(t, func(_ protoreflect.FieldDescriptor, set func(*pb.KeptFrame)) { set(full) })
	joined := mergeFrames([]*pb.KeptFrame{{}, full, {}})
	messages(t, func(f protoreflect.FieldDescriptor, _ func(*pb.KeptFrame)) {
		if !joined.ProtoReflect().Has(f) {
			t.Errorf("%s is lost", f.Name())
		}
	})
}

// Symptom: as above, if nothing else comes with it. Sequence: a frame brings one kind of message. Cause:
// the frame passes for a heartbeat.
func TestFrameWithOneMessageIsNoHeartbeat(t *testing.T) {
	messages(t, func(f protoreflect.FieldDescriptor, set func(*pb.KeptFrame)) {
		frame := &pb.KeptFrame{}
		if set(frame); !CarriesMessages(frame) {
			t.Errorf("a frame with %s passes for a heartbeat", f.Name())
		}
	})
	if CarriesMessages(&pb.KeptFrame{EntryVm: "a", Incarnation: 1, ReachesStore: true, Wanted: true}) {
		t.Error("a heartbeat passes for more")
	}
}
