package submission

import (
	"context"
	"slices"
	"sync"
	"time"
)

// reasonCrowded is the reason for ending a job whose client has waited for long while there was no room for others.
const reasonCrowded = "its client has waited for long, and others need the room"

// EndLongest ends jobs that arrived before a time, those whose clients have waited longest first, and no more than most. A
// job of which nothing has run is refused; the outcome of another one is unknown, and it is withdrawn. The context bounds
// the calls to holders. It returns the number of jobs.
func (t *Tracker) EndLongest(ctx context.Context, arrivedBefore time.Time, most int) int {
	t.mu.Lock()
	var overdue []*pendingJob
	for _, job := range t.jobs {
		if job.batch.ArrivedAt.Before(arrivedBefore) {
			overdue = append(overdue, job)
		}
	}
	slices.SortFunc(overdue, func(a, b *pendingJob) int { return a.batch.ArrivedAt.Compare(b.batch.ArrivedAt) })
	t.mu.Unlock()
	overdue = overdue[:min(most, len(overdue))]
	var jobs sync.WaitGroup
	for _, job := range overdue {
		jobs.Go(func() {
			t.askForRefusal(ctx, job, reasonCrowded)
			t.giveUp(job, reasonCrowded)
		})
	}
	jobs.Wait()
	return len(overdue)
}
