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

// runLength is the duration of a run with random faults.
const runLength = 3 * time.Second

// randomSchedules generates schedules of two to five faults, which may overlap or repeat.
func randomSchedules() *rapid.Generator[fault.Schedule] {
	moment := rapid.IntRange(2, int(runLength/(100*time.Millisecond))-2)
	randomFault := rapid.Custom(func(t *rapid.T) fault.Fault {
		begin := time.Duration(moment.Draw(t, "begin")) * 100 * time.Millisecond
		duration := time.Duration(rapid.IntRange(1, 15).Draw(t, "lasts")) * 100 * time.Millisecond
		return fault.Fault{
			Kind: rapid.SampledFrom(fault.Kinds()).Draw(t, "kind"), Place: rapid.IntRange(0, 5).Draw(t, "place"),
			Begin: begin, End: min(begin+duration, runLength),
		}
	})
	return rapid.Custom(func(t *rapid.T) fault.Schedule {
		return rapid.SliceOfN(randomFault, 2, 5).Draw(t, "faults")
	})
}

// TestParseReadsWhatStringWrites guards against a printed schedule that cannot be run
// again, because String and Parse disagree on its form.
func TestParseReadsWhatStringWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := randomSchedules().Draw(t, "schedule")
		read, err := fault.Parse(written.String())
		if err != nil || read.String() != written.String() {
			t.Fatalf("%s is parsed as %s, error %v", written, read, err)
		}
	})
}

// TestParseRejectsMalformedFaults guards against words that are accepted with a missing or
// invalid part; the error must name the word.
func TestParseRejectsMalformedFaults(t *testing.T) {
	for _, word := range []string{"kill", "kill/0", "kill@1s-2s", "kill/0@1s", "kill/0@2s-1s", "kill/-1@1s-2s", "storm/0@1s-2s", "kill/x@1s-2s", "kill/0@a-b"} {
		var syntax *fault.SyntaxError
		if _, err := fault.Parse("logdown/0@1s-2s " + word); !errors.As(err, &syntax) || syntax.Word != word {
			t.Errorf("%q: want a *SyntaxError for this word, got %v", word, err)
		}
	}
}

func newFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"a", "b", "c"}, EntriesPerZone: 2, UpstreamsPerZone: 2, SlotsPerUpstream: 4, Speeds: []float64{1, 0.5},
		BundleText: demo.BundleText, Store: store.Options{AppendRate: 400, SyncTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// TestOverlappingFaultsCombine guards against the end of one fault undoing another that
// still lasts, which happens if each fault sets and resets the state of an upstream by
// itself. After both have ended, the upstream must run at its normal speed.
func TestOverlappingFaultsCombine(t *testing.T) {
	f := newFleet(t)
	schedule, err := fault.Parse("straggle/0@0s-200ms fail/0@100ms-300ms")
	if err != nil {
		t.Fatal(err)
	}
	_, before := f.Upstreams[0].FreeSlots()
	var speedsAtEvents []float64
	injector := fault.NewInjector(f, func(string) {
		_, speed := f.Upstreams[0].FreeSlots()
		speedsAtEvents = append(speedsAtEvents, speed)
	})
	injector.Run(t.Context(), schedule)
	_, after := f.Upstreams[0].FreeSlots()
	if len(speedsAtEvents) != 4 || speedsAtEvents[1] != before/10 || speedsAtEvents[3] != before || after != before {
		t.Errorf("speed %g before, %v at the events, %g after the run", before, speedsAtEvents, after)
	}
}

// TestGuaranteesHoldUnderRandomFaults guards against combinations of faults under which
// the dispatcher violates a guarantee, such as starting a task twice. It logs the seed and
// the schedule; radishgate load --faults runs a schedule again.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for _, seed := range []int{1, 2, 3} {
		schedule := randomSchedules().Example(seed)
		t.Logf("seed %d: %s", seed, schedule)
		f := newFleet(t)
		s, err := load.Parse("drawn", []byte(scenarioText))
		if err != nil {
			t.Fatal(err)
		}
		generator := load.New(load.Options{Scenario: s, Entries: f.CallerAddresses})
		done := make(chan struct{})
		go func() {
			defer close(done)
			fault.NewInjector(f, nil).Run(t.Context(), schedule)
		}()
		generator.Run(t.Context())
		<-done
		report := generator.Report(f.StartedTasks())
		if report.HasViolations() || report.Complete == 0 {
			t.Errorf("seed %d, faults %q: %d complete, violations: %+v", seed, schedule, report.Complete, report.Check)
		}
		f.Stop()
	}
}

const scenarioText = `
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
