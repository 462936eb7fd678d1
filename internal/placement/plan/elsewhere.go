package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// StartedJob is a job of which a holder knows runs.
type StartedJob struct {
	ID string
	At time.Time // when the first of them was started, or was found
}

// StartedJobs returns the jobs that were started or found running since a time, as far as they are
// remembered: also ended ones, since the runs of their tasks may go on until their stops have arrived.
func (p *Plan) StartedJobs(since time.Time) []StartedJob {
	var started []StartedJob
	for _, j := range p.jobs {
		if !j.startedAt.IsZero() && !j.startedAt.Before(since) {
			started = append(started, StartedJob{ID: j.ID, At: j.startedAt})
		}
	}
	for name, runs := range p.unaccountedRuns {
		id, _, _, ok := batch.ParseTaskName(name)
		if _, known := p.jobs[id]; !ok || known || len(runs) == 0 || runs[0].startedAt.Before(since) {
			continue
		}
		started = append(started, StartedJob{ID: id, At: runs[0].startedAt})
	}
	return started
}

// sendHome passes a job to the group that runs it, if that is another one, and reports whether it did.
func (p *Plan) sendHome(b *batch.Batch) bool {
	group := p.groupRunning(b)
	if group == "" {
		return false
	}
	p.emit(Order{Kind: DeliverResult, Batch: b, Result: batch.Result{
		ID: b.ID, Attempt: b.Attempt, State: batch.Moved, Reason: "another group has started it", TargetGroup: group, Started: true,
	}})
	return true
}

// groupRunning returns another group whose holder has started a job of which this one knows no run, or "".
// The first runs may go on there, so that group must continue the job.
func (p *Plan) groupRunning(b *batch.Batch) string {
	if b.StartedHere {
		return ""
	}
	group := p.options.StartedElsewhere(b.ID)
	if group == "" || p.hasRuns(b) {
		return ""
	}
	return group
}

// hasRuns reports whether any run of a job is known.
func (p *Plan) hasRuns(b *batch.Batch) bool {
	if j, known := p.jobs[b.ID]; known && j.hasActiveRun() {
		return true
	}
	for n, s := range b.Steps {
		for i := range s.Count {
			if len(p.unaccountedRuns[batch.TaskName(b.ID, 0, n, i)]) > 0 {
				return true
			}
		}
	}
	return false
}

// noteStarted records when the first run of a job was started or found.
func (j *job) noteStarted(now time.Time) {
	j.started = true
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
}
