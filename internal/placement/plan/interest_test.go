package plan

import "testing"

// TestInterestCountsFromTheSending guards against a job that outlasts the interest in it: its entry was
// lost after a message that the holder read late, and its client has sent it again meanwhile.
func TestInterestCountsFromTheSending(t *testing.T) {
	const sent, keep = 2000, 1000
	tests := []struct {
		name      string
		readAt    int // ms
		pollSent  int // ms; 0 for no poll
		pollRead  int // ms
		starts    int
		stoppedBy int // ms; 0 if nothing starts
	}{
		{"read at once", sent, 0, 0, 1, sent + keep},
		{"read late", sent + 400, 0, 0, 1, sent + keep},
		{"read after its client may have sent the job again", sent + keep, 0, 0, 0, 0},
		{"a poll is read late", sent, sent + 250, sent + 900, 1, sent + 250 + keep},
		{"an earlier poll is read after a later one", sent + 500, sent - 250, sent + 600, 1, sent + keep},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, after(sent))
			b.AskedAt = after(sent)
			p.Admit(b, nil, after(c.readAt))
			got := starts(p)
			if len(got) != c.starts {
				t.Fatalf("%d starts, want %d", len(got), c.starts)
			}
			stoppedAt := 0
			for ms := c.readAt; ms <= sent+2*keep && stoppedAt == 0; ms += 10 {
				if c.pollRead == ms {
					p.KeepAlive(b.ID, after(c.pollSent))
				}
				p.Tick(after(ms))
				for _, o := range p.Orders() {
					if o.Kind == Stop && o.Reason == reasonAbandoned {
						stoppedAt = ms
					}
				}
			}
			if stoppedAt > c.stoppedBy+10 || c.starts > 0 && stoppedAt < c.stoppedBy {
				t.Errorf("stopped at %d ms, want %d", stoppedAt, c.stoppedBy)
			}
		})
	}
}
