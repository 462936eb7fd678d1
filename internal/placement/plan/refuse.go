package plan

import (
	"math"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// unservableReason returns why a job cannot be completed in its client's time, or "" if it
// can or no worker of its service is known. The job may become a trial job, see refusedTooLate.
func (p *Plan) unservableReason(j *job) string {
	if p.evacuated() {
		return "" // the job goes to another group, which judges by its own workers
	}
	largest := resources.Resources{}
	workers := 0
	for _, w := range p.workers {
		if w.Service == j.Service {
			workers++
			largest = largest.Max(w.Capacity)
		}
	}
	if workers == 0 {
		return ""
	}
	if former := p.formerRoom[j.Service]; p.now.Before(former.until) {
		largest = largest.Max(former.capacity)
	}
	for _, s := range j.Steps {
		if !s.Resources.FitsIn(largest) {
			return "no worker of " + j.Service + " has room for a task"
		}
	}
	if !j.started && p.refusedTooLate(j) {
		return reasonTooLate
	}
	return ""
}

// reasonTooLate is the reason for refusing a job whose turn would come too late.
const reasonTooLate = "the work ahead of it takes longer than its client waits"

// reasonUnreachable is the reason for ending a job whose service has no worker that answers.
const reasonUnreachable = "no worker of its service answers"

// unreachableGrace is how long no worker may answer before jobs are refused. It covers the
// repeated calls to workers that all seem silent since this process was paused.
const unreachableGrace = 300 * time.Millisecond

// unreachable reports whether a service has workers and none of them has answered for
// unreachableGrace: the holder is cut off from them, or they have all lost power.
func (p *Plan) unreachable(service string) bool {
	count := 0
	for _, w := range p.workers {
		if w.Service != service {
			continue
		}
		if !w.unanswered || p.now.Before(w.unansweredSince.Add(unreachableGrace)) {
			return false
		}
		count++
	}
	return count > 0
}

// endUnreachable ends the jobs whose service is unreachable and of which nothing is running.
// A holder that is cut off cannot serve them, and their clients must not wait for it.
func (p *Plan) endUnreachable(jobs []*job) {
	for _, j := range jobs {
		if !j.result.State.Ended() && !j.hasActiveRun() && p.unreachable(j.Service) {
			p.giveUp(j, reasonUnreachable)
		}
	}
}

// queueDelay estimates the time until workers are free for a job: the runs of its service
// have ended, and the jobs before it are done.
func (p *Plan) queueDelay(j *job) time.Duration {
	capacity, load := p.capacityAndLoad(j.Service)
	if capacity == 0 {
		return 0
	}
	late := j.likelyMisses(p.now)
	if late {
		capacity = p.lateCapacity(j.Service, capacity)
	}
	for _, other := range p.waiting {
		if p.comesBefore(other, j, late) {
			load += other.pendingWork()
		}
	}
	return time.Duration(load / capacity * float64(time.Second))
}

// comesBefore reports whether the turn of another waiting job of the service comes before that of j. late says whether j
// is likely to miss its objective.
func (p *Plan) comesBefore(other, j *job, late bool) bool {
	if other == j || other.Service != j.Service {
		return false
	}
	otherLate := other.likelyMisses(p.now)
	return otherLate != late && late || otherLate == late && !other.latestTurn().After(j.latestTurn())
}

// capacityAndLoad returns the thousandths of a core that tasks of a service can use, and the
// work that runs on them in thousandths of a core times seconds. Workers that have not yet
// accepted the fencing token count as capacity: they do so within a network delay, and a
// holder that has just taken over would otherwise refuse all the jobs that come first.
func (p *Plan) capacityAndLoad(service string) (capacity, load float64) {
	for _, w := range p.workerList {
		if w.Service != service || !p.isEligibleSoon(w) {
			continue
		}
		capacity += float64(w.Capacity.MilliCores) * packingShare * w.cold.Share(p.now)
		for _, r := range w.runs {
			if left := r.expectedEnd.Sub(p.now); left > 0 {
				load += float64(r.resources.MilliCores) * left.Seconds()
			}
		}
	}
	return capacity, load
}

// pendingWork returns the work of the pending tasks in thousandths of a core times seconds.
func (j *job) pendingWork() float64 {
	work := 0.0
	for _, t := range j.pending {
		work += float64(j.Steps[t.step].Resources.MilliCores) * j.baseTimes[t.step].Seconds()
	}
	return work
}

// refuseTooLate refuses jobs of which nothing has started and whose turn would come too late
// for their clients. In a burst, a client that is refused at once can go elsewhere, and its
// job delays no other.
func (p *Plan) refuseTooLate() {
	type serviceLoad struct{ capacity, load float64 }
	loads := map[string]serviceLoad{}
	for _, j := range p.waiting {
		total, known := loads[j.Service]
		if !known {
			total.capacity, total.load = p.capacityAndLoad(j.Service)
		}
		if total.capacity > 0 && !j.started && !j.startedBefore && !j.trial && !j.result.State.Ended() {
			capacity := total.capacity
			if j.late {
				capacity = p.lateCapacity(j.Service, capacity)
			}
			turnAt := p.now.Add(time.Duration(total.load / capacity * float64(time.Second)))
			if turnAt.Add(p.shortestTime(j.pending[0])).After(j.ExpiresAt) {
				p.refuse(j, reasonTooLate)
				loads[j.Service] = total
				continue
			}
		}
		total.load += j.pendingWork()
		loads[j.Service] = total
	}
}

// lateCapacity returns what is left of the capacity of a service for jobs that have missed
// their objective, while work that can still meet its objective arrives as it does now and
// overtakes them. In a burst such jobs waited for seconds until their clients left.
func (p *Plan) lateCapacity(service string, capacity float64) float64 {
	return max(capacity-p.arrivals[service].rate(p.now), capacity*minLateShare)
}

// minLateShare is the least share of the capacity that counts as left for jobs that have missed
// their objective: some of the others turn out shorter, or are refused.
const minLateShare = 0.1

// arrivalRate is the work that arrives in a second, in thousandths of a core times seconds, as
// an average that forgets older work exponentially.
type arrivalRate struct {
	average   float64
	updatedAt time.Time
}

// arrivalMemory is the time constant of arrivalRate. It covers some waits of jobs, and a burst
// shows within it.
const arrivalMemory = time.Second

// add adds a job's work.
func (a *arrivalRate) add(work float64, now time.Time) {
	a.average = a.rate(now) + work/arrivalMemory.Seconds()
	a.updatedAt = now
}

// rate returns the rate at a time; 0 on a nil receiver.
func (a *arrivalRate) rate(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.average * math.Exp(-now.Sub(a.updatedAt).Seconds()/arrivalMemory.Seconds())
}

// noteArrival adds the work of a new job that was not refused to the rate of its service.
func (p *Plan) noteArrival(j *job) {
	a, known := p.arrivals[j.Service]
	if !known {
		a = &arrivalRate{updatedAt: p.now}
		p.arrivals[j.Service] = a
	}
	a.add(j.pendingWork(), p.now)
}

// packingShare is the share of the cores that can be used when tasks need about half a
// worker each.
const packingShare = 0.85
