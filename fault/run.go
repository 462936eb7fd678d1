package fault

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

// Injector applies a schedule of faults to one fleet. The effects of overlapping faults
// combine.
type Injector struct {
	fleet        *fleet.Fleet
	normalSpeeds []float64 // speeds of the upstreams without faults
	zones        []string
	onEvent      func(string)
	group        sync.WaitGroup

	active    []Fault
	endFuncs  map[Fault]func()
	stepCount int // its parity decides whether intermittent faults block their links
}

// NewInjector returns an injector for a fleet without faults. onEvent is called with a line
// of text when a fault begins or ends; it may be nil.
func NewInjector(f *fleet.Fleet, onEvent func(string)) *Injector {
	in := &Injector{fleet: f, onEvent: onEvent, endFuncs: map[Fault]func(){}}
	if in.onEvent == nil {
		in.onEvent = func(string) {}
	}
	for _, u := range f.Upstreams {
		_, speed := u.FreeSlots()
		in.normalSpeeds = append(in.normalSpeeds, speed)
		if !slices.Contains(in.zones, u.Zone) {
			in.zones = append(in.zones, u.Zone)
		}
	}
	return in
}

// Run applies the schedule and returns when it is over or ctx is done. In both cases it
// resets the states that the faults set. Connections made silent stay silent, and a killed
// entry is replaced only if the end of its fault is reached.
func (in *Injector) Run(ctx context.Context, schedule Schedule) {
	start := time.Now()
	defer in.group.Wait()
	for {
		now := time.Since(start)
		next, more := in.step(schedule, now)
		if !more {
			return
		}
		if !wait.For(ctx, next-now) {
			in.active = nil
			in.applyFaults()
			return
		}
	}
}

// maxDuration stands for the time of the next step when there is none.
const maxDuration = time.Duration(1<<63 - 1)

// step begins and ends the faults that are due. It returns the time of the next step and
// whether there is one.
func (in *Injector) step(schedule Schedule, now time.Duration) (time.Duration, bool) {
	next, more := maxDuration, false
	flapping := false
	for _, f := range schedule {
		_, begun := in.endFuncs[f]
		switch {
		case !begun && now < f.Begin:
			next, more = min(next, f.Begin), true
			continue
		case !begun:
			in.beginFault(f)
		case begun && now >= f.End:
			in.endFault(f)
		}
		if slices.Contains(in.active, f) {
			next, more = min(next, max(now, f.End)), true
			flapping = flapping || findKind(f.Kind).intermittent
		}
	}
	in.stepCount++
	in.applyFaults()
	if flapping {
		next = min(next, now+flapInterval)
	}
	return next, more
}

// beginFault marks a fault as active and runs its trigger.
func (in *Injector) beginFault(f Fault) {
	in.onEvent("begins: " + f.String())
	in.active = append(in.active, f)
	in.endFuncs[f] = func() {}
	if trigger := findKind(f.Kind).trigger; trigger != nil {
		in.endFuncs[f] = trigger(in, f.Place)
	}
}

// endFault ends an active fault; others are ignored.
func (in *Injector) endFault(f Fault) {
	i := slices.Index(in.active, f)
	if i < 0 {
		return
	}
	in.onEvent("ends: " + f.String())
	in.active = slices.Delete(in.active, i, i+1)
	in.endFuncs[f]()
}

// applyFaults sets the state of the whole fleet to the combination of all active faults.
func (in *Injector) applyFaults() {
	in.applyUpstreamModes()
	var faults store.Faults
	for _, f := range in.active {
		if k := findKind(f.Kind); k.setStore != nil {
			k.setStore(&faults)
		}
	}
	in.fleet.Store.SetFaults(faults)
	in.fleet.UnblockLinks()
	for _, f := range in.active {
		k := findKind(f.Kind)
		if k.blockedLinks == nil || (k.intermittent && in.stepCount%2 == 0) {
			continue
		}
		zone := in.zones[f.Place%len(in.zones)]
		others := slices.DeleteFunc(slices.Clone(in.zones), func(z string) bool { return z == zone })
		for _, link := range k.blockedLinks(zone, others) {
			in.fleet.BlockLink(link[0], link[1])
		}
	}
}

// applyUpstreamModes sets the modes of each upstream to the combination of the active faults
// that concern it.
func (in *Injector) applyUpstreamModes() {
	for i, u := range in.fleet.Upstreams {
		modes := runner.Modes{Speed: in.normalSpeeds[i]}
		for _, f := range in.active {
			k := findKind(f.Kind)
			if k.setUpstream != nil && f.Place%len(in.normalSpeeds) == i {
				k.setUpstream(&modes, in.normalSpeeds[i])
			}
			if k.setZone != nil && in.zones[f.Place%len(in.zones)] == u.Zone {
				k.setZone(&modes)
			}
		}
		u.SetModes(modes)
	}
}

// readyTimeout limits the wait for a new entry to become ready.
const readyTimeout = 10 * time.Second

// addEntry starts an entry and waits until it is ready or readyTimeout has passed.
func (in *Injector) addEntry(zone string) {
	n, err := in.fleet.AddNode(zone)
	if err != nil {
		in.onEvent("cannot add an entry: " + err.Error())
		return
	}
	for deadline := time.Now().Add(readyTimeout); !n.Ready() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
}
