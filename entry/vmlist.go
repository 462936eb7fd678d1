package entry

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/platform"
)

// listLoop puts this entry into the platform's list of VMs, trying until the
// platform has answered, and reads the list.
func (e *Entry) vmListLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Poll)
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

func (e *Entry) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Poll)
	defer cancel()
	list, err := e.platform.VMs(ctx, e.settings.Zone, e.vmListVersion)
	if err != nil {
		return
	}
	if list.Whole {
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

// follow applies the list: seeds for members, leaving marks and leases.
func (e *Entry) applyVMList() {
	var seeds []member.Record
	leaving := map[string]bool{}
	leaseEnds := map[string]time.Time{}
	for _, vm := range e.vms {
		if vm.Role == "entry" {
			seeds = append(seeds, member.Record{ID: vm.ID, Zone: vm.Zone, Peer: vm.Peer, Leaving: vm.Leaving})
			continue
		}
		if vm.Leaving {
			leaving[vm.ID] = true
		}
		if !vm.Lease.IsZero() {
			leaseEnds[vm.ID] = vm.Lease
		}
	}
	e.members.Seed(seeds)
	e.mu.Lock()
	e.leaving, e.leaseEnds = leaving, leaseEnds
	e.mu.Unlock()
}

// announce puts this entry into the platform's list and tells whether it is in.
func (e *Entry) announce(ctx context.Context) bool {
	callerAddress, peerAddress, _ := e.Addresses()
	vm := platform.VM{ID: e.settings.VM, Zone: e.settings.Zone, Role: "entry", Address: callerAddress, Peer: peerAddress}
	ctx, cancel := context.WithTimeout(ctx, e.settings.Poll)
	defer cancel()
	return e.platform.Announce(ctx, vm) == nil
}
