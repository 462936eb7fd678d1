package plan

import "testing"

// TestJobOfALiveEarlierHolderWaitsUntilItIsAbandoned guards against a second start of a task that an
// earlier holder keeps alive: that one has not heard of the takeover, and reaches a worker that
// this holder does not. It drops the job a while after the job's entry has asked for it last. If it
// is lost just before that, the lease that it has renewed last outlasts it.
func TestJobOfALiveEarlierHolderWaitsUntilItIsAbandoned(t *testing.T) {
	tests := []struct {
		name         string
		fenced       bool // the other worker has accepted the token
		unheardUntil int  // ms after the job came over, until which another entry is not heard
		lastContact  int  // ms after the job came over, at which that entry was last in contact with others
		earliest     int  // ms after the job came over
	}{
		{"every worker has accepted the token", true, 0, 0, 1080},
		{"every worker has accepted the token, an entry is not heard", true, 3000, -900, 1080},
		{"a worker has not", false, 0, 0, 1300},
		{"a worker has not, an entry is not heard", false, 3000, -900, 1480},
		{"a worker has not, an entry that is in contact with others is not heard", false, 3000, -10, 2370},
		{"a worker has not, an entry has been lost long before", false, 3000, -5000, 1300},
		{"a worker has not, an entry that was not heard ends", false, 1010, -10, 2080},
		{"a worker has not, an entry that was not heard ends soon", false, 210, -10, 1300},
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
			for ms := 0; ms <= 3000; ms += 10 {
				if ms < c.unheardUntil {
					p.SetLastContact(after(2000 + c.lastContact))
				}
				p.SetMayBeReplaced(ms < c.unheardUntil, after(2000+ms))
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
