package plan

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBusyZone measures the time that the plan spends on one task in an overloaded zone:
// 117 workers, jobs of four tasks that each need half a worker, and about 300 jobs waiting.
func BenchmarkBusyZone(b *testing.B) {
	b.Run("lookahead=off", func(b *testing.B) { benchmarkBusyZone(b, false) })
	b.Run("lookahead=on", func(b *testing.B) { benchmarkBusyZone(b, true) })
}

func benchmarkBusyZone(b *testing.B, lookahead bool) {
	const workers, waiting = 117, 300
	var all []Worker
	for i := range workers {
		all = append(all, testWorker(fmt.Sprintf("w%03d", i), 2))
	}
	p := fencedPlan(all...)
	if lookahead {
		p.ahead = newAhead()
	}
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
		j := testJob(fmt.Sprintf("%016x", job), 4, now)
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
		p.HandleStartOutcome(w, o.Task, o.Run, StartAccepted, now)
		p.HandleReport(Report{Worker: w, Sent: now.Add(-time.Hour), Ended: []EndedRun{{o.Task, o.Run, Succeeded}}}, now)
		note()
		if i%4 == 3 {
			admit()
		}
		if i%25 == 0 {
			for _, j := range p.jobs {
				j.askedAt = now.Add(time.Hour)
			}
			p.Tick(now)
		}
	}
}
