package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/store"
)

const ms = time.Millisecond

// world simulates the site's keys in the store and the Site of each entry VM.
type world struct {
	t    *testing.T
	now  time.Duration
	rev  uint64
	keys map[string]store.Item
	vms  map[string]*Site
	cut  map[string]bool // VMs that are cut off from the store
}

func newWorld(t *testing.T, shards int, members ...Member) *world {
	w := &world{t: t, now: time.Hour, keys: map[string]store.Item{}, vms: map[string]*Site{}, cut: map[string]bool{}}
	domains := []string{"a", "b"}
	for _, d := range domains {
		w.put(DomainKey(d), Encode(ShardLayout{Shards: shards}))
	}
	for _, m := range members {
		w.join(m)
	}
	w.run(4 * time.Second)
	return w
}

func member(name string) Member {
	return Member{Name: name, Incarnation: 1, Domain: name[:1], Address: name}
}

func (w *world) join(m Member) {
	s := New(DefaultSettings(), m, []string{"a", "b"}, w.now)
	w.vms[m.Name] = s
	for _, it := range w.keys {
		w.apply(s, store.Event{Item: it})
	}
	w.put(MemberKey(m.Name), Encode(m))
	for other := range w.vms {
		s.SetLinkLost(other, false)
		w.vms[other].SetLinkLost(m.Name, false)
	}
}

func (w *world) apply(s *Site, e store.Event) {
	if err := s.Apply(w.now, e); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) put(key string, value []byte) {
	w.rev++
	it := store.Item{Key: key, Value: value, Revision: w.rev}
	w.keys[key] = it
	w.notify(store.Event{Item: it})
}

func (w *world) remove(key string) {
	w.rev++
	delete(w.keys, key)
	w.notify(store.Event{Item: store.Item{Key: key, Revision: w.rev}, Deleted: true})
}

func (w *world) notify(e store.Event) {
	for name, s := range w.vms {
		if !w.cut[name] {
			w.apply(s, e)
		}
	}
}

// run has all VMs decide every 10 ms and carries out their claims.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * ms {
		for name, s := range w.vms {
			if w.cut[name] {
				s.Decide(w.now)
				continue
			}
			s.StoreAnswered(w.now, w.now)
			for _, c := range s.Decide(w.now) {
				if key := ShardKey(c.From.Shard); w.keys[key].Revision == c.From.Revision {
					w.put(key, Encode(c.To))
				}
			}
		}
	}
}

func (w *world) holder(shard string) Holding {
	for name, s := range w.vms {
		if !w.cut[name] {
			return s.Holding(shard)
		}
	}
	return Holding{}
}

// kill ends a VM: its peers lose their links to it, its key stays.
func (w *world) kill(name string) {
	delete(w.vms, name)
	for _, s := range w.vms {
		s.SetLinkLost(name, true)
	}
}

// four returns two VMs in each of two domains.
func four() []Member {
	return []Member{member("a1"), member("a2"), member("b1"), member("b2")}
}

func TestShardsAreHeldInTheirOwnDomain(t *testing.T) {
	w := newWorld(t, 1, four()...)
	for _, shard := range []string{"a/0", "b/0"} {
		if h := w.holder(shard); h.Holder == "" || h.Holder[:1] != DomainOf(shard) {
			t.Errorf("%s is held by %q", shard, h.Holder)
		}
	}
}

func TestShardsOfADomainAreSpread(t *testing.T) {
	w := newWorld(t, 2, four()...)
	for _, domain := range []string{"a", "b"} {
		first, second := w.holder(ShardName(domain, 0)), w.holder(ShardName(domain, 1))
		if first.Holder == second.Holder {
			t.Errorf("%s holds both shards of %s", first.Holder, domain)
		}
	}
}

// A killed holder is replaced at once by a VM of its domain, under a higher token.
func TestKilledHolderIsReplacedAtOnce(t *testing.T) {
	w := newWorld(t, 1, four()...)
	before := w.holder("a/0")
	w.kill(before.Holder)
	w.run(30 * ms)
	after := w.holder("a/0")
	if after.Holder == before.Holder || after.Holder[:1] != "a" || after.Token != before.Token+1 {
		t.Errorf("%+v, then %+v", before, after)
	}
	if after.PredecessorStopped {
		t.Error("a holder counts as certainly ended only because its link is lost")
	}
}

