package node

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/internal/gateway/evacuation"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/platform"
)

// operatorPosition is the position in the operators' topic after the records that are being applied.
type operatorPosition struct {
	next    atomic.Int64
	partial atomic.Bool
}

func (o *operatorPosition) set(next int64, partial bool) {
	o.next.Store(next)
	o.partial.Store(partial)
}

// Bounds of the reads of the operators' topic. A connection that goes silent is noticed within one
// read and an answer's time, which must be a small part of the evacuation bound.
const (
	pollsPerEvacuationBound = 5
	minOperatorPoll         = 100 * time.Millisecond
)

// operatorPollTimeout returns how long a read of the operators' topic waits for a new record.
func (n *Node) operatorPollTimeout() time.Duration {
	bound := n.settings.EvacuationBound
	if bound == 0 {
		return configurationPollTimeout
	}
	return min(configurationPollTimeout, max(bound/pollsPerEvacuationBound, minOperatorPoll))
}

// resetEvacuations applies the newest records of the operators' topic to the evacuated zones.
func (n *Node) resetEvacuations(records []platform.KeyedRecord) {
	n.logEvacuations(n.evacuations.Reset(records, n.operatorPosition.next.Load(), n.operatorPosition.partial.Load()))
}

// applyEvacuations applies further records of the operators' topic to the evacuated zones.
func (n *Node) applyEvacuations(records []platform.KeyedRecord) {
	n.logEvacuations(n.evacuations.Apply(records, n.operatorPosition.next.Load()))
}

// mergeEvacuations takes the evacuated zones that another entry knows. Entries of earlier builds, and those
// that know none yet, send nil.
func (n *Node) mergeEvacuations(e *wire.Evacuations) {
	if e != nil {
		n.logEvacuations(n.evacuations.Merge(e.Offset, e.Zones))
	}
}

// maxEvacuationBytes limits the names of zones in a heartbeat. Beyond it only zones of the settings
// are sent: no group has workers in others.
const maxEvacuationBytes = 1024

// packEvacuations returns the known evacuations for a heartbeat, nil if none are known.
func (n *Node) packEvacuations() *wire.Evacuations {
	state := n.evacuations.State()
	if !state.Known {
		return nil
	}
	packed, size := &wire.Evacuations{Offset: uint64(state.Offset)}, 0
	for zone := range state.Zones {
		packed.Zones = append(packed.Zones, zone)
		size += len(zone)
	}
	if size > maxEvacuationBytes {
		packed.Zones = slices.DeleteFunc(packed.Zones, func(zone string) bool { return !slices.Contains(n.settings.Zones, zone) })
	}
	return packed
}

// maxEvacuationLines limits the log lines about zones for one change: operators may write any number
// of keys.
const maxEvacuationLines = 20

// logEvacuations logs a change of the evacuated zones.
func (n *Node) logEvacuations(c evacuation.Change) {
	offset := n.evacuations.State().Offset
	for _, news := range []struct {
		message string
		zones   []string
	}{{"zone evacuated", c.Evacuated}, {"zone taken back", c.TakenBack}} {
		// Zones of the settings come first, since the others concern no worker.
		slices.SortStableFunc(news.zones, func(a, b string) int { return n.foreignZone(a) - n.foreignZone(b) })
		for _, zone := range news.zones[:min(len(news.zones), maxEvacuationLines)] {
			n.log.Warn(news.message, "zone", zone, "offset", offset)
		}
		if left := len(news.zones) - maxEvacuationLines; left > 0 {
			n.log.Warn(news.message, "further", left, "offset", offset)
		}
	}
	if c.Skipped > 0 {
		n.log.Warn("evacuations skipped", "zones", c.Skipped, "offset", offset)
	}
}

// foreignZone returns 0 for zones of the settings and 1 for others.
func (n *Node) foreignZone(zone string) int {
	if slices.Contains(n.settings.Zones, zone) {
		return 0
	}
	return 1
}

// planEvacuations returns the evacuated zones for the plan of a group.
func (n *Node) planEvacuations() plan.Evacuations {
	state := n.evacuations.State()
	return plan.Evacuations{Unknown: !state.Known, Zones: state.Zones}
}

// zoneOfGroup returns the availability zone of a group, see groupName.
func zoneOfGroup(group string) string {
	return group[:max(0, strings.LastIndexByte(group, '/'))]
}

// inEvacuatedZone reports whether the zone of a group is evacuated.
func (n *Node) inEvacuatedZone(group string) bool {
	return n.evacuations.State().Zones[zoneOfGroup(group)]
}

// redirect returns the group that gets a job of a group of which nothing has been sent: that group itself
// unless its zone is evacuated.
func (n *Node) redirect(id, group string) string {
	if !n.inEvacuatedZone(group) {
		return group
	}
	return n.evacuationTarget(id)
}

// evacuationTarget returns the group that takes a job of an evacuated zone, or "" if no holder in another
// zone answers. All entries with the same claims and evacuations choose the same group, so that a
// job that is sent again through another entry meets its first runs; whether holders answer this
// entry decides only if none does. A change of the groups moves few jobs (rendezvous hashing).
func (n *Node) evacuationTarget(id string) string {
	zones := n.evacuations.State().Zones
	best, bestScore, reachable := "", uint64(0), false
	for _, zone := range n.settings.Zones {
		if zones[zone] {
			continue
		}
		for i := range n.settings.Groups {
			group := groupName(zone, i)
			if _, held := n.currentHolder(group); !held {
				continue
			}
			reachable = reachable || n.answers(group)
			if score := xxhash.Sum64String(id + " " + group); best == "" || score > bestScore {
				best, bestScore = group, score
			}
		}
	}
	if !reachable {
		return ""
	}
	return best
}

// runningInEvacuatedZones returns the number of tasks that run in evacuated zones, in the groups that
// this entry holds.
func (n *Node) runningInEvacuatedZones() int {
	running := 0
	for group, h := range n.currentHolders() {
		if n.inEvacuatedZone(group) {
			running += h.Load().Running
		}
	}
	return running
}
