package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestRecordedCancelStartsNothing guards against a cancelled job whose entry hands it over after the cancel: the request
// came again, the holder has replaced the one that knew the job, or the entry was frozen and the job was abandoned.
func TestRecordedCancelStartsNothing(t *testing.T) {
	const id = "00000000000000aa"
	listed := Report{Worker: "w1", Running: []RunProgress{{Task: id + ".0.0.0", Run: 1}}}
	report := func(p *Plan, ms int) {
		listed.Sent = after(ms)
		p.HandleReport(listed, after(ms))
	}
	tests := []struct {
		name    string
		prepare func(p *Plan, cancel func())
		stops   int // at once
	}{
		{"the request comes again", func(_ *Plan, cancel func()) { cancel() }, 0},
		{"another holder has started it, found before", func(p *Plan, cancel func()) {
			report(p, 1900)
			cancel()
		}, 1},
		{"another holder has started it, found after", func(p *Plan, cancel func()) {
			cancel()
			report(p, 1900)
		}, 1},
		{"abandoned while its entry was frozen", func(p *Plan, cancel func()) {
			p.Admit(testJob(id, 1, after(500)), nil, after(500))
			p.Tick(after(1600))
			p.Orders() // its run has been stopped
			cancel()
		}, 0},
		{"moved out of its evacuated zone, and sent back", func(p *Plan, cancel func()) {
			p.options.Zone = "a"
			p.options.EvacuationTarget = func(string) string { return "b/0" }
			p.SetEvacuations(Evacuations{Zones: map[string]bool{"a": true}})
			p.Admit(testJob(id, 1, after(1900)), nil, after(1900))
			p.Tick(after(1925))
			if moved := ordersOfKind(p.Orders(), DeliverResult); len(moved) != 1 || moved[0].Result.State != batch.Moved {
				t.Fatalf("results %+v, want one that moves the job", moved)
			}
			p.SetEvacuations(Evacuations{})
			cancel()
		}, 0},
		{"another group has started it", func(p *Plan, cancel func()) {
			p.options.StartedElsewhere = func(string) string { return "b/0" }
			cancel()
		}, 0},
		{"refused as its entry stops", func(p *Plan, cancel func()) {
			p.Admit(testJob("00000000000000bb", 2, after(1900)), nil, after(1900))
			b := testJob(id, 1, after(1900))
			p.Admit(b, nil, after(1900))
			if !p.Refuse(id, b.Attempt, after(1910)) {
				t.Fatal("the job is not refused")
			}
			p.Orders()
			cancel()
		}, 0},
		{"it runs, and the message arrives before the cancel itself", func(p *Plan, cancel func()) {
			p.Admit(testJob(id, 1, after(1900)), nil, after(1900))
			p.Orders()
			cancel()
		}, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			cancelled := false
			p := fencedPlan(testWorker("w1", 2))
			p.options.Cancelled = func(job string) bool { return cancelled && job == id }
			c.prepare(p, func() { cancelled = true })
			b := testJob(id, 1, after(2000))
			b.Attempt = 7
			if j, known := p.jobs[id]; known && j.result.State == batch.Moved {
				b.StartedHere = true // as the other group sends it back
			}
			p.Admit(b, nil, after(2000))
			orders := p.Orders()
			if stopped := ordersOfKind(orders, Stop); len(stopped) != c.stops {
				t.Errorf("%d runs are stopped at once, want %d", len(stopped), c.stops)
			}
			for ms := 2020; ms < 4000; ms += 20 {
				p.Tick(after(ms))
				orders = append(orders, p.Orders()...)
			}
			results := ordersOfKind(orders, DeliverResult)
			if len(results) != 1 || results[0].Result.State != batch.Cancelled || results[0].Result.Attempt != 7 {
				t.Errorf("results %+v, want one that says cancelled to attempt 7", results)
			}
			if started := ordersOfKind(orders, Start); len(started) > 0 {
				t.Errorf("%d starts after the cancel", len(started))
			}
		})
	}
}

// TestRunOfACancelledJobIsStopped guards against a run that goes on for as long as its lease because no entry hands its job
// over after the cancel.
func TestRunOfACancelledJobIsStopped(t *testing.T) {
	p := fencedPlan(testWorker("w1", 2))
	p.options.Cancelled = func(string) bool { return true }
	p.HandleReport(Report{Worker: "w1", Sent: after(2000), Running: []RunProgress{{Task: "00000000000000aa.0.0.0", Run: 1}}}, after(2000).Add(time.Millisecond))
	if stops := ordersOfKind(p.Orders(), Stop); len(stops) != 1 {
		t.Errorf("%d stops, want 1", len(stops))
	}
}
