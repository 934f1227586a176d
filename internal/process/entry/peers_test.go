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

// Guards against workers that no entry VM ever holds again. An entry VM is killed while
// the platform is unavailable; its replacement starts from a peer's list, which still
// names the dead VM, and reports it as live; the platform returns and its list omits
// the dead VM. The report of the other member must not keep the dead VM live, or its
// workers would be left to it. (demo --scenario store-outage can produce this.)
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

// Guards against stale usage that keeps an account below its quota and counts lost
// slots in the shares for good. An entry VM that accounts use leaves the membership,
// and its link is closed from this side. The loss must be reported not only to the
// home but also to the sums of what the other entry VMs offer.
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
