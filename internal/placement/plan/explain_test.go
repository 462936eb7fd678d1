package plan

import (
	"fmt"
	"hash/fnv"
	"maps"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// TestExplanationsChangeNothing guards against explanations that take part in the plan, by arrival rates, trial jobs,
// times of return, free slots or records of jobs: the same overload has the same orders with and without them.
func TestExplanationsChangeNothing(t *testing.T) {
	for _, options := range []Options{{}, {Lookahead: true, Priorities: true}} {
		play := func(explain bool) (uint64, map[explanation.Route]int, int) {
			z := newQuarterFast(22, 16, 5)
			z.plan.options.Priorities = options.Priorities
			if options.Lookahead {
				z.plan.ahead = newAhead()
			}
			hash, routes, refusals := fnv.New64a(), map[explanation.Route]int{}, 0
			z.plan.SetOtherFreeSlots(spillover.Slots{"b/0": 600})
			z.observe = func(o Order, now time.Time) {
				fmt.Fprintln(hash, o.Kind, o.Worker, o.Task, o.Run, o.Result.State, o.Result.RetryAt, now.UnixNano())
				for ms := 20; explain && ms < 2000; ms *= 3 {
					b := testJob("00000000000000ee", 4, now)
					b.ExpiresAt = now.Add(time.Duration(ms) * time.Millisecond)
					b.Steps[0].Resources = cores(8)
					b.Queue = []string{"lookup", "check", "ping", "other"}[ms%4]
					e := z.plan.Explain(b, now)
					routes[e.Route]++
					if e.Refusal != nil {
						refusals++
					}
				}
			}
			z.run(usualLoad, 2.5, time.Second)
			return hash.Sum64(), routes, refusals
		}
		without, _, _ := play(false)
		with, routes, refusals := play(true)
		if with != without {
			t.Errorf("%+v: other orders with explanations", options)
		}
		if refusals == 0 || len(routes) < 2 {
			t.Errorf("%+v: %d refusals and routes %v explained, want some of each", options, refusals, routes)
		}
	}
}

// TestExplanationIsWhatAdmissionDoes guards against an explanation that differs from what happens to the job: it is
// compared with the orders of its admission.
func TestExplanationIsWhatAdmissionDoes(t *testing.T) {
	busy := func(p *Plan) { // all cores are in use
		b := testJob("00000000000000bb", 16, after(5000))
		b.Steps[0].Resources.MemoryMB = 0
		p.Admit(b, nil, after(5000))
	}
	tests := []struct {
		name    string
		prepare func(p *Plan)
		change  func(b *batch.Batch)
		want    string // of "start", "move", "refuse" and "wait"
	}{
		{"idle workers", func(*Plan) {}, func(*batch.Batch) {}, "start"},
		{"full workers", busy, func(*batch.Batch) {}, "wait"},
		{"full workers, task without cores", busy, func(b *batch.Batch) { b.Steps[0].Resources = resources.Resources{} }, "wait"},
		{"full workers, free slots elsewhere", func(p *Plan) { busy(p); p.SetOtherFreeSlots(spillover.Slots{"b/0": 50}) }, func(*batch.Batch) {}, "move"},
		{"free slots elsewhere, moved before", func(p *Plan) { busy(p); p.SetOtherFreeSlots(spillover.Slots{"b/0": 50}) }, func(b *batch.Batch) { b.SpilledOver = true }, "wait"},
		{"larger than any worker", func(*Plan) {}, func(b *batch.Batch) { b.Steps[0].Resources = cores(99) }, "refuse"},
		{"too little time behind others", busy, func(b *batch.Batch) { b.ExpiresAt = b.ArrivedAt.Add(150 * time.Millisecond) }, "refuse"},
		{"no worker answers", func(p *Plan) {
			p.MarkUnresponsive("w1", after(4000))
			p.MarkUnresponsive("w2", after(4000))
		}, func(*batch.Batch) {}, "refuse"},
		{"takeover suspected", func(p *Plan) { p.SetTakeoverSuspected(true) }, func(*batch.Batch) {}, "wait"},
		{"leases of another holder", func(p *Plan) { p.OtherHolderSeen("w1", after(5000)) }, func(*batch.Batch) {}, "wait"},
		{"started by another group", func(p *Plan) { p.options.StartedElsewhere = func(string) string { return "c/0" } }, func(*batch.Batch) {}, "move"},
		{"trial job", func(p *Plan) {
			p.estimator.Observe("hold", "w1", "slow", 0, 1000*time.Second, 1000*time.Second)
		}, func(*batch.Batch) {}, "start"},
		{"second step waits for the first", func(*Plan) {}, func(b *batch.Batch) {
			b.Steps = append(b.Steps, batch.Step{Count: 1, Resources: cores(1), DependsOn: []int{0}})
		}, "start"},
	}
	for _, c := range tests {
		p := fencedPlan(testWorker("w1", 4), testWorker("w2", 6))
		c.prepare(p)
		p.Orders()
		b := testJob("00000000000000aa", 2, after(5000))
		c.change(b)
		e := p.Explain(b, b.ArrivedAt)
		if len(p.Orders()) > 0 || p.jobs[b.ID] != nil {
			t.Errorf("%s: the explanation has changed the plan", c.name)
		}
		if e.Trial != (c.name == "trial job") {
			t.Errorf("%s: explained as trial job: %t", c.name, e.Trial)
		}
		p.Admit(b, nil, b.ArrivedAt)
		got := "wait"
		for _, o := range p.Orders() {
			same := true
			switch {
			case o.Kind == Start && got != "start":
				got, same = "start", e.Steps[0].Worker == o.Worker && e.Steps[0].Runtime == o.ExpectedTime.Milliseconds() && e.Steps[0].Candidates > 0 && e.Hold == ""
			case o.Kind == DeliverResult && o.Result.State == batch.Moved:
				got, same = "move", e.Target == o.Result.TargetGroup
			case o.Kind == DeliverResult:
				got, same = "refuse", e.Refusal != nil && e.Refusal.Reason == o.Result.Reason && e.Refusal.Retry.Equal(o.Result.RetryAt)
			}
			if !same {
				t.Errorf("%s: explained %+v, got %+v", c.name, e, o)
			}
		}
		if got != c.want || got == "wait" && (e.Refusal != nil || e.Target != "" || e.Hold == "" && e.Steps[0].Candidates > 0) {
			t.Errorf("%s: %s, explained %+v, want %s", c.name, got, e, c.want)
		}
	}
}

// TestExplanationCountsExcludedWorkers guards against workers that are counted twice, under a wrong reason, or not at all.
func TestExplanationCountsExcludedWorkers(t *testing.T) {
	with := func(id string, n int, change func(w *Worker)) Worker {
		w := testWorker(id, n)
		w.Labels = []string{"k"}
		change(&w)
		return w
	}
	p := fencedPlan(
		with("w1", 4, func(*Worker) {}), with("w2", 4, func(*Worker) {}), with("w3", 4, func(w *Worker) { w.Service = "other" }), with("w4", 1, func(*Worker) {}),
		with("w5", 4, func(w *Worker) { w.Labels = nil }), with("w6", 1, func(w *Worker) { w.Draining = true }), with("w7", 4, func(w *Worker) { w.Zone = "z" }),
	)
	p.AddWorker(with("w8", 4, func(w *Worker) { w.ColdUntil = after(60_000) }), start)
	p.SetEvacuations(Evacuations{Zones: map[string]bool{"z": true}})
	p.estimator.RaiseSlowdown("w2", 20)
	p.Tick(after(10))
	b := testJob("00000000000000aa", 1, after(10))
	b.Steps[0].Resources, b.Steps[0].RequiredLabel = cores(2), "k"
	got := p.Explain(b, after(10)).Steps[0]
	want := map[explanation.Reason]int{"slow": 1, "service": 1, "resources": 1, "label": 1, "draining": 1, "evacuated": 1, "fencing": 1}
	if got.Worker != "w1" || got.Candidates != 1 || !maps.Equal(got.Excluded, want) {
		t.Errorf("%+v, want %v", got, want)
	}
}
