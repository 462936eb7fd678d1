package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/room"
)

// hopeless says why a job cannot be served, or nothing.
func (p *Plan) hopeless(j *job) string {
	largest := room.Resources{}
	known := 0
	for _, w := range p.workers {
		if w.Service == j.Service {
			known++
			largest = largest.Max(w.Room)
		}
	}
	if known == 0 {
		return ""
	}
	for _, s := range j.Steps {
		if !s.Resources.FitsIn(largest) {
			return "no worker of " + j.Service + " has room for a task"
		}
	}
	if !j.started && p.at.Add(p.drained(j)+p.soonest(j.pending[0])).After(j.ExpiresAt) {
		return inVain
	}
	return ""
}

// inVain is why a job is refused whose turn comes too late.
const inVain = "the work ahead of it takes longer than its client waits"

// drained is the time after which the room of the workers is free for a job: what
// runs has ended, and what goes before the job has been done.
func (p *Plan) drained(j *job) time.Duration {
	whole, work := p.occupied(j.Service)
	if whole == 0 {
		return 0
	}
	late := j.tardy(p.at)
	for _, other := range p.waiting {
		if other == j || other.Service != j.Service {
			continue
		}
		otherLate := other.tardy(p.at)
		if otherLate != late && late || otherLate == late && !other.latest.After(j.latest) {
			work += other.work()
		}
	}
	return time.Duration(work / whole * float64(time.Second))
}

// occupied gives the thousandths of a core that tasks of a service can fill, and
// the work, in thousandths of a core times seconds, that runs on them. Workers
// that have yet to take the token count: they do within a trip, and a holder that
// has just begun would refuse all that comes before.
func (p *Plan) occupied(service string) (whole, work float64) {
	for _, w := range p.list {
		if w.Service != service || w.mute || w.Draining {
			continue
		}
		whole += float64(w.Room.MilliCores) * packing
		for _, r := range w.runs {
			if left := r.expected.Sub(p.at); left > 0 {
				work += float64(r.room.MilliCores) * left.Seconds()
			}
		}
	}
	return whole, work
}

// work is that of the tasks which wait, in thousandths of a core times seconds.
func (j *job) work() float64 {
	work := 0.0
	for _, t := range j.pending {
		work += float64(j.Steps[t.step].Resources.MilliCores) * j.bases[t.step].Seconds()
	}
	return work
}

// foresee refuses the jobs of which nothing has started and whose turn comes too
// late for their clients. It answers bursts: a client that is told at once can go
// elsewhere, and its job holds up no other.
func (p *Plan) foresee() {
	type account struct{ whole, work float64 }
	accounts := map[string]account{}
	for _, j := range p.waiting {
		a, known := accounts[j.Service]
		if !known {
			a.whole, a.work = p.occupied(j.Service)
		}
		if a.whole > 0 && !j.started && !j.again && !j.result.State.Ended() {
			turn := p.at.Add(time.Duration(a.work / a.whole * float64(time.Second)))
			if turn.Add(p.soonest(j.pending[0])).After(j.ExpiresAt) {
				p.refuse(j, inVain)
				accounts[j.Service] = a
				continue
			}
		}
		a.work += j.work()
		accounts[j.Service] = a
	}
}

// packing is the share of the cores that tasks of about half a worker fill.
const packing = 0.85
