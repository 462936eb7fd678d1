package entry

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/platform"
)

// listLoop puts this entry into the platform's list of VMs, trying until the
// platform has answered, and reads the list.
func (e *Entry) listLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.VMListInterval)
	defer ticker.Stop()
	listed := false
	for {
		listed = listed || e.announce(ctx)
		e.list(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.VMListInterval)
	defer cancel()
	list, err := e.platform.VMs(ctx, e.settings.Zone, e.listed)
	if err != nil {
		return
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
	e.listed = list.Version
	e.seen.Store(true)
	e.follow()
}

// follow applies the list: seeds for members, leaving marks and leases.
func (e *Entry) follow() {
	var seeds []member.Record
	leaving := map[string]bool{}
	leases := map[string]time.Time{}
	for _, vm := range e.vms {
		if vm.Role == "entry" {
			seeds = append(seeds, member.Record{ID: vm.ID, Zone: vm.Zone, Peer: vm.Peer, Leaving: vm.Leaving})
			continue
		}
		if vm.Leaving {
			leaving[vm.ID] = true
		}
		if !vm.LeaseEnd.IsZero() {
			leases[vm.ID] = vm.LeaseEnd
		}
	}
	e.members.Seed(seeds)
	e.mu.Lock()
	e.leaving, e.leases = leaving, leases
	e.mu.Unlock()
}

// announce puts this entry into the platform's list and tells whether it is in.
func (e *Entry) announce(ctx context.Context) bool {
	callers, peers, _ := e.Addresses()
	vm := platform.VM{ID: e.settings.VM, Zone: e.settings.Zone, Role: "entry", Address: callers, Peer: peers}
	ctx, cancel := context.WithTimeout(ctx, e.settings.VMListInterval)
	defer cancel()
	return e.platform.Announce(ctx, vm) == nil
}
