package fault

import (
	"time"

	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

// kind is one failure of the field. Most set a state for as long as they last;
// kinds with once happen at a moment.
type kind struct {
	name     string
	what     string
	upstream func(m *runner.Modes, speed float64)           // state of the upstream at the fault's place
	zone     func(m *runner.Modes)                          // state of all upstreams of the zone at the place
	log      func(f *store.Faults)                          // state of the platform
	ways     func(zone string, others []string) [][2]string // ways that carry nothing
	flap     bool                                           // the ways come and go
	once     func(r *Run, place int) (end func())           // what happens at the begin, and at the end
}

const (
	straggle   = 0.1 // share of its speed that a straggler keeps
	flapTurn   = 200 * time.Millisecond
	slowAppend = 300 * time.Millisecond
	lostOnes   = 5
)

var kinds = []kind{
	{name: "kill", what: "an entry dies; another takes its place at the end", once: kill},
	{name: "replace", what: "an entry is replaced by a planned stop", once: replace},
	{name: "fail", what: "an upstream fails everything it starts", upstream: func(m *runner.Modes, _ float64) { m.Fail = true }},
	{name: "refuse", what: "an upstream refuses everything", upstream: func(m *runner.Modes, _ float64) { m.Refuse = true }},
	{name: "stuck", what: "an upstream starts tasks and never answers", upstream: func(m *runner.Modes, _ float64) { m.Silent = true }},
	{name: "truncate", what: "an upstream's answers are cut off", upstream: func(m *runner.Modes, _ float64) { m.Truncate = true }},
	{name: "straggle", what: "an upstream becomes ten times slower", upstream: func(m *runner.Modes, speed float64) { m.Speed = speed * straggle }},
	{name: "leave", what: "an upstream is leaving", upstream: func(m *runner.Modes, _ float64) { m.Leaving = true }},
	{name: "mute", what: "the open connections to an upstream go silent for good", once: mute},
	{name: "zonefail", what: "all upstreams of a zone fail everything", zone: func(m *runner.Modes) { m.Fail = true }},
	{name: "cut", what: "a zone is cut off from the others", ways: both},
	{name: "oneway", what: "no message reaches a zone; its own get out", ways: inward},
	{name: "flap", what: "a zone's cut from the others comes and goes", ways: both, flap: true},
	{name: "apart", what: "a zone is cut off from the platform", ways: fromPlatform},
	{name: "alone", what: "a zone is cut off from the others and the platform", ways: func(zone string, others []string) [][2]string {
		return append(both(zone, others), fromPlatform(zone, others)...)
	}},
	{name: "logdown", what: "the platform is down", log: func(f *store.Faults) { f.Outage = true }},
	{name: "logslow", what: "appends to the log are slow", log: func(f *store.Faults) { f.AppendDelay = slowAppend }},
	{name: "loglost", what: "replies of the log are lost after the append", log: func(f *store.Faults) { f.LostReplies = lostOnes }},
}

func both(zone string, others []string) [][2]string {
	ways := inward(zone, others)
	for _, other := range others {
		ways = append(ways, [2]string{zone, other})
	}
	return ways
}

func inward(zone string, others []string) [][2]string {
	var ways [][2]string
	for _, other := range others {
		ways = append(ways, [2]string{other, zone})
	}
	return ways
}

func fromPlatform(zone string, _ []string) [][2]string {
	return [][2]string{{zone, fleet.Platform}}
}

// kill ends an entry without notice; its VM is replaced at the end.
func kill(r *Run, place int) func() {
	live := r.fleet.LiveNodes()
	victim := live[place%len(live)]
	r.fleet.RemoveNode(victim)
	victim.Kill()
	return func() { r.group.Go(func() { r.add(victim.Zone) }) }
}

// replace starts a new entry, then stops an old one of its zone.
func replace(r *Run, place int) func() {
	live := r.fleet.LiveNodes()
	old := live[place%len(live)]
	r.group.Go(func() {
		r.add(old.Zone)
		r.fleet.RemoveNode(old)
		old.Stop()
	})
	return func() {}
}

func mute(r *Run, place int) func() {
	upstreams := r.fleet.Upstreams
	upstreams[place%len(upstreams)].Listener.Freeze()
	return func() {}
}
