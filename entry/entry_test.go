package entry_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newFleet starts three zones; all of it ends with the test.
func newFleet(t *testing.T, entries int) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"a", "b", "c"}, Entries: entries, Upstreams: 2, Slots: 4, Speeds: []float64{1, 0.5},
		Bundle: demo.Bundle, Store: store.Options{Rate: 400, Sync: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

const scenario = `
[load]
span = %s
seed = 5
[flow recall]
tenant = lullaby
service = recall
rate = 30
run = 10ms
spread = 0.3
repeatable = true
[flow hold]
tenant = lullaby
service = hold
rate = 15
run = 10ms
key = origin
resubmit = 0.5
[flow chosen]
tenant = lullaby
service = hold
rate = 15
run = 10ms
key = chosen
resubmit = 0.5
[flow fit]
tenant = vakuumtrak
service = fit
kind = job
rate = 4
run = 10ms
spread = 0.5
tasks = 5-60
key = origin
resubmit = 0.4
cancel = 0.1
[flow fit-chosen]
tenant = vakuumtrak
service = fit
kind = job
rate = 2
run = 10ms
tasks = 5-20
key = chosen
resubmit = 0.5
`

// drive sends the scenario while during runs, and checks the promises.
func drive(t *testing.T, f *fleet.Fleet, span time.Duration, during func()) load.Report {
	t.Helper()
	s, err := load.Parse("test", fmt.Appendf(nil, scenario, span))
	if err != nil {
		t.Fatal(err)
	}
	run := load.New(load.Options{Scenario: s, Entries: f.Callers})
	var group sync.WaitGroup
	if during != nil {
		group.Go(during)
	}
	run.Do(t.Context())
	group.Wait()
	report := run.Report(f.Starts())
	if report.Broken() {
		t.Errorf("promises broken: %+v", report.Check)
	}
	if report.Complete == 0 {
		t.Error("nothing was answered, the run proves nothing")
	}
	return report
}

// outcomes adds up the calls that did not complete, by what they were told.
func outcomes(r load.Report) map[string]int64 {
	sum := map[string]int64{}
	for _, row := range r.Rows {
		for outcome, count := range row.Others {
			sum[outcome] += count
		}
	}
	return sum
}

func TestWholePath(t *testing.T) {
	f := newFleet(t, 2)
	report := drive(t, f, 1500*time.Millisecond, nil)
	for outcome, count := range outcomes(report) {
		if outcome != "not-run:cancelled" && outcome != "unknown:cancelled" {
			t.Errorf("%d calls ended %s", count, outcome)
		}
	}
}

// TestReplacementOfAllEntries replaces every entry under load, two at once at
// the end. A planned stop cuts nothing: every call is answered.
func TestReplacementOfAllEntries(t *testing.T) {
	f := newFleet(t, 2)
	report := drive(t, f, 6*time.Second, func() {
		replace := func(n *fleet.Node) {
			next, err := f.Add(n.Zone)
			if err != nil {
				t.Error(err)
				return
			}
			for !next.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
			f.Forget(n)
			n.Stop()
		}
		old := f.Live()
		replace(old[0])
		var group sync.WaitGroup
		for _, n := range old[1:] {
			group.Go(func() { replace(n) })
		}
		group.Wait()
	})
	for outcome, count := range outcomes(report) {
		switch outcome {
		case "not-run:cancelled", "unknown:cancelled", "not-run:draining", "not-run:owner-unreachable":
		case "unknown:lost", "unknown:owner-unreachable":
			// A resubmission of a key whose origin has gone meanwhile is told so.
		default:
			t.Errorf("%d calls ended %s", count, outcome)
		}
	}
}

// TestFaultsTogether kills an entry, makes connections silent, lets an upstream
// leave and another fail, and takes the log away, all in one run.
func TestFaultsTogether(t *testing.T) {
	f := newFleet(t, 2)
	drive(t, f, 4*time.Second, func() {
		pause := func() { time.Sleep(500 * time.Millisecond) }
		pause()
		f.Upstreams[0].Listener.Freeze()
		f.Store.Set(store.Faults{LostReplies: 5})
		pause()
		f.Upstreams[2].Set(runner.Modes{Leaving: true})
		f.Store.Set(store.Faults{Outage: true})
		pause()
		victim := f.Live()[3]
		f.Forget(victim)
		victim.Kill()
		pause()
		f.Store.Set(store.Faults{LostReplies: 5})
		f.Upstreams[4].Set(runner.Modes{Fail: true})
		pause()
		f.Upstreams[4].Set(runner.Modes{Truncate: true})
		second := f.Live()[0]
		f.Forget(second)
		second.Kill()
	})
}

// TestLogDown takes the log away: chosen keys are refused as not run, all else
// goes on.
func TestLogDown(t *testing.T) {
	f := newFleet(t, 1)
	f.Store.Set(store.Faults{Outage: true})
	report := drive(t, f, time.Second, nil)
	for _, row := range report.Rows {
		for outcome, count := range row.Others {
			chosen := row.Flow == "chosen" || row.Flow == "fit-chosen"
			if !chosen && outcome != "not-run:cancelled" && outcome != "unknown:cancelled" {
				t.Errorf("%s: %d calls ended %s", row.Flow, count, outcome)
			}
			if chosen && outcome != "not-run:log-unavailable" {
				t.Errorf("%s: %d calls ended %s", row.Flow, count, outcome)
			}
		}
	}
	f.Store.Set(store.Faults{})
	// A partition whose log failed refuses at once for a second.
	time.Sleep(1100 * time.Millisecond)
	report = drive(t, f, time.Second, nil)
	if left := outcomes(report)["not-run:log-unavailable"]; left != 0 {
		t.Errorf("%d chosen keys are refused after the outage", left)
	}
}

// TestEntryThatStartsWhileThePlatformIsDown is in the list of VMs once the
// platform is back. Entries that all started then would never meet otherwise.
func TestEntryThatStartsWhileThePlatformIsDown(t *testing.T) {
	f := newFleet(t, 1)
	f.Store.Set(store.Faults{Outage: true})
	n, err := f.Add("a")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	f.Store.Set(store.Faults{})
	listed := func() bool {
		list, err := f.Store.VMs("a", 0)
		return err == nil && slices.ContainsFunc(list.VMs, func(vm platform.VM) bool { return vm.ID == n.VM })
	}
	for deadline := time.Now().Add(30 * time.Second); !listed(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the entry never came into the list")
		}
	}
}

