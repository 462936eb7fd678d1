package node

import (
	"maps"
	"time"

	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/member"
)

// reregistrationWindow is the time after a store outage within which workers whose
// registrations lapsed during it have registered again, plus one second for the next
// read.
const reregistrationWindow = 3 * time.Second

// workersIncompleteFor returns the time until which a holder under a claim must expect live workers
// that the registry lacks. If all entries were lost, no other entry can confirm the list, but it shows by
// what the earlier holder has published. The caller holds n.mu.
func (n *Node) workersIncompleteFor(c election.Claim) time.Time {
	if n.claims.IsFirst(c) && !n.firstReadFailed && !n.registryOutdated {
		if n.rosters.lacks(c.Group) {
			return time.Now().Add(reregistrationWindow)
		}
		return time.Time{}
	}
	until := n.firstListIncompleteUntil()
	if doubt := n.doubtedGroups.takeOver(c.Group, time.Now()); doubt.After(until) {
		until = doubt
	}
	return until
}

// firstListIncompleteUntil returns the time until which the registry may lack live workers since
// this entry began to read it, or a time in the past. It may be incomplete while it cannot be read: other
// entries may know workers that have registered since. It may also be incomplete if the store may
// have been away shortly before the first read: this entry has never seen the registrations that
// lapsed meanwhile. It is complete once it names the same workers as the complete one of another
// entry. The caller holds n.mu.
func (n *Node) firstListIncompleteUntil() time.Time {
	switch {
	case n.registryOutdated || n.registryReadAt.IsZero():
		return time.Now().Add(reregistrationWindow)
	case n.workersConfirmed:
		return time.Time{}
	case n.firstReadFailed:
		return n.registryReadAt.Add(reregistrationWindow)
	case n.storeAwayBefore.After(n.startedAt):
		return n.storeAwayBefore.Add(reregistrationWindow)
	}
	return n.startedAt.Add(reregistrationWindow)
}

// completeWorkers returns the fingerprint of the list of workers, or 0 if the list has not been
// loaded or may lack live workers. Once the list is complete, the holders of this entry no longer
// expect further workers.
func (n *Node) completeWorkers(loaded bool) uint64 {
	if !loaded {
		return 0
	}
	fingerprint := n.registry.Fingerprint()
	n.mu.Lock()
	n.workersConfirmed = n.workersConfirmed || !n.registryOutdated && n.members.ConfirmsWorkers(fingerprint)
	now := time.Now()
	complete := !n.firstListIncompleteUntil().After(now)
	n.doubtedGroups.settle(func(group string) bool { return n.holderHasWorkers(group, fingerprint) }, now)
	doubted := maps.Clone(n.doubtedGroups)
	n.mu.Unlock()
	if !complete {
		return 0
	}
	for group, h := range n.currentHolders() {
		if _, doubt := doubted[group]; !doubt && h.WorkersIncomplete() {
			n.log.Info("list of workers is complete", "group", group)
			h.WorkersComplete()
		}
	}
	return fingerprint
}

// doubtWorkers records that the registry no longer has a worker of a group that another entry holds.
// The worker may be alive: it may be cut off from the store alone, and its holder keeps it then.
func (n *Node) doubtWorkers(group, worker string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.doubtedGroups.add(group) {
		n.log.Info("list of workers is doubted", "group", group, "worker", worker)
	}
}

// holderHasWorkers reports whether the holder of a group has a complete list of workers with this
// fingerprint.
func (n *Node) holderHasWorkers(group string, fingerprint uint64) bool {
	c, claimed := n.claims.Holder(group)
	if !claimed || fingerprint == 0 {
		return false
	}
	r, state, known := n.members.Find(c.Holder)
	return known && state != member.Dead && r.Incarnation == c.Incarnation && r.Workers == fingerprint
}

// onRegistryRead records that the whole registry has been read.
func (n *Node) onRegistryRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.registryReadAt.IsZero() {
		n.registryReadAt, n.storeAwayBefore = time.Now(), n.storeAwayAt
	}
}

// onRegistryUnavailable records that the registry cannot be read.
func (n *Node) onRegistryUnavailable() {
	n.instruments.setDependency("workers", false)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.firstReadFailed, n.registryOutdated = n.firstReadFailed || n.registryReadAt.IsZero(), true
	n.storeAwayAt = time.Now()
}

// onRegistryAvailable records that the registry can be read again.
func (n *Node) onRegistryAvailable() {
	n.instruments.setDependency("workers", true)
	n.onRegistryRead()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.registryOutdated {
		n.registryOutdated, n.storeAwayAt = false, time.Now()
	}
}

// onConfigurationAvailable records whether the configuration can be read.
func (n *Node) onConfigurationAvailable(available bool) {
	n.instruments.setDependency("configuration", available)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeAwayAt = time.Now()
}
