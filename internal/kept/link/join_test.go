package link

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// Symptom: a kind of message never arrives. Sequence: it waits for the stream, like the
// others. Cause: frames that wait are joined field by field, and a new one was left out.
func TestJoinedFramesLoseNoField(t *testing.T) {
	ofTheStream := map[protoreflect.Name]bool{"entry_vm": true, "incarnation": true, "reaches_store": true, "wanted": true}
	full := &pb.KeptFrame{}
	fields := full.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case ofTheStream[f.Name()]:
		case f.IsList():
			full.ProtoReflect().Mutable(f).List().AppendMutable()
		case f.Message() != nil:
			full.ProtoReflect().Mutable(f)
		default:
			t.Fatalf("%s is of a kind that this test does not know", f.Name())
		}
	}
	joined := join([]*pb.KeptFrame{{}, full, {}})
	for i := range fields.Len() {
		if f := fields.Get(i); !ofTheStream[f.Name()] && !joined.ProtoReflect().Has(f) {
			t.Errorf("%s is lost", f.Name())
		}
	}
}
