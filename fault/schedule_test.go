package fault_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// span is the length of a run with drawn faults.
const span = 3 * time.Second

// schedules draws up to five faults, which may overlap or come twice.
func schedules() *rapid.Generator[fault.Schedule] {
	moment := rapid.IntRange(2, int(span/(100*time.Millisecond))-2)
	one := rapid.Custom(func(t *rapid.T) fault.Fault {
		begin := time.Duration(moment.Draw(t, "begin")) * 100 * time.Millisecond
		lasts := time.Duration(rapid.IntRange(1, 15).Draw(t, "lasts")) * 100 * time.Millisecond
		return fault.Fault{
			Kind: rapid.SampledFrom(fault.Kinds()).Draw(t, "kind"), Place: rapid.IntRange(0, 5).Draw(t, "place"),
			Begin: begin, End: min(begin+lasts, span),
		}
	})
	return rapid.Custom(func(t *rapid.T) fault.Schedule {
		return rapid.SliceOfN(one, 2, 5).Draw(t, "faults")
	})
}

func TestScheduleIsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := schedules().Draw(t, "schedule")
		read, err := fault.Parse(written.String())
		if err != nil || read.String() != written.String() {
			t.Fatalf("%s is read as %s, %v", written, read, err)
		}
	})
}

func TestWordsThatAreNoFaults(t *testing.T) {
	for _, word := range []string{"kill", "kill/0", "kill@1s-2s", "kill/0@1s", "kill/0@2s-1s", "kill/-1@1s-2s", "storm/0@1s-2s", "kill/x@1s-2s", "kill/0@a-b"} {
		var syntax *fault.SyntaxError
		if _, err := fault.Parse("logdown/0@1s-2s " + word); !errors.As(err, &syntax) || syntax.Word != word {
			t.Errorf("%q: %v", word, err)
		}
	}
}

func newFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"a", "b", "c"}, EntriesPerZone: 2, UpstreamsPerZone: 2, SlotsPerUpstream: 4, Speeds: []float64{1, 0.5},
		BundleText: demo.Bundle, Store: store.Options{AppendRate: 400, SyncTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// TestStatesAddUp lets two faults of one upstream overlap: the end of one
// leaves the other, and after both the upstream is as it was.
func TestStatesAddUp(t *testing.T) {
	f := newFleet(t)
	schedule, err := fault.Parse("straggle/0@0s-200ms fail/0@100ms-300ms")
	if err != nil {
		t.Fatal(err)
	}
	_, before := f.Upstreams[0].FreeSlots()
	var slow []float64
	run := fault.NewRun(f, func(string) {
		_, speed := f.Upstreams[0].FreeSlots()
		slow = append(slow, speed)
	})
	run.Do(t.Context(), schedule)
	_, after := f.Upstreams[0].FreeSlots()
	if len(slow) != 4 || slow[1] != before/10 || slow[3] != before || after != before {
		t.Errorf("speed %g, then %v, at last %g", before, slow, after)
	}
}

// TestPromisesUnderDrawnFaults runs schedules drawn from printed seeds against
// whole fleets. A schedule that breaks a promise can be run again by
// radishgate load --faults.
func TestPromisesUnderDrawnFaults(t *testing.T) {
	for _, seed := range []int{1, 2, 3} {
		schedule := schedules().Example(seed)
		t.Logf("seed %d: %s", seed, schedule)
		f := newFleet(t)
		s, err := load.Parse("drawn", []byte(scenario))
		if err != nil {
			t.Fatal(err)
		}
		run := load.New(load.Options{Scenario: s, Entries: f.CallerAddresses})
		done := make(chan struct{})
		go func() {
			defer close(done)
			fault.NewRun(f, nil).Do(t.Context(), schedule)
		}()
		run.Do(t.Context())
		<-done
		report := run.Report(f.StartedTasks())
		if report.Broken() || report.Complete == 0 {
			t.Errorf("seed %d, faults %q: %d complete, promises broken: %+v", seed, schedule, report.Complete, report.Check)
		}
		f.Stop()
	}
}

const scenario = `
[load]
span = 3s
seed = 11
[flow recall]
tenant = lullaby
service = recall
limit = 2s
rate = 30
run = 10ms
repeatable = true
[flow hold]
tenant = lullaby
service = hold
limit = 2s
rate = 15
run = 10ms
key = origin
resubmit = 0.5
[flow chosen]
tenant = lullaby
service = hold
limit = 2s
rate = 15
run = 10ms
key = chosen
resubmit = 0.5
[flow fit]
tenant = vakuumtrak
service = fit
limit = 2s
kind = job
rate = 4
run = 10ms
spread = 0.5
tasks = 5-60
key = origin
resubmit = 0.4
cancel = 0.2
`
