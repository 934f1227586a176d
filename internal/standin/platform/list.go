package platform

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pumiceyardv1 "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
)

// SetVMs replaces the list of VMs. Readers see the new list after Options.ListLag.
func (p *Platform) SetVMs(vms []*pumiceyardv1.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last vmList
	if len(p.lists) > 0 {
		last = p.lists[len(p.lists)-1]
	}
	next := vmList{
		visibleAt: p.options.Now().Add(p.options.ListLag),
		version:   last.version + 1,
	}
	for _, vm := range vms {
		listed := proto.Clone(vm).(*pumiceyardv1.VM)
		listed.SinceVersion = joinVersion(last.vms, vm, next.version)
		next.vms = append(next.vms, listed)
	}
	p.lists = append(p.lists, next)
}

// joinVersion returns the list version at which this incarnation of the VM was first listed.
func joinVersion(before []*pumiceyardv1.VM, vm *pumiceyardv1.VM, now uint64) uint64 {
	for _, old := range before {
		if old.Id == vm.Id && old.Incarnation == vm.Incarnation {
			return old.SinceVersion
		}
	}
	return now
}

// ListVMs implements PlatformService. It returns the newest list that is older than
// the list lag.
func (p *Platform) ListVMs(ctx context.Context, _ *connect.Request[pumiceyardv1.ListVMsRequest]) (*connect.Response[pumiceyardv1.ListVMsResponse], error) {
	if err := p.admitCall(ctx, MethodListVMs, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	answer := new(pumiceyardv1.ListVMsResponse)
	for _, list := range p.lists {
		if list.visibleAt.After(now) {
			break
		}
		answer.Version, answer.Vms = list.version, list.vms
	}
	return connect.NewResponse(answer), nil
}
