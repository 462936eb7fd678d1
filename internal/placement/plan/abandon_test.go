package plan

import "testing"

// TestJobOfALiveEarlierHolderWaitsUntilItIsAbandoned guards against a second start of a task that an
// earlier holder keeps alive: that one has not heard of the takeover, and reaches a worker that
// this holder does not. It drops the job a while after the job's entry has asked for it last.
func TestJobOfALiveEarlierHolderWaitsUntilItIsAbandoned(t *testing.T) {
	tests := []struct {
		name     string
		fenced   bool // the other worker has accepted the token
		earliest int  // ms after the job came over
	}{
		{"every worker has accepted the token", true, 1080},
		{"a worker has not", false, 1300},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.AddWorker(testWorker("w2", 4), start)
			if c.fenced {
				p.HandleReport(Report{Worker: "w2", Sent: start, Fenced: true}, start)
			}
			b := testJob("00000000000000aa", 1, after(2000))
			b.MaybeStarted = true
			p.Admit(b, nil, after(2000))
			for ms := 0; ms <= 2000; ms += 10 {
				p.KeepAlive(b.ID, after(2000+ms))
				p.Tick(after(2000 + ms))
				if len(starts(p)) > 0 {
					if ms < c.earliest || ms > c.earliest+20 {
						t.Fatalf("started after %d ms, want %d", ms, c.earliest)
					}
					return
				}
			}
			t.Fatal("not started")
		})
	}
}
