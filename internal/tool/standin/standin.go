// Package standin runs a simulated platform and simulated workers, so that daemons
// can be tried by hand.
package standin

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

// Options of the simulated platform and workers.
type Options struct {
	Deployment string
	Workers    int
	Listen     string   // address of the platform's service
	Entries    []string // entry VMs to list, each name,domain,host:port
	Out        io.Writer
}

// Run runs the platform and the workers until ctx ends.
func Run(ctx context.Context, opt Options) error {
	profile, err := workload.Load(opt.Deployment)
	if err != nil {
		return err
	}
	doc, err := profile.Configuration()
	if err != nil {
		return err
	}
	domains := workload.Domains(doc)
	externalEntryVMs, err := parseEntries(opt.Entries, domains)
	if err != nil {
		return err
	}
	s := site.Defaults(domains)
	s.EntryVMs, s.Workers, s.WorkersPerRack = 0, opt.Workers, int(profile.Site.PerRack)
	s.Behaviour = workload.Behaviour
	s.PlatformListen = opt.Listen
	s.ExternalEntryVMs = externalEntryVMs
	running, err := site.Start(s)
	if err != nil {
		return err
	}
	defer running.Stop()
	fmt.Fprintf(opt.Out, "platform  %s\n", running.PlatformURL())
	for _, vm := range externalEntryVMs {
		fmt.Fprintf(opt.Out, "entry VM  %s in %s, peers dial %s\n", vm.Id, vm.Domain, vm.Address)
	}
	fmt.Fprintf(opt.Out, "workers   %d in %s\n", opt.Workers, strings.Join(domains, ", "))
	<-ctx.Done()
	return nil
}

// EntryError reports an invalid value of the --entry flag.
type EntryError struct {
	Given, Allowed string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("--entry %q: allowed is %s", e.Given, e.Allowed)
}

// parseEntries parses entry VMs of the form name,domain,host:port. The incarnation
// stays unset, since a daemon chooses its own at each start.
func parseEntries(entries, domains []string) ([]*pb.VM, error) {
	var vms []*pb.VM
	for _, entry := range entries {
		parts := strings.Split(entry, ",")
		if len(parts) != 3 || slices.Contains(parts, "") {
			return nil, &EntryError{entry, "name,domain,host:port with the peer listener's address"}
		}
		if !slices.Contains(domains, parts[1]) {
			return nil, &EntryError{entry, "a domain out of " + strings.Join(domains, ", ")}
		}
		vms = append(vms, &pb.VM{Id: parts[0], Role: pb.VMRole_VM_ROLE_ENTRY, Domain: parts[1], Address: parts[2]})
	}
	return vms, nil
}
