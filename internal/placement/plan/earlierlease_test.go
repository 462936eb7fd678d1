package plan

import "testing"

// TestEarlierLeaseOutlastsNoInterest guards against a run that goes on when its client may have sent the
// job again, to another group. An earlier holder, which had not heard of the takeover, may have
// renewed the lease of the worker until this worker accepted the token, and a start does not shorten it. So the
// task starts only once its entry has asked again, or the lease has expired.
func TestEarlierLeaseOutlastsNoInterest(t *testing.T) {
	const fenced, retry, lease = 2000, 1300, 1080
	tests := []struct {
		name     string
		asked    int // ms
		pollSent int // ms; 0 for no poll
		startAt  int // ms; 0 for no start
	}{
		{"asked for just now", fenced, 0, fenced},
		{"asked for a while ago", fenced - 900, 0, 0},
		{"asked for again", fenced - 900, fenced + 50, fenced + 50},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{}, after(fenced-lease+100))
			p.AddWorker(testWorker("w1", 4), after(fenced-lease+100))
			b := testJob("00000000000000aa", 1, after(c.asked))
			b.AskedAt = after(c.asked)
			p.Admit(b, nil, after(max(c.asked, fenced-lease+200)))
			p.HandleReport(Report{Worker: "w1", Sent: after(fenced - 1), Fenced: true}, after(fenced))
			startAt := 0
			for ms := fenced; ms < fenced+lease && startAt == 0; ms += 10 {
				if c.pollSent == ms {
					p.KeepAlive(b.ID, after(ms))
				}
				p.Tick(after(ms))
				if len(starts(p)) > 0 {
					startAt = ms
				}
			}
			if startAt != c.startAt {
				t.Errorf("started at %d ms, want %d; its client may send it again from %d ms on", startAt, c.startAt, c.asked+retry)
			}
		})
	}
}
