package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestMemoryOfJobsIsBounded guards against a holder that keeps any number of jobs, and against a refusal that is not true:
// of a job that may have runs, or one that a delayed copy of its message starts after it.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	const id = "00000000000000bb"
	completed := func(n int) []string { return []string{batch.TaskName(id, 0, 0, n)} }
	tests := []struct {
		name      string
		ms        int // when the job arrives; leases of an earlier holder end 1 s and a margin after the start
		change    func(p *Plan, b *batch.Batch)
		completed []string
		refused   bool
	}{
		{"not known", 2000, func(*Plan, *batch.Batch) {}, nil, true},
		{"handed over before", 2000, func(_ *Plan, b *batch.Batch) { b.MaybeStarted = true }, nil, false},
		{"sent back by another group", 2000, func(_ *Plan, b *batch.Batch) { b.StartedHere = true }, nil, false},
		{"with a completed task", 2000, func(*Plan, *batch.Batch) {}, completed(0), false},
		{"after a takeover", 100, func(*Plan, *batch.Batch) {}, nil, false},
		{"takeover suspected", 2000, func(p *Plan, _ *batch.Batch) { p.SetTakeoverSuspected(true) }, nil, false},
		{"partition", 2000, func(p *Plan, _ *batch.Batch) {
			p.SetMayBeReplaced(true, after(1990))
			p.SetLastContact(after(1900))
		}, nil, false},
		{"found running", 2000, func(p *Plan, _ *batch.Batch) {
			p.HandleReport(Report{Worker: "w1", Sent: after(1900), Running: []RunProgress{{Task: completed(1)[0], Run: 1}}}, after(1900))
		}, nil, false},
		{"found completed", 2000, func(p *Plan, _ *batch.Batch) { p.handleLateCompletion(EndedRun{Task: completed(1)[0]}) }, nil, false},
		{"room is left", 2000, func(p *Plan, _ *batch.Batch) { p.options.JobBytes = func() int64 { return 1 << 20 } }, nil, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 8))
			limit := testJob("", 2, start).Bytes()
			p.options.JobBytes = func() int64 { return limit }
			p.Tick(after(50))
			former := testJob("00000000000000aa", 2, after(c.ms-50))
			former.Steps[0].Resources = cores(9) // more than any worker has, so that it ends at once and only its result is kept
			p.Admit(former, nil, after(c.ms-50))
			b := testJob(id, 2, after(c.ms))
			b.Attempt = 7
			c.change(p, b)
			p.Orders()
			p.Admit(b, c.completed, after(c.ms))
			results := ordersOfKind(p.Orders(), DeliverResult)
			refused := len(results) == 1 && results[0].Result.State == batch.Refused && results[0].Result.RetryAt.After(after(c.ms))
			if refused != c.refused {
				t.Fatalf("refused: %v, want %v; results %+v", refused, c.refused, results)
			}
			if !refused {
				return
			}
			p.options.JobBytes = func() int64 { return 0 }
			repeated := *b
			p.Admit(&repeated, nil, after(c.ms+100))
			orders := p.Orders()
			if again := ordersOfKind(orders, DeliverResult); len(again) != 1 || again[0].Result.State != batch.Refused || len(ordersOfKind(orders, Start)) > 0 {
				t.Errorf("a copy of the message led to %+v, want the refusal again and no start", orders)
			}
			if p.jobBytes != limit {
				t.Errorf("%d bytes are counted after a refusal, want %d", p.jobBytes, limit)
			}
			next := *b
			next.Attempt, next.ExpiresAt = 8, after(c.ms+5000)
			p.Admit(&next, nil, after(c.ms+200))
			if j := p.jobs[id]; j.unfinished != 2 || j.result.State.Ended() || p.jobBytes != 2*limit {
				t.Errorf("%d tasks of the next attempt and %d bytes, want 2 and %d", j.unfinished, p.jobBytes, 2*limit)
			}
			p.Withdraw(id, 8, after(c.ms+200))
			stopped := []EndedRun{{batch.TaskName(id, 0, 0, 0), 1, Aborted}}
			for ms := c.ms + 300; ms < c.ms+30_000; ms += 1000 {
				p.HandleReport(Report{Worker: "w1", Sent: after(ms), Ended: stopped}, after(ms))
				p.Tick(after(ms))
			}
			if p.jobBytes != 0 || len(p.jobs) != 0 {
				t.Errorf("%d bytes and %d jobs are left, want none", p.jobBytes, len(p.jobs))
			}
		})
	}
}

// TestRefusedJobsAreForgotten guards against a holder whose memory grows with the jobs that it refuses: those of its own
// clients leave nothing, those of other entries are forgotten once a copy of their message can no longer be admitted.
func TestRefusedJobsAreForgotten(t *testing.T) {
	for _, c := range []struct {
		name, sender string
		wantKept     int
	}{{"own client", "e1", 0}, {"other entry", "e2", 1}} {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 8))
			p.options.Self = "e1"
			p.options.JobBytes = func() int64 { return 1 }
			b := testJob("00000000000000bb", 2, after(2000))
			b.WaitingEntry, b.Attempt, b.AskedAt = c.sender, 7, after(2000)
			p.Tick(after(1990))
			p.Admit(b, nil, after(2000))
			results := ordersOfKind(p.Orders(), DeliverResult)
			if len(results) != 1 || results[0].Result.State != batch.Refused || results[0].Result.Attempt != 7 || results[0].Result.ID != b.ID {
				t.Fatalf("results %+v, want one refusal of attempt 7", results)
			}
			if len(p.jobs) != c.wantKept {
				t.Errorf("%d jobs are kept, want %d", len(p.jobs), c.wantKept)
			}
			end := p.abandonTime(b, b.AskedAt)
			p.Tick(end.Add(-1))
			if len(p.jobs) != c.wantKept {
				t.Errorf("%d jobs are kept while a copy could be admitted, want %d", len(p.jobs), c.wantKept)
			}
			p.Tick(end.Add(1))
			p.options.JobBytes = func() int64 { return 0 }
			p.Admit(b, nil, end.Add(1))
			if starts := ordersOfKind(p.Orders(), Start); len(p.jobs) != 0 || len(starts) != 0 {
				t.Errorf("%d jobs and %d starts after a late copy, want none", len(p.jobs), len(starts))
			}
		})
	}
}
