package plan

import "testing"

// TestStartWithoutAnswerOutlastsTheLease guards against two runs of a task at a time: a start
// without an answer is executed seconds later by the next incarnation of its worker, which has seen
// no token and counts the lease on a clock of its own, while the task has started elsewhere since
// the lease has expired.
func TestStartWithoutAnswerOutlastsTheLease(t *testing.T) {
	fenced := func(p *Plan, running ...RunProgress) {
		p.HandleReport(Report{Worker: "w1", Sent: after(7000), Fenced: true, Running: running}, after(7000))
	}
	tests := []struct {
		name    string
		outcome StartOutcome
		learn   func(p *Plan, o Order) // what is learned 2 s after the start
		at      int                    // ms, when the task starts on w2; the start on w1 is at 5000
	}{
		{"accepted", StartAccepted, nil, 6080},
		{"refused a connection", StartUndelivered, nil, 5100},
		{"no answer", OutcomeUnknown, nil, 18080},
		{"accepted, but another copy got no answer", CopyAccepted, nil, 18080},
		{"no answer, and the last copy was sent later", OutcomeUnknown, func(p *Plan, o Order) { p.StartSent("w1", o.Task, o.Run, after(5300)) }, 18380},
		{"no answer, then the worker accepts a higher token", OutcomeUnknown, func(p *Plan, _ Order) { fenced(p) }, 7000},
		{"another copy got no answer, the worker accepts a higher token, and is lost in the run", CopyAccepted, func(p *Plan, o Order) {
			p.RequireFence("w1", after(7000))
			fenced(p, RunProgress{Task: o.Task, Run: o.Run})
			p.RenewalSent("w1", after(7000), after(7000).Add(p.longestLease()))
			p.MarkUnresponsive("w1", after(7000))
		}, 18080},
		{"no answer, then another worker answers at the address", OutcomeUnknown, func(p *Plan, _ Order) { p.WorkerReplaced("w1", after(7000)) }, 7000},
		{"no answer, and the registration goes", OutcomeUnknown, func(p *Plan, _ Order) { p.RetireWorker("w1", after(7000)) }, 18080},
		{"no answer, and the client sends the job again", OutcomeUnknown, func(p *Plan, o Order) {
			p.Withdraw(o.Batch.ID, 0, after(7000))
			again := *o.Batch
			again.Attempt++
			p.Admit(&again, nil, after(7000))
		}, 18080},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, b, first := planWithLongRun("w2")
			b.ExpiresAt = after(60_000)
			p.HandleStartOutcome("w1", first.Task, first.Run, c.outcome, after(5100))
			if c.outcome != StartUndelivered {
				p.MarkUnresponsive("w1", after(5400))
			}
			at := 0
			for ms := 5100; ms < 20_000 && at == 0; ms += 20 {
				if ms == 7000 && c.learn != nil {
					c.learn(p, first)
				}
				p.KeepAlive(b.ID, after(ms))
				p.Tick(after(ms))
				if len(starts(p)) > 0 {
					at = ms
				}
			}
			if at != c.at {
				t.Errorf("second start at %d ms, want %d; 0 stands for none", at, c.at)
			}
		})
	}
}
