package site

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Guards against a starting VM that knows no other VM and claims all shards: reading the site must
// not stop at the first key that cannot be decoded.
func TestResetSkipsUndecodableKeys(t *testing.T) {
	s := New(DefaultSettings(), member("a1"), []string{"a", "b"}, time.Hour)
	err := s.Reset(time.Hour, []store.Item{
		{Key: MemberKey("a0"), Value: []byte("no member"), Revision: 1},
		{Key: MemberKey("a2"), Value: Encode(member("a2")), Revision: 2},
		{Key: DomainKey("a"), Value: []byte(`{"n":-4}`), Revision: 3},
		{Key: DomainKey("b"), Value: Encode(ShardLayout{Shards: 2}), Revision: 4},
		{Key: ShardKey("b/0"), Value: []byte(`{"t":"first"}`), Revision: 5},
		{Key: ShardKey("b/1"), Value: Encode(Holding{Holder: "a2", Incarnation: 1, Token: 3}), Revision: 6},
	})
	if err == nil {
		t.Error("undecodable keys are not reported")
	}
	if len(s.Members()) != 1 || s.Holding("b/1").Token != 3 {
		t.Errorf("members %v, holding %+v", s.Members(), s.Holding("b/1"))
	}
	if _, known := s.ShardLayout("a"); known {
		t.Error("a layout with a negative number of shards is accepted")
	}
	if d, known := s.ShardLayout("b"); !known || d.Shards != 2 {
		t.Errorf("%+v", d)
	}
}
