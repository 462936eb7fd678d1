package entry

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/platform"
)

// vmListLoop reads the platform's list of VMs periodically. It also registers this
// entry in the list and retries until the platform has accepted it.
func (e *Entry) vmListLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.VMListInterval)
	defer ticker.Stop()
	announced := false
	for {
		announced = announced || e.announce(ctx)
		e.readVMList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readVMList fetches the changes of the VM list since the last version read and
// applies them. On an error it leaves the list as it is until the next poll.
func (e *Entry) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.VMListInterval)
	defer cancel()
	list, err := e.platform.VMs(ctx, e.settings.Zone, e.vmListVersion)
	if err != nil {
		return
	}
	for _, skipped := range list.Skipped {
		e.log.Warn("item of the list of VMs skipped", "version", list.Version, "error", skipped)
	}
	if list.Full {
		clear(e.vms)
	}
	for _, vm := range list.VMs {
		e.vms[vm.ID] = vm
	}
	for _, id := range list.Removed {
		delete(e.vms, id)
	}
	e.vmListVersion = list.Version
	e.vmListRead.Store(true)
	e.applyVMList()
}

// applyVMList derives from the list the seeds of the member table, and which
// upstreams are leaving and when their leases end.
func (e *Entry) applyVMList() {
	var seeds []member.Record
	leaving := map[string]bool{}
	leaseEnds := map[string]time.Time{}
	for _, vm := range e.vms {
		if vm.Role == "entry" {
			seeds = append(seeds, member.Record{ID: vm.ID, Zone: vm.Zone, PeerAddress: vm.Peer, Leaving: vm.Leaving})
			continue
		}
		if vm.Leaving {
			leaving[vm.ID] = true
		}
		if !vm.LeaseEnd.IsZero() {
			leaseEnds[vm.ID] = vm.LeaseEnd
		}
	}
	e.members.SetSeeds(seeds)
	e.mu.Lock()
	e.leaving, e.leaseEnds = leaving, leaseEnds
	e.mu.Unlock()
}

// announce registers this entry in the platform's list and reports whether that
// succeeded.
func (e *Entry) announce(ctx context.Context) bool {
	callerAddress, peerAddress, _ := e.Addresses()
	vm := platform.VM{ID: e.settings.VM, Zone: e.settings.Zone, Role: "entry", Address: callerAddress, Peer: peerAddress}
	ctx, cancel := context.WithTimeout(ctx, e.settings.VMListInterval)
	defer cancel()
	return e.platform.Announce(ctx, vm) == nil
}
