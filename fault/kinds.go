package fault

import (
	"time"

	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

// kind is one kind of fault. Most kinds set a state while the fault lasts; those with
// trigger do something once when it begins.
type kind struct {
	name         string
	description  string
	setUpstream  func(m *runner.Modes, speed float64)           // sets the state of the upstream selected by Place
	setZone      func(m *runner.Modes)                          // sets the state of each upstream of the zone selected by Place
	setStore     func(f *store.Faults)                          // sets the state of the platform
	blockedLinks func(zone string, others []string) [][2]string // links that carry no messages, as pairs of sender and receiver
	intermittent bool                                           // the links are blocked and unblocked in turn
	trigger      func(in *Injector, place int) (end func())     // runs when the fault begins; end runs when it ends
}

const (
	stragglerSpeed = 0.1 // share of its normal speed at which a straggler runs
	flapInterval   = 200 * time.Millisecond
	appendDelay    = 300 * time.Millisecond
	lostReplies    = 5 // appends that take effect although their callers see an error
)

var kinds = []kind{
	{name: "kill", description: "an entry dies; another takes its place at the end", trigger: killEntry},
	{name: "replace", description: "an entry is replaced by a planned stop", trigger: replaceEntry},
	{name: "fail", description: "an upstream fails everything it starts", setUpstream: func(m *runner.Modes, _ float64) { m.Fail = true }},
	{name: "refuse", description: "an upstream refuses everything", setUpstream: func(m *runner.Modes, _ float64) { m.Refuse = true }},
	{name: "stuck", description: "an upstream starts tasks and never answers", setUpstream: func(m *runner.Modes, _ float64) { m.Silent = true }},
	{name: "truncate", description: "an upstream's answers are cut off", setUpstream: func(m *runner.Modes, _ float64) { m.Truncate = true }},
	{name: "straggle", description: "an upstream becomes ten times slower", setUpstream: func(m *runner.Modes, speed float64) { m.Speed = speed * stragglerSpeed }},
	{name: "leave", description: "an upstream is leaving", setUpstream: func(m *runner.Modes, _ float64) { m.Leaving = true }},
	{name: "mute", description: "the open connections to an upstream go silent for good", trigger: freezeConnections},
	{name: "zonefail", description: "all upstreams of a zone fail everything", setZone: func(m *runner.Modes) { m.Fail = true }},
	{name: "cut", description: "a zone is cut off from the others", blockedLinks: linksBothWays},
	{name: "oneway", description: "no message reaches a zone; its own get out", blockedLinks: linksInto},
	{name: "flap", description: "a zone's cut from the others comes and goes", blockedLinks: linksBothWays, intermittent: true},
	{name: "apart", description: "a zone is cut off from the platform", blockedLinks: platformLink},
	{name: "alone", description: "a zone is cut off from the others and the platform", blockedLinks: func(zone string, others []string) [][2]string {
		return append(linksBothWays(zone, others), platformLink(zone, others)...)
	}},
	{name: "logdown", description: "the platform is down", setStore: func(f *store.Faults) { f.Outage = true }},
	{name: "logslow", description: "appends to the log are slow", setStore: func(f *store.Faults) { f.AppendDelay = appendDelay }},
	{name: "loglost", description: "replies of the log are lost after the append", setStore: func(f *store.Faults) { f.LostReplies = lostReplies }},
}

// linksBothWays returns the links between the zone and the others in both directions.
func linksBothWays(zone string, others []string) [][2]string {
	links := linksInto(zone, others)
	for _, other := range others {
		links = append(links, [2]string{zone, other})
	}
	return links
}

// linksInto returns the links from the others to the zone.
func linksInto(zone string, others []string) [][2]string {
	var links [][2]string
	for _, other := range others {
		links = append(links, [2]string{other, zone})
	}
	return links
}

// platformLink returns the link from the zone to the platform.
func platformLink(zone string, _ []string) [][2]string {
	return [][2]string{{zone, fleet.Platform}}
}

// killEntry ends an entry without draining. A new one replaces it when the fault ends.
func killEntry(in *Injector, place int) func() {
	live := in.fleet.LiveNodes()
	victim := live[place%len(live)]
	in.fleet.RemoveNode(victim)
	victim.Kill()
	return func() { in.group.Go(func() { in.addEntry(victim.Zone) }) }
}

// replaceEntry starts a new entry, waits until it is ready and then drains an old one of the
// same zone.
func replaceEntry(in *Injector, place int) func() {
	live := in.fleet.LiveNodes()
	old := live[place%len(live)]
	in.group.Go(func() {
		in.addEntry(old.Zone)
		in.fleet.RemoveNode(old)
		old.Stop()
	})
	return func() {}
}

// freezeConnections makes the open connections to an upstream silent for good; new ones
// work.
func freezeConnections(in *Injector, place int) func() {
	upstreams := in.fleet.Upstreams
	upstreams[place%len(upstreams)].Listener.Freeze()
	return func() {}
}
