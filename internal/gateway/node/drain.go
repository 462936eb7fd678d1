package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/member"
)

// Timing of a graceful stop, which must end within the grace period of the platform.
const (
	drainNoticeDelay = 2200 * time.Millisecond // the platform sends new connections until two readiness checks have failed
	shutdownMargin   = 600 * time.Millisecond  // before the platform kills the process
	// refusalSpan is the time before the end of a drain at which the jobs that still wait are ended. It covers a call to
	// a holder without an answer and its repeat.
	refusalSpan  = time.Second
	answerMargin = 100 * time.Millisecond // before the end of a drain, for sending the last answers
	// shutdownShare bounds shutdownMargin by the grace period, which may be shorter than the margin.
	shutdownShare = 4
)

// drainEnd returns when a drain that begins now ends.
func drainEnd(now time.Time, grace time.Duration) time.Time {
	return now.Add(grace - min(shutdownMargin, grace/shutdownShare))
}

// drain announces that this entry leaves, so that other entries take over its groups, and
// lets the requests in flight end. Those that have not ended shortly before the end get an answer then.
func (n *Node) drain(clients *http.Server) {
	now := time.Now()
	grace := time.Duration(n.grace.Load())
	deadline := drainEnd(now, grace)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.draining.Store(true)
	n.log.Info("entry drains", "vm", n.settings.VM, "jobs", n.tracker.Len())
	n.members.UpdateSelf(func(r *member.Record) { r.Leaving, r.Ready = true, false })
	var answers sync.WaitGroup
	answers.Go(func() { n.endRequests(ctx, deadline) })
	n.announce(ctx)
	wait.For(ctx, min(drainNoticeDelay, grace/2))
	if err := clients.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut off at the end of the grace period", "jobs", n.tracker.Len(), "error", err)
	}
	cancel()
	answers.Wait()
}

// endRequests ends the requests that are still under way refusalSpan before the end of a drain. It returns early if
// the context ends.
func (n *Node) endRequests(ctx context.Context, deadline time.Time) {
	if !wait.For(ctx, time.Until(deadline.Add(-refusalSpan))) {
		return
	}
	if jobs := n.tracker.Len(); jobs > 0 {
		n.log.Info("jobs ended before the entry stops", "jobs", jobs)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	n.tracker.Stop(ctx)
	<-ctx.Done()
	n.endAnswers()
}

// cancelBeforeStop cancels a job as cancelJob does. The call ends in time for an answer before the entry stops.
func (n *Node) cancelBeforeStop(ctx context.Context, settings batch.QueueSettings, id string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.answering, cancel)()
	return n.cancelJob(ctx, settings, id)
}

// refuseAt asks a holder to refuse a job, and reports whether nothing of it has run and nothing will.
func (n *Node) refuseAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch) (bool, error) {
	if to.Local {
		return n.onRefuse(to.Group, b.ID, b.Attempt), nil
	}
	n.instruments.countMessage("withdraw")
	return n.client.Refuse(ctx, to.Address, to.Group, b.ID, b.Attempt)
}

// onRefuse refuses a job if this entry holds the group and nothing of the job has run.
func (n *Node) onRefuse(group, id string, attempt uint64) bool {
	h, held := n.holder(group)
	return held && h.Refuse(id, attempt)
}
