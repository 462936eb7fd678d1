package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestCancelledJobStartsNothing guards against tasks that start, or go on, after a client has cancelled their
// job, and against a cancel that is said to be of no known job while an earlier holder may have started it.
func TestCancelledJobStartsNothing(t *testing.T) {
	const id = "00000000000000aa"
	running := func(p *Plan) int {
		p.HandleReport(Report{Worker: "w1", Sent: after(1990), Running: []RunProgress{{Task: id + ".0.0.0", Run: 1}}}, after(1990))
		return 1
	}
	tests := []struct {
		name           string
		prepare        func(p *Plan) int // returns the number of runs
		at             int               // ms
		known, certain bool
	}{
		{"not known", func(*Plan) int { return 0 }, 2000, false, true},
		{"not known right after a takeover", func(*Plan) int { return 0 }, 500, false, false},
		{"a worker runs it, started by an earlier holder", running, 2000, true, true},
		{"more tasks than the workers have room for", func(p *Plan) int {
			p.Admit(testJob(id, 3, after(1990)), nil, after(1990))
			return len(starts(p))
		}, 2000, true, true},
		{"withdrawn before", func(p *Plan) int {
			b := testJob(id, 1, after(1900))
			p.Admit(b, nil, after(1900))
			p.Withdraw(id, b.Attempt, after(1910))
			return 0
		}, 2000, false, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 2))
			runs := c.prepare(p)
			p.Orders()
			if known, certain := p.Cancel(id, after(c.at)); known != c.known || certain != c.certain {
				t.Errorf("known: %t, certain: %t; want %t, %t", known, certain, c.known, c.certain)
			}
			orders := p.Orders()
			if stops := ordersOfKind(orders, Stop); len(stops) != runs {
				t.Errorf("%d stops of %d runs", len(stops), runs)
			}
			for ms := c.at + 20; c.known && ms < c.at+1000; ms += 20 {
				p.Tick(after(ms))
				orders = append(orders, p.Orders()...)
			}
			if started := ordersOfKind(orders, Start); c.known && len(started) > 0 {
				t.Errorf("%d tasks have started after the cancel", len(started))
			}
		})
	}
}

// TestCancelledJobStaysCancelled guards against a job that a late message starts again.
func TestCancelledJobStaysCancelled(t *testing.T) {
	p := fencedPlan(testWorker("w1", 2))
	b := testJob("00000000000000aa", 1, after(2000))
	p.Admit(b, nil, after(2000))
	p.Cancel(b.ID, after(2010))
	p.Orders()
	again := *b
	again.Attempt++
	p.Admit(&again, nil, after(2020))
	orders := p.Orders()
	if results := ordersOfKind(orders, DeliverResult); len(results) != 1 || results[0].Result.State != batch.Cancelled || len(ordersOfKind(orders, Start)) > 0 {
		t.Errorf("orders %+v, want one result that says cancelled", orders)
	}
	if known, certain := p.Cancel(b.ID, after(2030)); !known || !certain {
		t.Errorf("a second cancel: known: %t, certain: %t; want true", known, certain)
	}
}