// Guards against VMs that take shards from live holders when a network partition heals: the store answers
// them again before their links are up.
func TestVMThatWasCutOffClaimsNothingAtTheHeal(t *testing.T) {
	w := newWorld(t, 1, four()...)
	before := w.holder("b/0")
	for _, name := range []string{"a1", "a2"} {
		w.cut[name] = true
		w.vms[name].SetLinkLost("b1", true)
		w.vms[name].SetLinkLost("b2", true)
	}
	w.run(6 * time.Second)
	w.cut["a1"], w.cut["a2"] = false, false
	w.run(400 * ms)
	for _, name := range []string{"a1", "a2"} {
		w.vms[name].SetLinkLost("b1", false)
		w.vms[name].SetLinkLost("b2", false)
	}
	w.run(5 * time.Second)
	if after := w.holder("b/0"); after.Token != before.Token {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// Guards against takeovers from live holders after an outage of the store during which all keys lapsed.
func TestLiveHolderKeepsItsShardsWhenItsKeyLapses(t *testing.T) {
	w := newWorld(t, 1, four()...)
	before := w.holder("a/0")
	w.remove(MemberKey(before.Holder))
	w.run(10 * time.Second)
	if after := w.holder("a/0"); after != before {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// A lapsed key together with a lost link means that the VM is gone.
func TestLapsedKeyAndLostLinkReplaceTheHolder(t *testing.T) {
	w := newWorld(t, 1, four()...)
	before := w.holder("a/0")
	w.kill(before.Holder)
	w.remove(MemberKey(before.Holder))
	w.run(time.Second)
	if after := w.holder("a/0"); after.Holder == before.Holder {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// A restarted process of the same name does not hold the shards of the earlier one; it claims them anew.
func TestRestartedVMTakesItsShardUnderANewToken(t *testing.T) {
	w := newWorld(t, 1, member("a1"))
	before := w.holder("a/0")
	w.kill("a1")
	again := member("a1")
	again.Incarnation = 2
	w.join(again)
	w.run(3 * time.Second)
	after := w.holder("a/0")
	if after.Incarnation != 2 || after.Token <= before.Token || !after.PredecessorStopped {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// The shards of a domain without VMs are held by VMs of other domains until one of its own starts.
func TestShardGoesBackToItsOwnDomain(t *testing.T) {
	w := newWorld(t, 1, member("b1"), member("b2"))
	if h := w.holder("a/0"); h.Holder == "" || h.Holder[:1] != "b" {
		t.Fatalf("a/0 is held by %q", h.Holder)
	}
	w.join(member("a1"))
	w.run(4 * time.Second)
	if h := w.holder("a/0"); h.Holder != "a1" || h.PredecessorStopped {
		t.Errorf("a/0 is held by %+v", h)
	}
}

func TestPlannedStopNamesASuccessor(t *testing.T) {
	w := newWorld(t, 1, four()...)
	h := w.holder("a/0")
	s := w.vms[h.Holder]
	s.StopClaiming()
	claims := s.HandOver()
	if len(claims) != 1 || claims[0].To.Holder == h.Holder || claims[0].To.Holder[:1] != "a" || claims[0].To.PredecessorStopped {
		t.Errorf("%+v", claims)
	}
	if more := s.Decide(w.now); len(more) > 0 {
		t.Errorf("a stopping VM claims %+v", more)
	}
}

func TestWorkersAreSpreadOverShards(t *testing.T) {
	d := PlanLayout("a", 88, 0)
	if d.Shards != 4 {
		t.Fatalf("%d shards of 88 workers", d.Shards)
	}
	count := map[string]int{}
	for i := range 88 {
		count[d.ShardOf(fmt.Sprintf("10.1.64.%d:8080", i))]++
	}
	for shard, n := range count {
		if n < 12 || n > 34 {
			t.Errorf("%s has %d of 88 workers", shard, n)
		}
	}
}

// Guards against shards that move back and forth between VMs without end, so that submissions fail as their
// shard changes hands too often. It happens if a VM with two shards gives both to a restarted
// VM that has none.
func TestShardsDoNotMoveBackAndForth(t *testing.T) {
	members := []Member{member("a1"), member("a2"), member("a3"), member("b1")}
	w := newWorld(t, 3, members...)
	w.kill("a1")
	w.remove(MemberKey("a1"))
	w.run(3 * time.Second)
	again := member("a1")
	again.Incarnation = 2
	w.join(again)
	w.run(6 * time.Second)
	settled := w.rev
	w.run(10 * time.Second)
	if w.rev != settled {
		t.Errorf("%d more changes of holders", w.rev-settled)
	}
	held := make(map[string]int)
	for i := range 3 {
		held[w.holder(ShardName("a", i)).Holder]++
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		if held[name] != 1 {
			t.Errorf("%s holds %d shards of its domain, want 1 (%v)", name, held[name], held)
		}
	}
}

// Guards against a planned stop that hands all shards of a large VM to one small VM, which then starts
// tasks late: each handover must count in the load of its successor.
func TestStoppingVMSpreadsItsShards(t *testing.T) {
	members := []Member{member("a1"), member("a2"), member("a3"), member("a4"), member("b1")}
	members[0].Cores = 2
	for i := 1; i < len(members); i++ {
		members[i].Cores = 0.192
	}
	w := newWorld(t, 6, members...)
	for i := range 6 {
		if h := w.holder(ShardName("a", i)); h.Holder != "a1" {
			t.Fatalf("the large VM does not hold all shards: %+v", h)
		}
	}
	s := w.vms["a1"]
	s.StopClaiming()
	successors := make(map[string]int)
	for _, c := range s.HandOver() {
		successors[c.To.Holder]++
	}
	for name, n := range successors {
		if n > 2 {
			t.Errorf("%d of six shards go to %s (%v)", n, name, successors)
		}
	}
}

// Guards against a live holder that loses its shards as soon as it has them. A VM's link to it was lost and
// then closed as no longer needed; the lost state must not outlast the link.
func TestClosedLinkLeavesNoLostState(t *testing.T) {
	w := newWorld(t, 1, four()...)
	holder := w.holder("a/0").Holder
	other := map[string]string{"a1": "a2", "a2": "a1"}[holder]
	s := w.vms[other]
	s.SetLinkLost(holder, true)
	s.LinkClosed(holder)
	w.run(2 * time.Second)
	if h := w.holder("a/0"); h.Holder != holder {
		t.Errorf("%s has taken the shard of %s, which is alive", h.Holder, holder)
	}
}
