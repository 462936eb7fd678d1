package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobReturnsToTheGroupThatStartedIt guards against a second run of a task in another group: its client
// has sent the job again to an entry of another availability zone, while the first run goes on.
func TestJobReturnsToTheGroupThatStartedIt(t *testing.T) {
	const id = "00000000000000aa"
	tests := []struct {
		name        string
		startedIn   string
		prepare     func(p *Plan, b *batch.Batch)
		startedHere bool
		returned    bool
	}{
		{"no group has started it", "", nil, false, false},
		{"another group has", "b/0", nil, false, true},
		{"a holder of this group may have got it before", "b/0", func(_ *Plan, b *batch.Batch) { b.MaybeStarted = true }, false, true},
		{"it comes back, since this group has started it", "b/0", nil, true, false},
		{"it is running here", "b/0", func(p *Plan, b *batch.Batch) { p.Admit(b, nil, after(1900)) }, false, false},
		{"a worker of this group runs it, started by an earlier holder", "b/0", func(p *Plan, _ *batch.Batch) {
			p.HandleReport(Report{Worker: "w1", Sent: after(1900), Running: []RunProgress{{Task: id + ".0.0.0", Run: 1, Percent: 20}}}, after(1900))
		}, false, false},
		{"it was abandoned here, and another group has started it since", "b/0", func(p *Plan, b *batch.Batch) {
			old := *b
			old.Attempt++
			p.Admit(&old, nil, after(100))
			p.Tick(after(1900))
			for _, o := range starts(p) {
				p.HandleReport(Report{Worker: "w1", Sent: after(1900), Ended: []EndedRun{{Task: o.Task, Run: o.Run, Outcome: Aborted}}}, after(1900))
			}
		}, false, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			startedIn := ""
			p := New(Options{StartedElsewhere: func(string) string { return startedIn }}, start)
			p.AddWorker(testWorker("w1", 4), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, start)
			b := testJob(id, 1, after(2000))
			b.StartedHere = c.startedHere
			if c.prepare != nil {
				c.prepare(p, b)
			}
			p.Orders()
			startedIn = c.startedIn
			p.Admit(b, nil, after(2000))
			p.Tick(after(2025))
			orders := p.Orders()
			returned := false
			for _, o := range ordersOfKind(orders, DeliverResult) {
				returned = returned || o.Result.Started && o.Result.TargetGroup == c.startedIn && o.Result.State == batch.Moved
			}
			if returned != c.returned {
				t.Errorf("returned: %t, want %t", returned, c.returned)
			}
			if returned && len(ordersOfKind(orders, Start)) > 0 {
				t.Error("a task has started although another group may be running it")
			}
		})
	}
}

// TestStartedJobsAreTold guards against a job that the other holders don't learn of.
func TestStartedJobsAreTold(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1))
	p.Admit(testJob("00000000000000aa", 1, after(2000)), nil, after(2000))
	p.Admit(testJob("00000000000000bb", 1, after(2010)), nil, after(2010)) // waits
	p.HandleReport(Report{Worker: "w1", Sent: after(2020), Running: []RunProgress{
		{Task: "00000000000000aa.0.0.0", Run: 1}, {Task: "00000000000000cc.0.0.0", Run: 3},
	}}, after(2020))
	tests := []struct {
		name  string
		since time.Time
		want  []string
	}{
		{"all", time.Time{}, []string{"00000000000000aa", "00000000000000cc"}},
		{"since the first start", after(2000), []string{"00000000000000aa", "00000000000000cc"}},
		{"after the first start", after(2001), []string{"00000000000000cc"}},
		{"later", after(2021), nil},
	}
	for _, c := range tests {
		told := map[string]bool{}
		for _, j := range p.StartedJobs(c.since) {
			told[j.ID] = true
		}
		if len(told) != len(c.want) {
			t.Errorf("%s: %v, want %v", c.name, told, c.want)
		}
		for _, id := range c.want {
			if !told[id] {
				t.Errorf("%s: %s is missing", c.name, id)
			}
		}
	}
}

// TestWithdrawalStopsRunsOfAnEarlierHolder guards against runs that go on for a job whose client has left,
// since the withdrawal comes to the next holder.
func TestWithdrawalStopsRunsOfAnEarlierHolder(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4))
	p.HandleReport(Report{Worker: "w1", Sent: after(100), Running: []RunProgress{
		{Task: "00000000000000aa.0.0.0", Run: 1}, {Task: "00000000000000bb.0.0.0", Run: 1},
	}}, after(100))
	p.Orders()
	p.Withdraw("00000000000000aa", 7, after(110))
	stops := ordersOfKind(p.Orders(), Stop)
	if len(stops) != 1 || stops[0].Task != "00000000000000aa.0.0.0" {
		t.Errorf("stops %+v, want one of the withdrawn job", stops)
	}
}
