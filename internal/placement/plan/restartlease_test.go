package plan

import "testing"

// TestLeaseOfTheNextIncarnationOutlastsNoInterest guards against a run that goes on when its client may have
// sent the job again, to another group. The next incarnation of a worker has seen no token, so that it may
// have carried out a late renewal, or one of an earlier holder, until it accepted the token; a start does
// not shorten that lease.
func TestLeaseOfTheNextIncarnationOutlastsNoInterest(t *testing.T) {
	const fenced, retry, lease = 5000, 1300, 1080
	tests := []struct {
		name    string
		restart func(p *Plan) // what the plan is told of w1 before it accepts the token
		asked   int           // ms
		startAt int           // ms; 0 for no start
	}{
		{"it has restarted, asked for just now", func(p *Plan) { p.RestartWorker(testWorker("w1", 4), after(fenced-100)) }, fenced, fenced},
		{"it has restarted, asked for a while ago", func(p *Plan) { p.RestartWorker(testWorker("w1", 4), after(fenced-100)) }, fenced - 900, 0},
		{"it was not registered for a while and has restarted", func(p *Plan) {
			p.RetireWorker("w1", after(fenced-900))
			p.AddWorker(testWorker("w1", 4), after(fenced-100))
		}, fenced - 900, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			if c.restart != nil {
				c.restart(p)
			}
			b := testJob("00000000000000aa", 1, after(c.asked))
			b.AskedAt = after(c.asked)
			p.Admit(b, nil, after(max(c.asked, fenced-50)))
			p.HandleReport(Report{Worker: "w1", Sent: after(fenced - 1), Fenced: true}, after(fenced))
			startAt := 0
			for ms := fenced; ms < fenced+lease && startAt == 0; ms += 10 {
				p.Tick(after(ms))
				if len(starts(p)) > 0 {
					startAt = ms
				}
			}
			if startAt != c.startAt {
				t.Errorf("started at %d ms, want %d; the lease may last until %d ms, and its client may send it again from %d ms on",
					startAt, c.startAt, fenced+lease, c.asked+retry)
			}
		})
	}
}