// TestZoneCutOff cuts one zone from the platform and from the others, and
// publishes meanwhile. Each side goes on; after healing all have the version.
func TestZoneCutOff(t *testing.T) {
	tests := []struct {
		name  string
		ways  [][2]string
		flaps int
	}{
		{"from the others", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}}, 0},
		{"from the platform", [][2]string{{"a", fleet.Platform}}, 0},
		{"from both", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}, {"a", fleet.Platform}}, 0},
		{"one way", [][2]string{{"b", "a"}, {"c", "a"}}, 0},
		{"flapping", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}, {"a", fleet.Platform}}, 5},
	}
	f := newFleet(t, 1)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := drive(t, f, 2*time.Second, func() {
				cut := func() {
					for _, way := range test.ways {
						f.Cut(way[0], way[1])
					}
				}
				for range test.flaps {
					cut()
					time.Sleep(200 * time.Millisecond)
					f.Heal()
					time.Sleep(100 * time.Millisecond)
				}
				cut()
				text := f.Text() + "\n[tenant " + fmt.Sprintf("t%d", f.Version()) + "]\n"
				if err := f.Publish(t.Context(), text); err != nil {
					t.Error(err)
				}
			})
			for _, row := range report.Rows {
				if row.Flow == "recall" && row.Complete != row.Calls {
					t.Errorf("recall checks: %d of %d complete: %v", row.Complete, row.Calls, row.Others)
				}
			}
			f.Heal()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			if err := f.Ready(ctx); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestBundleReachesACutZoneByItsPeers cuts a zone from the platform only.
func TestBundleReachesACutZoneByItsPeers(t *testing.T) {
	f := newFleet(t, 1)
	f.Cut("a", fleet.Platform)
	if err := f.Publish(t.Context(), f.Text()+"\n[tenant late]\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestResubmissionReachesTheSameJob sends one job through every entry at once.
func TestResubmissionReachesTheSameJob(t *testing.T) {
	f := newFleet(t, 2)
	cl := client.New("vakuumtrak", f.Callers()...)
	defer cl.Close()
	_, originKey, err := cl.NewKey(t.Context(), "mine")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{originKey, "chosen by me"[:6]} {
		body := caller.JobRequest{Service: "fit"}
		for range 20 {
			body.Tasks = append(body.Tasks, caller.JobTask{Body: []byte(`{"run":"20ms"}`)})
		}
		var group sync.WaitGroup
		for _, entry := range f.Callers() {
			group.Go(func() {
				state, err := cl.Submit(t.Context(), entry, key, body, 20*time.Second)
				if err != nil || len(state.Answers) != 20 {
					t.Errorf("through %s: %d answers, %v", entry, len(state.Answers), err)
				}
			})
		}
		group.Wait()
	}
	if starts := len(f.Starts()); starts != 40 {
		t.Errorf("%d starts of 40 tasks", starts)
	}
}

// TestKeyOfADeadOrigin kills the origin of a key. Nobody starts it again.
func TestKeyOfADeadOrigin(t *testing.T) {
	f := newFleet(t, 1)
	victim := f.Live()[0]
	cl := client.New("lullaby", victim.Callers)
	defer cl.Close()
	token, err := cl.OriginToken(t.Context(), victim.Callers)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := cl.Request(t.Context(), victim.Callers, "hold", token+".x", 0, []byte(`{"run":"1ms"}`)); err != nil {
		t.Fatal(err)
	}
	f.Forget(victim)
	victim.Kill()
	var refused *client.RefusedError
	_, _, err = cl.Request(t.Context(), f.Live()[0].Callers, "hold", token+".x", 0, []byte(`{"run":"1ms"}`))
	if !errors.As(err, &refused) || refused.Outcome != refusal.Unknown {
		t.Errorf("a key of a dead origin: %v", err)
	}
	if len(f.Starts()) != 1 {
		t.Errorf("%d starts", len(f.Starts()))
	}
}
