package plan

import "testing"

// TestStallIsDetectedFromReportsOnly delivers the reports of a worker late while a short task
// runs. Time without a report must not count as a stall: only a later report without progress
// may stop the run.
func TestStallIsDetectedFromReportsOnly(t *testing.T) {
	tests := []struct {
		name    string
		reports []int // ms; each lists the task with the percent below
		percent []int
		at      int // ms
		stops   int
	}{
		{"no report since the start", nil, nil, 900, 0},
		{"the last report is old", []int{60}, []int{50}, 900, 0},
		{"reports show no progress", []int{60, 500}, []int{50, 50}, 510, 1},
		{"reports show progress", []int{60, 500}, []int{50, 95}, 510, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, start)
			p.Tick(after(1200))
			p.Admit(b, nil, after(1200))
			started := starts(p)[0]
			p.HandleStartOutcome(started.Worker, started.Task, started.Run, StartAccepted, after(1200))
			for i, at := range c.reports {
				p.HandleReport(Report{
					Worker: "w1", Sent: after(1200 + at), Running: []RunProgress{{Task: started.Task, Run: started.Run, Percent: c.percent[i]}},
				}, after(1200+at))
			}
			p.KeepAlive(b.ID, after(1200+c.at))
			p.Tick(after(1200 + c.at))
			if got := len(ordersOfKind(p.Orders(), Stop)); got != c.stops {
				t.Fatalf("%d stops, want %d", got, c.stops)
			}
		})
	}
}

// TestOverdueReportIsRequested loses the report of a run that should have ended. The worker must
// be asked for one outside its regular calls, and no more once it has answered. Otherwise the
// resources of an ended run would stay reserved.
func TestOverdueReportIsRequested(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4))
	p.Tick(after(1200))
	b := testJob("00000000000000aa", 1, after(1200)) // of 100 ms
	p.Admit(b, nil, after(1200))
	started := starts(p)[0]
	p.HandleStartOutcome(started.Worker, started.Task, started.Run, StartAccepted, after(1200))
	steps := []struct {
		at       int // ms since the start
		report   bool
		requests int
	}{
		{50, true, 0}, {125, false, 0}, {135, false, 1}, {210, false, 0}, {240, false, 1}, {250, true, 0}, {450, false, 0},
	}
	for _, s := range steps {
		at := after(1200 + s.at)
		if s.report {
			p.HandleReport(Report{Worker: "w1", Sent: at, Running: []RunProgress{{Task: started.Task, Run: started.Run, Percent: 60}}}, at)
		}
		p.KeepAlive(b.ID, at)
		p.Tick(at)
		if got := len(ordersOfKind(p.Orders(), RequestReport)); got != s.requests {
			t.Fatalf("after %d ms: %d reports requested, want %d", s.at, got, s.requests)
		}
	}
}
