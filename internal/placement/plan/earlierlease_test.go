package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

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

// TestGrantedLeaseOutlastsNoInterest guards against the same: the lease was granted by the start of another job, or
// by another holder that was seen at the worker.
func TestGrantedLeaseOutlastsNoInterest(t *testing.T) {
	tests := []struct {
		name  string
		grant func(p *Plan) // until 5000 ms
	}{
		{"by a start", func(p *Plan) { p.Admit(smallJob("00000000000000bb", after(5000)), nil, after(5000)) }},
		{"by another holder", func(p *Plan) {
			p.OtherHolderSeen("w1", after(4900))
			p.HandleReport(Report{Worker: "w1", Sent: after(4999), Fenced: true}, after(5000))
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			c.grant(p)
			p.Orders()
			b := smallJob("00000000000000aa", after(4700))
			b.AskedAt = after(4700)
			p.Admit(b, nil, after(5000))
			if got := starts(p); len(got) > 0 {
				t.Fatalf("%s starts under a lease that may last until 6020 ms; its client may send it again from 6000 ms on", got[0].Task)
			}
			p.KeepAlive(b.ID, after(5010))
			p.Tick(after(5010))
			if got := starts(p); len(got) != 1 {
				t.Errorf("%d starts once its entry has asked again, want 1", len(got))
			}
		})
	}
}

// smallJob returns a job of one task, of which several fit on a test worker.
func smallJob(id string, at time.Time) *batch.Batch {
	b := testJob(id, 1, at)
	b.Steps[0].Resources.MemoryMB = 10
	return b
}
