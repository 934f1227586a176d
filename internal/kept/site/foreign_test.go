package site

import (
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

// Symptom: a VM that starts knows no other VM and claims all shards. Sequence: one key of
// the site cannot be read; the VM reads the whole of the site. Cause: the reading ended at
// the first such key.
func TestOneKeyThatCannotBeReadLeavesTheOthers(t *testing.T) {
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
		t.Error("nobody is told of the keys")
	}
	if len(s.Members()) != 1 || s.Holding("b/1").Token != 3 {
		t.Errorf("members %v, holding %+v", s.Members(), s.Holding("b/1"))
	}
	if _, known := s.Layout("a"); known {
		t.Error("a domain has a negative number of shards")
	}
	if d, known := s.Layout("b"); !known || d.Shards != 2 {
		t.Errorf("%+v", d)
	}
}
