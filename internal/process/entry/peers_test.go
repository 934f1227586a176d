package entry

import (
	"context"
	"net"
	"slices"
	"testing"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
	"github.com/pumiceyard/pumiceyard/internal/process/home"
	"github.com/pumiceyard/pumiceyard/internal/process/membership"
)

// Symptom: four workers of a failure domain are held by nobody for good, seen by
// demo --scenario store-outage in about one run of three. Sequence: an entry VM is
// killed while the platform is out; the one that replaces it starts by a peer's
// list, which still names the dead one, and speaks for it; the platform comes back
// and its list drops the dead one. Cause: what another member said kept the dead
// entry VM live, so its workers were left to it.
func TestNobodySpeaksForAnUnlistedVM(t *testing.T) {
	vm := &VM{settings: Settings{Name: "e7", Domain: "khan-uul", SilenceMillis: 1500}, fleet: fleet.New()}
	dead := membership.Fact{ID: "e3", Domain: "khan-uul", State: membership.Present}
	p := &peerSet{vm: vm, links: map[string]*peerLink{"e3": {vm: dead}}}
	view := membership.View{
		Live:     map[string][]membership.Fact{"khan-uul": {dead}},
		Suspects: []membership.Suspect{{VM: dead, Reason: membership.SilentHereOnly, Live: true}},
	}
	vm.fleet.Update(&pb.ListVMsResponse{Version: 1, Vms: []*pb.VM{{Id: "e3", Role: pb.VMRole_VM_ROLE_ENTRY}}})
	if live := p.liveInDomain(view); !slices.Contains(live, "e3") {
		t.Errorf("live are %v: e3 is listed and another member hears it", live)
	}
	vm.fleet.Update(&pb.ListVMsResponse{Version: 2})
	if live := p.liveInDomain(view); slices.Contains(live, "e3") {
		t.Errorf("live are %v: e3 is silent here and the list dropped it", live)
	}
}

// Symptom: an account is held below its quota, and shares are reckoned with slots
// that are gone, for good. Sequence: an entry VM that accounts use leaves the
// membership; its link is closed from this side. Cause: a link closed from here
// told the home of the loss and not those who add up what others offer.
func TestClosedLinkGivesUpItsShare(t *testing.T) {
	vm := &VM{settings: Settings{Name: "e1"}, home: home.New(home.Config{Settings: home.Defaults()})}
	vm.shares = newShares(holder.New(holder.Config{Settings: holder.Defaults()}))
	p := &peerSet{vm: vm}
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	l := &peerLink{told: true}
	l.link = peer.StartLink(peer.Defaults(), peer.Target{Name: "e2"}, peer.Identity{}, peer.Dial{Dialer: refuse}, peerEvents{p, l})
	vm.shares.heard("e2", &pb.Advert{Slots: 48, Periodic: true})
	p.end("e2", l)
	p.ended.Wait()
	if len(vm.shares.owners) != 0 {
		t.Errorf("the closed link's share is still counted: %v", vm.shares.owners)
	}
}
