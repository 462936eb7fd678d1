package plan

import (
	"fmt"
	"testing"
	"time"
)

// TestLeaseEndsWithTheInterestInAJob guards against a run that goes on when its client may have had the job
// started in another group: the lease of its worker was renewed although no entry asked for the job.
func TestLeaseEndsWithTheInterestInAJob(t *testing.T) {
	const full = 1020 // ms, a lease of 1 s by a clock that is 2 % slow
	tests := []struct {
		name   string
		before func(p *Plan) // the job 00000000000000aa runs on w1 and has been asked for at 2000 ms
		at     int           // ms
		until  int           // ms; 0 if the lease must not be renewed
	}{
		{"asked for just now", nil, 2000, 2000 + full},
		{"asked for a while ago", nil, 2500, 2000 + 1190},
		{"its entry is lost, the stop has no effect", func(p *Plan) { p.Tick(after(3100)) }, 3150, 2000 + 1190},
		{"the same, for longer", func(p *Plan) { p.Tick(after(3100)) }, 3190, 0},
		{"asked for again", func(p *Plan) { p.KeepAlive("00000000000000aa", after(2400)) }, 2500, 2500 + full},
		{"another job on the worker is asked for", func(p *Plan) {
			p.Admit(smallJob("00000000000000bb", after(2050)), nil, after(2050))
			p.KeepAlive("00000000000000bb", after(2450))
		}, 2500, 2000 + 1190},
		{"the same, the worker runs both", func(p *Plan) {
			p.Admit(smallJob("00000000000000bb", after(2050)), nil, after(2050))
			p.KeepAlive("00000000000000aa", after(2450))
		}, 2500, 2050 + 1190},
		{"a run that no entry has asked for", func(p *Plan) {
			p.HandleReport(Report{Worker: "w1", Sent: after(2001), Running: []RunProgress{{"00000000000000aa.0.0.0", 1, 1}, {"00000000000000cc.0.0.0", 1, 1}}}, after(2002))
		}, 2002, 0},
		{"the run has been stopped", func(p *Plan) {
			p.Tick(after(3100))
			p.HandleReport(Report{Worker: "w1", Sent: after(3110), Ended: []EndedRun{{"00000000000000aa.0.0.0", 1, Aborted}}}, after(3110))
		}, 3110, 3110 + full},
		{"its client has left", func(p *Plan) { p.Withdraw("00000000000000aa", 0, after(2400)) }, 2500, 2000 + 1190},
		{"a waiting job was asked for a while ago", func(p *Plan) {
			b := testJob("00000000000000bb", 9, after(2050))
			p.Admit(b, nil, after(2050))
			p.KeepAlive("00000000000000aa", after(2450))
			p.Tick(after(2450))
		}, 2450, 2050 + 1190},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := smallJob("00000000000000aa", after(2000))
			b.Steps[0].Hint = 4 * time.Second
			p.Admit(b, nil, after(2000))
			started := starts(p)[0]
			p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(2000))
			if c.before != nil {
				c.before(p)
			}
			want := time.Time{}
			if c.until > 0 {
				want = after(c.until)
			}
			if got := p.RenewableUntil("w1", after(c.at)); !got.Equal(want) {
				t.Errorf("renewable until %d ms, want %d", got.Sub(start).Milliseconds(), c.until)
			}
		})
	}
}

// TestJobStartsUnderARenewedLease guards against jobs that never start: the leases of idle workers are
// renewed all the time, and none may outlast the interest in the job that is to start.
func TestJobStartsUnderARenewedLease(t *testing.T) {
	tests := []struct {
		retry int // ms after which a client sends its job again
		asked int // ms before the start, and before the last renewal
	}{{500, 0}, {500, 170}, {800, 170}, {1300, 0}, {1300, 170}, {5000, 170}}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			p := New(Options{ClientRetryAfter: time.Duration(c.retry) * time.Millisecond}, start)
			p.AddWorker(testWorker("w1", 4), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, start)
			for ms := 0; ms < 3000; ms += 100 {
				p.RenewalSent("w1", after(ms), p.RenewableUntil("w1", after(ms)))
			}
			p.RenewalSent("w1", after(3000), p.RenewableUntil("w1", after(3000)))
			b := testJob("00000000000000aa", 1, after(3000-c.asked))
			b.AskedAt = after(3000 - c.asked)
			p.Admit(b, nil, after(3000))
			if got := len(starts(p)); got != 1 {
				t.Errorf("%d starts, want 1", got)
			}
		})
	}
}
