package plan

import "testing"

// TestLateStartOfACrashedWorkerRunsAlone guards against two runs of a task at a time: a worker leaves a start
// unanswered, and the task starts again once the worker has accepted a higher token. Then the worker crashes, and its
// next incarnation, which has seen no token, executes the first start. It also measures what such a start costs
// without a crash: the second start comes as soon as the worker has accepted the token, and goes on.
func TestLateStartOfACrashedWorkerRunsAlone(t *testing.T) {
	closed := func(p *Plan, ms int) {
		if ms == 6000 {
			p.ConnectionClosed("w1", false, after(ms))
		}
	}
	silent := func(from, to int) func(p *Plan, ms int) {
		return func(p *Plan, ms int) {
			switch {
			case ms >= from && ms < to:
				p.MarkUnresponsive("w1", after(ms))
			default:
				p.HandleReport(Report{Worker: "w1", Sent: after(ms)}, after(ms))
			}
		}
	}
	back := func(running ...RunProgress) func(p *Plan) {
		return func(p *Plan) {
			p.RestartWorker(testWorker("w1", 1), after(8000))
			p.HandleReport(Report{Worker: "w1", Sent: after(8000), Fenced: true, Running: running}, after(8000))
		}
	}
	tests := []struct {
		name    string
		outcome StartOutcome
		on      string                // worker of the second start
		lose    func(p *Plan, ms int) // events of w1 from 5.2 s to 8 s
		back    func(p *Plan)         // at 8 s; nil if w1 does not come back
		stopped int                   // ms, when the second run is stopped; 0 if it is not
		third   int                   // ms, when the task starts again; 0 if it does not
	}{
		{"no crash", OutcomeUnknown, "w2", silent(0, 0), nil, 0, 0},
		{"silent for less than a lease", OutcomeUnknown, "w2", silent(5500, 6400), nil, 0, 0},
		{"silent for a lease", OutcomeUnknown, "w2", silent(5500, 8000), back(), 6480, 8000},
		{"closes the connection", OutcomeUnknown, "w2", closed, back(), 6000, 8000},
		{"closes the connection, and another copy of the start was answered", CopyAccepted, "w2", closed, back(), 6000, 8000},
		{"closes the connection, and the start was answered", StartAccepted, "w2", closed, back(), 0, 0},
		{"another incarnation", OutcomeUnknown, "w2", func(p *Plan, ms int) {
			if ms == 6000 {
				p.RestartWorker(testWorker("w1", 1), after(ms))
			}
		}, back(), 6000, 8000},
		{"closes the connection and does not come back", OutcomeUnknown, "w2", closed, nil, 6000, 18080},
		{"closes the connection and does not come back, and the last copy was sent later", OutcomeUnknown, "w2", func(p *Plan, ms int) {
			closed(p, ms)
			if ms == 6000 {
				p.StartSent("w1", "00000000000000aa.0.0.0", 1, after(5300))
			}
		}, nil, 6000, 18380},
		{"the next incarnation has executed it", OutcomeUnknown, "w2", closed, back(RunProgress{Task: "00000000000000aa.0.0.0", Run: 1}), 6000, 0},
		{"the second run crashes with its worker", OutcomeUnknown, "w1", closed, back(), 0, 8000},
		{"the second run crashes with its worker, which does not come back", OutcomeUnknown, "w1", closed, nil, 0, 18080},
		{"its registration goes as well", OutcomeUnknown, "w2", func(p *Plan, ms int) {
			closed(p, ms)
			if ms == 6500 {
				p.RetireWorker("w1", after(ms))
			}
		}, nil, 6000, 18080},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, b, first := planWithLongRun("w2")
			b.ExpiresAt = after(60_000)
			p.HandleStartOutcome("w1", first.Task, first.Run, c.outcome, after(5100))
			w1 := testWorker("w1", 1)
			w1.Draining = c.on != "w1"
			p.AddWorker(w1, after(5100))
			report := Report{Worker: "w1", Sent: after(5200), Fenced: c.outcome == OutcomeUnknown}
			if !report.Fenced {
				report.Ended = []EndedRun{{first.Task, first.Run, Aborted}}
			}
			p.HandleReport(report, after(5200))
			second := starts(p)
			if len(second) != 1 || second[0].Worker != c.on {
				t.Fatalf("starts %+v when w1 has accepted the token, want one on %s", second, c.on)
			}
			p.HandleStartOutcome(c.on, first.Task, second[0].Run, StartAccepted, after(5200))
			w1.Draining = false
			p.AddWorker(w1, after(5200))
			stopped, third, running := 0, 0, true
			for ms := 5220; ms < 20_000 && third == 0; ms += 20 {
				switch {
				case ms < 8000:
					c.lose(p, ms)
				case ms == 8000 && c.back != nil:
					c.back(p)
				}
				w2 := Report{Worker: "w2", Sent: after(ms)}
				if c.on == "w2" && running {
					w2.Running = []RunProgress{{Task: first.Task, Run: second[0].Run, Percent: 10}}
				}
				if stopped > 0 && running {
					w2.Running, running = nil, false
					w2.Ended = []EndedRun{{first.Task, second[0].Run, Aborted}}
				}
				p.HandleReport(w2, after(ms))
				p.KeepAlive(b.ID, after(ms))
				p.Tick(after(ms))
				orders := p.Orders()
				if stops := ordersOfKind(orders, Stop); len(stops) > 0 && stopped == 0 && stops[0].Reason == reasonLateStart {
					stopped = ms
				}
				if len(ordersOfKind(orders, Start)) > 0 {
					third = ms
				}
			}
			if stopped != c.stopped || third != c.third {
				t.Errorf("the second run is stopped at %d ms, want %d; the third start is at %d ms, want %d", stopped, c.stopped, third, c.third)
			}
		})
	}
}
