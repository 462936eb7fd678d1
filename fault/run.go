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
	stepCount int // its parity decides whether intermittent links are blocked
}

// NewInjector returns an injector for a fleet without faults. onEvent is called with a line
// of text when a fault begins or ends; it may be nil.
func NewInjector(f *fleet.Fleet, onEvent func(string)) *Injector {
	r := &Injector{fleet: f, onEvent: onEvent, endFuncs: map[Fault]func(){}}
	if r.onEvent == nil {
		r.onEvent = func(string) {}
	}
	for _, u := range f.Upstreams {
		_, speed := u.Free()
		r.normalSpeeds = append(r.normalSpeeds, speed)
		if !slices.Contains(r.zones, u.Zone) {
			r.zones = append(r.zones, u.Zone)
		}
	}
	return r
}

// Run applies the schedule and returns when it is over or ctx is done. In both cases it
// resets the states that the faults set. Connections made silent stay silent, and a killed
// entry is replaced only if the end of its fault is reached.
func (r *Injector) Run(ctx context.Context, schedule Schedule) {
	start := time.Now()
	defer r.group.Wait()
	for {
		now := time.Since(start)
		next, more := r.step(schedule, now)
		if !more {
			return
		}
		if !wait.For(ctx, next-now) {
			r.active = nil
			r.applyFaults()
			return
		}
	}
}

const maxDuration = time.Duration(1<<63 - 1)

// step begins and ends the faults that are due. It returns the time of the next step and
// whether there is one.
func (r *Injector) step(schedule Schedule, now time.Duration) (time.Duration, bool) {
	next, more := maxDuration, false
	flapping := false
	for _, f := range schedule {
		_, begun := r.endFuncs[f]
		switch {
		case !begun && now < f.Begin:
			next, more = min(next, f.Begin), true
			continue
		case !begun:
			r.beginFault(f)
		case begun && now >= f.End:
			r.endFault(f)
		}
		if slices.Contains(r.active, f) {
			next, more = min(next, max(now, f.End)), true
			flapping = flapping || findKind(f.Kind).intermittent
		}
	}
	r.stepCount++
	r.applyFaults()
	if flapping {
		next = min(next, now+flapInterval)
	}
	return next, more
}

// beginFault marks a fault as active and runs its trigger.
func (r *Injector) beginFault(f Fault) {
	r.onEvent("begins: " + f.String())
	r.active = append(r.active, f)
	r.endFuncs[f] = func() {}
	if trigger := findKind(f.Kind).trigger; trigger != nil {
		r.endFuncs[f] = trigger(r, f.Place)
	}
}

// endFault ends an active fault; others are ignored.
func (r *Injector) endFault(f Fault) {
	i := slices.Index(r.active, f)
	if i < 0 {
		return
	}
	r.onEvent("ends: " + f.String())
	r.active = slices.Delete(r.active, i, i+1)
	r.endFuncs[f]()
}

// applyFaults sets the state of the whole fleet to the combination of all active faults.
func (r *Injector) applyFaults() {
	r.applyUpstreamModes()
	var faults store.Faults
	for _, f := range r.active {
		if k := findKind(f.Kind); k.setStore != nil {
			k.setStore(&faults)
		}
	}
	r.fleet.Store.Set(faults)
	r.fleet.Heal()
	for _, f := range r.active {
		k := findKind(f.Kind)
		if k.blockedLinks == nil || (k.intermittent && r.stepCount%2 == 0) {
			continue
		}
		zone := r.zones[f.Place%len(r.zones)]
		others := slices.DeleteFunc(slices.Clone(r.zones), func(z string) bool { return z == zone })
		for _, link := range k.blockedLinks(zone, others) {
			r.fleet.Cut(link[0], link[1])
		}
	}
}

// applyUpstreamModes sets the modes of each upstream to the combination of the active faults
// that concern it.
func (r *Injector) applyUpstreamModes() {
	for i, u := range r.fleet.Upstreams {
		modes := runner.Modes{Speed: r.normalSpeeds[i]}
		for _, f := range r.active {
			k := findKind(f.Kind)
			if k.setUpstream != nil && f.Place%len(r.normalSpeeds) == i {
				k.setUpstream(&modes, r.normalSpeeds[i])
			}
			if k.setZone != nil && r.zones[f.Place%len(r.zones)] == u.Zone {
				k.setZone(&modes)
			}
		}
		u.Set(modes)
	}
}

// readyTimeout limits the wait for a new entry to become ready.
const readyTimeout = 10 * time.Second

// addEntry starts an entry and waits until it is ready or readyTimeout has passed.
func (r *Injector) addEntry(zone string) {
	n, err := r.fleet.Add(zone)
	if err != nil {
		r.onEvent("cannot add an entry: " + err.Error())
		return
	}
	for deadline := time.Now().Add(readyTimeout); !n.Ready() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
}
