package link

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// messages calls each for every field of a frame that carries messages, with a function that sets the field.
func messages(t *testing.T, each func(f protoreflect.FieldDescriptor, set func(*pb.KeptFrame))) {
	t.Helper()
	streamFields := map[protoreflect.Name]bool{"entry_vm": true, "incarnation": true, "reaches_store": true, "wanted": true}
	fields := (&pb.KeptFrame{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case streamFields[f.Name()]:
		case f.IsList():
			each(f, func(frame *pb.KeptFrame) { frame.ProtoReflect().Mutable(f).List().AppendMutable() })
		case f.Message() != nil:
			each(f, func(frame *pb.KeptFrame) { frame.ProtoReflect().Mutable(f) })
		default:
			t.Fatalf("this test cannot set the kind of field %s", f.Name())
		}
	}
}

// Guards against a kind of message that never arrives: queued frames are merged field by field, and a new
// field may have been left out.
func TestMergedFramesLoseNoField(t *testing.T) {
	full := &pb.KeptFrame{}
	messages(t, func(_ protoreflect.FieldDescriptor, set func(*pb.KeptFrame)) { set(full) })
	merged := mergeFrames([]*pb.KeptFrame{{}, full, {}})
	messages(t, func(f protoreflect.FieldDescriptor, _ func(*pb.KeptFrame)) {
		if !merged.ProtoReflect().Has(f) {
			t.Errorf("%s is lost", f.Name())
		}
	})
}

// Guards against a frame with one kind of message that is taken for a heartbeat and dropped.
func TestFrameWithOneMessageIsNoHeartbeat(t *testing.T) {
	messages(t, func(f protoreflect.FieldDescriptor, set func(*pb.KeptFrame)) {
		frame := &pb.KeptFrame{}
		if set(frame); !CarriesMessages(frame) {
			t.Errorf("a frame with %s is taken for a heartbeat", f.Name())
		}
	})
	if CarriesMessages(&pb.KeptFrame{EntryVm: "a", Incarnation: 1, ReachesStore: true, Wanted: true}) {
		t.Error("a heartbeat is taken for a frame with messages")
	}
}
