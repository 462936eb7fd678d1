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

// startFleet starts three zones with the given number of entries each and stops
// them when the test ends.
func startFleet(t *testing.T, entries int) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{
		Zones: []string{"a", "b", "c"}, EntriesPerZone: entries, UpstreamsPerZone: 2, SlotsPerUpstream: 4, Speeds: []float64{1, 0.5},
		BundleText: demo.BundleText, Store: store.Options{AppendRate: 400, SyncTime: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

const scenarioTemplate = `
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

// runLoad sends the load of the scenario while during runs, and checks the
// delivery guarantees.
func runLoad(t *testing.T, f *fleet.Fleet, duration time.Duration, during func()) load.Report {
	t.Helper()
	s, err := load.Parse("test", fmt.Appendf(nil, scenarioTemplate, duration))
	if err != nil {
		t.Fatal(err)
	}
	generator := load.New(load.Options{Scenario: s, Entries: f.CallerAddresses})
	var group sync.WaitGroup
	if during != nil {
		group.Go(during)
	}
	generator.Run(t.Context())
	group.Wait()
	report := generator.Report(f.StartedTasks())
	if report.HasViolations() {
		t.Errorf("delivery guarantees violated: %+v", report.Check)
	}
	if report.Complete == 0 {
		t.Error("no call completed, so the run proves nothing")
	}
	return report
}

// failedCalls counts the calls that did not complete, by their outcome.
func failedCalls(r load.Report) map[string]int64 {
	counts := map[string]int64{}
	for _, flow := range r.Flows {
		for outcome, count := range flow.OtherOutcomes {
			counts[outcome] += count
		}
	}
	return counts
}

// TestAllFlowsCompleteWithoutFaults guards against calls that fail though nothing is
// wrong: requests and jobs of every kind of key must all complete, unless cancelled.
func TestAllFlowsCompleteWithoutFaults(t *testing.T) {
	f := startFleet(t, 2)
	report := runLoad(t, f, 1500*time.Millisecond, nil)
	for outcome, count := range failedCalls(report) {
		if outcome != "not-run:cancelled" && outcome != "unknown:cancelled" {
			t.Errorf("%d calls ended %s", count, outcome)
		}
	}
}

// TestPlannedReplacementLosesNoCalls guards against calls that a planned stop drops
// in flight. It replaces every entry under load: first one, then all the others at
// once. Every call must get an answer.
func TestPlannedReplacementLosesNoCalls(t *testing.T) {
	f := startFleet(t, 2)
	report := runLoad(t, f, 6*time.Second, func() {
		replace := func(n *fleet.Node) {
			next, err := f.AddNode(n.Zone)
			if err != nil {
				t.Error(err)
				return
			}
			for !next.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
			f.RemoveNode(n)
			n.Stop()
		}
		old := f.LiveNodes()
		replace(old[0])
		var group sync.WaitGroup
		for _, n := range old[1:] {
			group.Go(func() { replace(n) })
		}
		group.Wait()
	})
	for outcome, count := range failedCalls(report) {
		switch outcome {
		case "not-run:cancelled", "unknown:cancelled", "not-run:draining", "not-run:owner-unreachable":
		case "unknown:lost", "unknown:owner-unreachable":
			// Expected for the resubmission of a key whose origin has stopped meanwhile.
		default:
			t.Errorf("%d calls ended %s", count, outcome)
		}
	}
}

// TestSimultaneousFaultsKeepGuarantees guards against faults that break the delivery
// guarantees only in combination. One run has silent connections, lost log replies,
// a log outage, killed entries, and upstreams that leave, fail or truncate answers.
func TestSimultaneousFaultsKeepGuarantees(t *testing.T) {
	f := startFleet(t, 2)
	runLoad(t, f, 4*time.Second, func() {
		pause := func() { time.Sleep(500 * time.Millisecond) }
		pause()
		f.Upstreams[0].Listener.Freeze()
		f.Store.SetFaults(store.Faults{LostReplies: 5})
		pause()
		f.Upstreams[2].SetModes(runner.Modes{Leaving: true})
		f.Store.SetFaults(store.Faults{Outage: true})
		pause()
		victim := f.LiveNodes()[3]
		f.RemoveNode(victim)
		victim.Kill()
		pause()
		f.Store.SetFaults(store.Faults{LostReplies: 5})
		f.Upstreams[4].SetModes(runner.Modes{Fail: true})
		pause()
		f.Upstreams[4].SetModes(runner.Modes{Truncate: true})
		secondVictim := f.LiveNodes()[0]
		f.RemoveNode(secondVictim)
		secondVictim.Kill()
	})
}

// TestLogOutageRefusesOnlyChosenKeys guards against a log outage that affects more
// than the claims of chosen keys. Those are refused as not run; all other calls
// complete, and after the outage chosen keys are accepted again.
func TestLogOutageRefusesOnlyChosenKeys(t *testing.T) {
	f := startFleet(t, 1)
	f.Store.SetFaults(store.Faults{Outage: true})
	report := runLoad(t, f, time.Second, nil)
	for _, flow := range report.Flows {
		for outcome, count := range flow.OtherOutcomes {
			chosen := flow.Flow == "chosen" || flow.Flow == "fit-chosen"
			if !chosen && outcome != "not-run:cancelled" && outcome != "unknown:cancelled" {
				t.Errorf("%s: %d calls ended %s", flow.Flow, count, outcome)
			}
			if chosen && outcome != "not-run:log-unavailable" {
				t.Errorf("%s: %d calls ended %s", flow.Flow, count, outcome)
			}
		}
	}
	f.Store.SetFaults(store.Faults{})
	waitForClaims(t, f)
	report = runLoad(t, f, time.Second, nil)
	if left := failedCalls(report)["not-run:log-unavailable"]; left != 0 {
		t.Errorf("%d calls with chosen keys were refused after the outage", left)
	}
}

// waitForClaims waits until keys of all partitions are claimed again after an outage of the log. A
// partition refuses claims for a second after an append has failed, and an append that was sent
// during the outage may fail after it has ended.
func waitForClaims(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	const keys = 64 // several for each of the 8 partitions
	cl := client.New("lullaby", f.CallerAddresses()...)
	deadline := time.Now().Add(30 * time.Second)
	for i := 0; i < keys; {
		_, _, err := cl.Request(t.Context(), cl.NextEntry(), "hold", fmt.Sprint("claimable-", i), 0, []byte(`{"run":"1ms"}`))
		var refused *client.RefusedError
		switch {
		case err == nil:
			i++
		case !errors.As(err, &refused) || refused.Kind != refusal.LogUnavailable:
			t.Fatal(err)
		case time.Now().After(deadline):
			t.Fatalf("claims are still refused 30 s after the outage: %v", err)
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestEntryStartedDuringPlatformOutageIsListedLater guards against an entry that
// registers only once at its start. If the platform is down at that time, the entry
// must retry; otherwise entries that all start during an outage never find each other.
func TestEntryStartedDuringPlatformOutageIsListedLater(t *testing.T) {
	f := startFleet(t, 1)
	f.Store.SetFaults(store.Faults{Outage: true})
	n, err := f.AddNode("a")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	f.Store.SetFaults(store.Faults{})
	listed := func() bool {
		list, err := f.Store.VMChanges("a", 0)
		return err == nil && slices.ContainsFunc(list.VMs, func(vm platform.VM) bool { return vm.ID == n.VM })
	}
	for deadline := time.Now().Add(30 * time.Second); !listed(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("entry did not appear in the platform's list of VMs within 30 s")
		}
	}
}

// TestNetworkPartitionOfZone guards against a network partition that stops one of its
// sides. It cuts one zone off from the platform, the other zones or both, and publishes
// a bundle meanwhile. Both sides keep serving; after healing all have the new version.
func TestNetworkPartitionOfZone(t *testing.T) {
	tests := []struct {
		name      string
		links     [][2]string
		flapCount int
	}{
		{"from the others", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}}, 0},
		{"from the platform", [][2]string{{"a", fleet.Platform}}, 0},
		{"from both", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}, {"a", fleet.Platform}}, 0},
		{"one way", [][2]string{{"b", "a"}, {"c", "a"}}, 0},
		{"flapping", [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}, {"a", fleet.Platform}}, 5},
	}
	f := startFleet(t, 1)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := runLoad(t, f, 2*time.Second, func() {
				cut := func() {
					for _, link := range test.links {
						f.BlockLink(link[0], link[1])
					}
				}
				for range test.flapCount {
					cut()
					time.Sleep(200 * time.Millisecond)
					f.UnblockLinks()
					time.Sleep(100 * time.Millisecond)
				}
				cut()
				text := f.BundleText() + "\n[tenant " + fmt.Sprintf("t%d", f.BundleVersion()) + "]\n"
				if err := f.Publish(t.Context(), text); err != nil {
					t.Error(err)
				}
			})
			for _, flow := range report.Flows {
				if flow.Flow == "recall" && flow.Complete != flow.Calls {
					t.Errorf("flow recall: %d of %d calls completed: %v", flow.Complete, flow.Calls, flow.OtherOutcomes)
				}
			}
			f.UnblockLinks()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			if err := f.WaitReady(ctx); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestBundleReachesZoneThroughPeers guards against a zone that keeps an old bundle
// because it is cut off from the platform, though its peers have the new one.
func TestBundleReachesZoneThroughPeers(t *testing.T) {
	f := startFleet(t, 1)
	f.BlockLink("a", fleet.Platform)
	if err := f.Publish(t.Context(), f.BundleText()+"\n[tenant late]\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestResubmissionReachesTheSameJob guards against tasks that start twice because the
// same key reaches several entries. It submits one job through every entry at once.
func TestResubmissionReachesTheSameJob(t *testing.T) {
	f := startFleet(t, 2)
	cl := client.New("vakuumtrak", f.CallerAddresses()...)
	defer cl.Close()
	_, originKey, err := cl.NewKey(t.Context(), "mine")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{originKey, "chosen by me"[:6]} {
		body := caller.Body{Service: "fit"}
		for range 20 {
			body.Tasks = append(body.Tasks, caller.BodyTask{Body: []byte(`{"run":"20ms"}`)})
		}
		var group sync.WaitGroup
		for _, entry := range f.CallerAddresses() {
			group.Go(func() {
				state, err := cl.Submit(t.Context(), entry, key, body, 20*time.Second)
				if err != nil || len(state.Answers) != 20 {
					t.Errorf("through %s: %d answers, %v", entry, len(state.Answers), err)
				}
			})
		}
		group.Wait()
	}
	if starts := len(f.StartedTasks()); starts != 40 {
		t.Errorf("%d starts of 40 tasks", starts)
	}
}

// TestKeyOfDeadOriginIsNotRestarted guards against a second start of a job whose origin
// was killed: its outcome is unknown, so a resubmission must not run it again.
func TestKeyOfDeadOriginIsNotRestarted(t *testing.T) {
	f := startFleet(t, 1)
	victim := f.LiveNodes()[0]
	cl := client.New("lullaby", victim.CallerAddress)
	defer cl.Close()
	token, err := cl.OriginToken(t.Context(), victim.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := cl.Request(t.Context(), victim.CallerAddress, "hold", token+".x", 0, []byte(`{"run":"1ms"}`)); err != nil {
		t.Fatal(err)
	}
	f.RemoveNode(victim)
	victim.Kill()
	var refused *client.RefusedError
	_, _, err = cl.Request(t.Context(), f.LiveNodes()[0].CallerAddress, "hold", token+".x", 0, []byte(`{"run":"1ms"}`))
	if !errors.As(err, &refused) || refused.Outcome != refusal.Unknown {
		t.Errorf("key of a killed origin: got %v, want a refusal with unknown outcome", err)
	}
	if len(f.StartedTasks()) != 1 {
		t.Errorf("%d starts of 1 task", len(f.StartedTasks()))
	}
}
