package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// ReasonMemory is the reason for refusing a job that the memory for jobs has no room for.
const ReasonMemory = "the holder of its group has no memory for it"

// memoryRetryDelay is the time after which a client may send a job again that was refused for lack of memory.
const memoryRetryDelay = time.Second

// keep adds a job, in place of a refused or withdrawn one with its ID.
func (p *Plan) keep(j *job) {
	if former, known := p.jobs[j.ID]; known {
		p.forget(former)
	}
	j.bytes = j.Bytes()
	p.jobBytes += j.bytes
	p.jobs[j.ID] = j
}

// forget removes a job.
func (p *Plan) forget(j *job) {
	p.jobBytes -= j.bytes
	delete(p.jobs, j.ID)
}

// JobBytes returns the memory of the jobs that the plan keeps, in bytes.
func (p *Plan) JobBytes() int64 { return p.jobBytes }

// lacksMemory reports whether a job that is not known must be refused because the memory for jobs is full. A job that
// may have runs is never refused: neither one that its entry has handed over before, nor any while leases of an earlier
// holder, or of one on the other side of a partition, may be valid: their runs need not be listed yet.
func (p *Plan) lacksMemory(b *batch.Batch, completed []string) bool {
	limit := p.options.JobBytes()
	if limit <= 0 || p.jobBytes+b.Bytes() <= limit {
		return false
	}
	if b.MaybeStarted || b.StartedHere || len(completed) > 0 || p.otherLeasesActive() || p.unheardLeasesActive() || p.takeoverSuspected {
		return false
	}
	return !p.hasRuns(b) && !p.hasEarlyCompletion(b.ID)
}

// hasEarlyCompletion reports whether a task of a job that is not known has succeeded.
func (p *Plan) hasEarlyCompletion(id string) bool {
	for name := range p.earlyCompletions {
		if job, _, _, ok := batch.ParseTaskName(name); ok && job == id {
			return true
		}
	}
	return false
}

// refuseForMemory refuses a job without keeping its tasks. If another entry has sent it, its ID and attempt are kept while
// a delayed copy of its message could be admitted, so that the copy starts nothing.
func (p *Plan) refuseForMemory(b *batch.Batch) {
	result := batch.Result{ID: b.ID, Attempt: b.Attempt, State: batch.Refused, Reason: ReasonMemory, RetryAt: p.now.Add(memoryRetryDelay)}
	if p.options.Self != "" && b.WaitingEntry == p.options.Self {
		p.emit(Order{Kind: DeliverResult, Batch: b, Result: result})
		return
	}
	bare := *b
	bare.Spec, bare.Steps = "", nil
	j := &job{Batch: &bare}
	p.keep(j)
	p.deliver(j, result)
	j.forgetAt = p.abandonTime(b, p.askedAt(b))
}
