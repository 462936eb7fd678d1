package plan

import "testing"

// TestLateStartOfACrashedWorkerRunsAlone guards against two runs of a task at a time: a worker leaves a start
// unanswered, and the task starts again once the worker has accepted a higher token. Then the worker crashes, and its
// next incarnation, which has seen no token, executes the first start. It also measures what such a start costs
// without a crash: the second start comes as soon as the worker has accepted the token, and goes on.
func TestLateStartOfACrashedWorkerRunsAlone(t *testing.T) {
	const name = "00000000000000aa.0.0.0"
	closed := func(p *Plan) { p.ConnectionClosed("w1", false, after(6000)) }
	tests := []struct {
		name           string
		outcome        StartOutcome
		on             string        // worker of the second start
		silentUntil    int           // ms, w1 does not answer from 5.5 s on
		lose           func(p *Plan) // at 6 s
		back           bool          // the next incarnation of w1 accepts the token at 8 s
		running        []RunProgress // on it
		stopped, third int           // ms, when the second run is stopped, and when the task starts again; 0 for never
	}{
		{"no crash", OutcomeUnknown, "w2", 0, nil, false, nil, 0, 0},
		{"silent for less than a lease", OutcomeUnknown, "w2", 6400, nil, false, nil, 0, 0},
		{"silent for a lease", OutcomeUnknown, "w2", 8000, nil, true, nil, 6480, 8000},
		{"closes the connection", OutcomeUnknown, "w2", 8000, closed, true, nil, 6000, 8000},
		{"closes the connection, and another copy of the start was answered", CopyAccepted, "w2", 8000, closed, true, nil, 6000, 8000},
		{"closes the connection, and the start was answered", StartAccepted, "w2", 8000, closed, true, nil, 0, 0},
		{"another incarnation", OutcomeUnknown, "w2", 8000, func(p *Plan) { p.RestartWorker(testWorker("w1", 1), after(6000)) }, true, nil, 6000, 8000},
		{"answers as another incarnation under a token with which a start was sent", CopyAccepted, "w2", 8000, func(p *Plan) { p.DoubtIncarnation("w1", after(6000)) }, true, nil, 6000, 8000},
		{"registers again after its registration has gone", OutcomeUnknown, "w2", 8000, func(p *Plan) {
			p.RetireWorker("w1", after(6000))
			p.AddWorker(testWorker("w1", 1), after(6000))
		}, true, nil, 6000, 8000},
		{"does not come back", OutcomeUnknown, "w2", 20_000, closed, false, nil, 6000, 18080},
		{"does not come back, and the last copy was sent later", OutcomeUnknown, "w2", 20_000, func(p *Plan) {
			closed(p)
			p.StartSent("w1", name, 1, after(5300))
		}, false, nil, 6000, 18380},
		{"the next incarnation has executed it", OutcomeUnknown, "w2", 8000, closed, true, []RunProgress{{Task: name, Run: 1}}, 6000, 0},
		{"the second run crashes with its worker", OutcomeUnknown, "w1", 8000, closed, true, nil, 0, 8000},
		{"its registration goes as well", OutcomeUnknown, "w2", 20_000, func(p *Plan) {
			closed(p)
			p.RetireWorker("w1", after(6000))
		}, false, nil, 6000, 18080},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, b, _ := planWithLongRun("w2")
			b.ExpiresAt = after(60_000)
			p.HandleStartOutcome("w1", name, 1, c.outcome, after(5100))
			w1, report := testWorker("w1", 1), Report{Worker: "w1", Sent: after(5200), Fenced: true}
			if w1.Draining = c.on != "w1"; c.outcome != OutcomeUnknown {
				report.Fenced, report.Ended = false, []EndedRun{{name, 1, Aborted}}
			}
			p.AddWorker(w1, after(5200)) // it takes no other start while it drains
			p.HandleReport(report, after(5200))
			if second := starts(p); len(second) != 1 || second[0].Worker != c.on {
				t.Fatalf("starts %+v when w1 has accepted the token, want one on %s", second, c.on)
			}
			p.HandleStartOutcome(c.on, name, 2, StartAccepted, after(5200))
			p.AddWorker(testWorker("w1", 1), after(5200))
			stopped, third := 0, 0
			reports := map[string]*Report{"w1": {Worker: "w1"}, "w2": {Worker: "w2"}}
			reports[c.on].Running = []RunProgress{{Task: name, Run: 2, Percent: 10}}
			for ms := 5220; ms < 20_000 && third == 0; ms += 20 {
				reports["w1"].Sent, reports["w2"].Sent = after(ms), after(ms)
				switch {
				case ms == 8000 && c.back:
					p.RestartWorker(testWorker("w1", 1), after(ms))
					p.HandleReport(Report{Worker: "w1", Sent: after(ms), Fenced: true, Running: c.running}, after(ms))
				case ms == 6000 && c.lose != nil:
					c.lose(p)
				case ms < 5500 || ms < 8000 && ms >= c.silentUntil:
					p.HandleReport(*reports["w1"], after(ms))
				case ms < c.silentUntil:
					p.MarkUnresponsive("w1", after(ms))
				}
				p.HandleReport(*reports["w2"], after(ms))
				p.KeepAlive(b.ID, after(ms))
				p.Tick(after(ms))
				orders := p.Orders()
				if stops := ordersOfKind(orders, Stop); stopped == 0 && len(stops) > 0 && stops[0].Reason == reasonLateStart {
					stopped, *reports["w2"] = ms, Report{Worker: "w2", Ended: []EndedRun{{name, 2, Aborted}}}
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
