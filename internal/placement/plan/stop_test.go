package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobOfAStoppingEntryIsRefusedOnlyIfNothingHasRun guards against a refusal of a job that has run, against a start
// after the entry was told how its job stands, and against the end of a job that may yet complete before its entry
// stops. In each case the worker has room again afterwards, and a delayed copy of the first message comes.
func TestJobOfAStoppingEntryIsRefusedOnlyIfNothingHasRun(t *testing.T) {
	const id, other = "00000000000000aa", "00000000000000bb"
	admit := func(p *Plan, b *batch.Batch) { p.Admit(b, nil, after(2000)) }
	tests := []struct {
		name          string
		busy          bool // another job has the only worker
		prepare       func(p *Plan, b *batch.Batch)
		refused       bool
		starts, stops int // afterwards
	}{
		{"it waits", true, admit, true, 0, 0},
		{"asked twice", true, func(p *Plan, b *batch.Batch) {
			admit(p, b)
			p.Refuse(id, 1, after(2000))
		}, true, 0, 0},
		{"it runs", false, admit, false, 0, 0},
		{"an earlier holder may have started it", true, func(p *Plan, b *batch.Batch) {
			b.MaybeStarted = true
			admit(p, b)
		}, false, 1, 0},
		{"the message that brings it has been overtaken", true, func(*Plan, *batch.Batch) {}, false, 0, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 1))
			if c.busy {
				admit(p, testJob(other, 1, after(2000)))
			}
			b := testJob(id, 1, after(2000))
			b.Attempt = 1
			c.prepare(p, b)
			p.Orders()
			if refused := p.Refuse(id, 1, after(2010)); refused != c.refused {
				t.Errorf("refused: %t, want %t", refused, c.refused)
			}
			admit(p, b)
			stops := ordersOfKind(p.Orders(), Stop)
			p.HandleReport(Report{Worker: "w1", Sent: after(2020), Ended: []EndedRun{{other + ".0.0.0", 1, Succeeded}}}, after(2020))
			started := 0
			for ms := 2100; ms < 4000; ms += 100 {
				p.KeepAlive(id, after(ms))
				p.HandleReport(Report{Worker: "w1", Sent: after(2000), Fenced: false}, after(ms))
				p.Tick(after(ms))
				started += len(starts(p))
			}
			if started != c.starts || len(stops) != c.stops {
				t.Errorf("%d starts and %d stops afterwards, want %d and %d", started, len(stops), c.starts, c.stops)
			}
		})
	}
}
