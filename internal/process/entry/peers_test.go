package entry

import (
	"slices"
	"testing"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/process/fleet"
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
