package plan

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBusyZone gives a zone of 117 workers more work than it has room for:
// jobs of four tasks of half a worker, while some hundred jobs wait. It reports
// the processor time of a task's way through the plan.
func BenchmarkBusyZone(b *testing.B) {
	const workers, waiting = 117, 300
	var all []Worker
	for i := range workers {
		all = append(all, machine(fmt.Sprintf("w%03d", i), 2))
	}
	p := fencedPlan(all...)
	now := start
	running := map[string][]Order{}
	note := func() {
		for _, o := range p.Orders() {
			if o.Kind == Start {
				running[o.Worker] = append(running[o.Worker], o)
			}
		}
	}
	job := 0
	admit := func() {
		j := jobOf(fmt.Sprintf("%016x", job), 4, now)
		j.ExpiresAt = now.Add(time.Hour)
		p.Admit(j, nil, now)
		note()
		job++
	}
	for range workers*2/4 + waiting {
		admit()
	}
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		w := all[i%workers].ID
		if len(running[w]) == 0 {
			continue
		}
		o := running[w][0]
		running[w] = running[w][1:]
		now = now.Add(time.Millisecond)
		p.Answered(w, o.Task, o.Run, Taken, now)
		p.Take(Report{Worker: w, Sent: now.Add(-time.Hour), Endings: []Ending{{o.Task, o.Run, Done}}}, now)
		note()
		if i%4 == 3 {
			admit()
		}
		if i%25 == 0 {
			for _, j := range p.jobs {
				j.wanted = now.Add(time.Hour)
			}
			p.Tick(now)
		}
	}
}
