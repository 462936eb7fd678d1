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

// Run applies a schedule to one fleet. States of overlapping faults add up.
type Run struct {
	fleet  *fleet.Fleet
	speeds []float64 // of the upstreams, without faults
	zones  []string
	note   func(string)
	group  sync.WaitGroup

	active []Fault
	ends   map[Fault]func()
	turn   int // of cuts that come and go
}

// NewRun prepares a run on a healthy fleet. Note is told of each begin and end;
// nil for nobody.
func NewRun(f *fleet.Fleet, note func(string)) *Run {
	r := &Run{fleet: f, note: note, ends: map[Fault]func(){}}
	if r.note == nil {
		r.note = func(string) {}
	}
	for _, u := range f.Upstreams {
		_, speed := u.FreeSlots()
		r.speeds = append(r.speeds, speed)
		if !slices.Contains(r.zones, u.Zone) {
			r.zones = append(r.zones, u.Zone)
		}
	}
	return r
}

// Do runs the schedule and returns when it is over or the context ends. In both
// cases the states are healthy again; silent connections stay so, and an entry
// that died is replaced only at the end of its fault.
func (r *Run) Do(ctx context.Context, schedule Schedule) {
	began := time.Now()
	defer r.group.Wait()
	for {
		now := time.Since(began)
		next, more := r.step(schedule, now)
		if !more {
			return
		}
		if !wait.For(ctx, next-now) {
			r.active = nil
			r.apply()
			return
		}
	}
}

const forever = time.Duration(1<<63 - 1)

// step begins and ends what is due and gives the time of the next look.
func (r *Run) step(schedule Schedule, now time.Duration) (time.Duration, bool) {
	next, more := forever, false
	flapping := false
	for _, f := range schedule {
		_, begun := r.ends[f]
		switch {
		case !begun && now < f.Begin:
			next, more = min(next, f.Begin), true
			continue
		case !begun:
			r.begin(f)
		case begun && now >= f.End:
			r.end(f)
		}
		if slices.Contains(r.active, f) {
			next, more = min(next, max(now, f.End)), true
			flapping = flapping || find(f.Kind).flap
		}
	}
	r.turn++
	r.apply()
	if flapping {
		next = min(next, now+flapTurn)
	}
	return next, more
}

func (r *Run) begin(f Fault) {
	r.note("begins: " + f.String())
	r.active = append(r.active, f)
	r.ends[f] = func() {}
	if once := find(f.Kind).once; once != nil {
		r.ends[f] = once(r, f.Place)
	}
}

func (r *Run) end(f Fault) {
	i := slices.Index(r.active, f)
	if i < 0 {
		return
	}
	r.note("ends: " + f.String())
	r.active = slices.Delete(r.active, i, i+1)
	r.ends[f]()
}

// apply sets the states of all faults that are active now.
func (r *Run) apply() {
	r.applyUpstreams()
	var faults store.Faults
	for _, f := range r.active {
		if k := find(f.Kind); k.log != nil {
			k.log(&faults)
		}
	}
	r.fleet.Store.SetFaults(faults)
	r.fleet.UnblockLinks()
	for _, f := range r.active {
		k := find(f.Kind)
		if k.ways == nil || (k.flap && r.turn%2 == 0) {
			continue
		}
		zone := r.zones[f.Place%len(r.zones)]
		others := slices.DeleteFunc(slices.Clone(r.zones), func(z string) bool { return z == zone })
		for _, way := range k.ways(zone, others) {
			r.fleet.BlockLink(way[0], way[1])
		}
	}
}

func (r *Run) applyUpstreams() {
	for i, u := range r.fleet.Upstreams {
		modes := runner.Modes{Speed: r.speeds[i]}
		for _, f := range r.active {
			k := find(f.Kind)
			if k.upstream != nil && f.Place%len(r.speeds) == i {
				k.upstream(&modes, r.speeds[i])
			}
			if k.zone != nil && r.zones[f.Place%len(r.zones)] == u.Zone {
				k.zone(&modes)
			}
		}
		u.SetModes(modes)
	}
}

// patience is how long a new entry may take to be ready.
const patience = 10 * time.Second

// add starts an entry and waits until it is ready.
func (r *Run) add(zone string) {
	n, err := r.fleet.AddNode(zone)
	if err != nil {
		r.note("no entry could be added: " + err.Error())
		return
	}
	for deadline := time.Now().Add(patience); !n.Ready() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
}
