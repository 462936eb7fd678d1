package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// caseJob is the ID of the job of a case.
const caseJob = "5c0e7a21d94b36f8"

// Times of the cases.
const (
	warmUp      = 3 * time.Second        // of usual traffic before the job is sent
	jobDeadline = 6 * time.Second        // how long the client of the job waits
	leadTime    = 300 * time.Millisecond // from the job to the first disruption
	restTime    = 6 * time.Second        // from the last disruption to the end
)

// jobTasks is the number of tasks of the job, jobMillis the work of each.
const (
	jobTasks  = 4
	jobMillis = 2500
)

// killTwo sends a job to an entry of a zone with two, kills this entry, and some time later the other one, which
// schedules the zone's tasks. Both start again. The client sends its job again to the machine that resendTo chooses.
func killTwo(ctx context.Context, r *record, trouble bool, gap time.Duration, resendTo func(w *world, first *machine) *machine) (bool, error) {
	w, err := newWorld(ctx, r)
	defer w.close()
	if err != nil {
		return false, err
	}
	w.serveUsual()
	w.pause(warmUp)
	scheduler, first, err := w.pair("taoyuan-b")
	if err != nil {
		return false, err
	}
	w.running.Go(func() { w.submit(caseJob, job(jobTasks, jobMillis), jobDeadline, first, resendTo(w, first)) })
	w.pause(leadTime)
	if len(w.runsOf(caseJob)) == 0 {
		return false, errNoRun
	}
	if trouble {
		w.kill(first)
		w.pause(gap)
		w.kill(scheduler)
	}
	w.pause(restTime)
	return w.noteOverlaps(), ctx.Err()
}

// resendToRestarted is case 1: the client sends its job again to the entry that has started again.
func resendToRestarted(ctx context.Context, r *record, trouble bool) (bool, error) {
	return killTwo(ctx, r, trouble, 1080*time.Millisecond, func(_ *world, first *machine) *machine { return first })
}

// resendElsewhere is case 2: the client sends its job again to an entry of another zone.
func resendElsewhere(ctx context.Context, r *record, trouble bool) (bool, error) {
	return killTwo(ctx, r, trouble, 900*time.Millisecond, func(w *world, _ *machine) *machine { return w.machinesOf("hsinchu-c")[0] })
}

// cancelLimit is the time after the acknowledgement of a cancel from which no task of the job starts any more.
const cancelLimit = 3 * time.Second

// cancelJob is case 5: the client cancels a job whose tasks run in several rounds.
func cancelJob(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	defer w.close()
	if err != nil {
		return false, err
	}
	w.pause(time.Second)
	m := w.machines[0]
	w.running.Go(func() { w.submit(caseJob, job(80, 1500), 20*time.Second, m) })
	w.pause(leadTime)
	if len(w.runsOf(caseJob)) == 0 {
		return false, errNoRun
	}
	if !trouble {
		w.pause(10 * time.Second)
		return false, ctx.Err()
	}
	w.note("the client gets for GET of job %s from %s: %s", caseJob, m.name, w.call(m, http.MethodGet, caseRoute+caseJob, "", time.Second))
	a := w.call(m, http.MethodDelete, caseRoute+caseJob, "", time.Second)
	cancelledAt := time.Now()
	w.note("the client gets for DELETE of job %s from %s: %s", caseJob, m.name, a)
	w.pause(10 * time.Second)
	if a.status != http.StatusGone && a.status/100 != 2 {
		return false, ctx.Err() // the cancel was not acknowledged
	}
	broken := false
	for _, s := range w.runsOf(caseJob) {
		if after := s.begin.Sub(cancelledAt); after > cancelLimit {
			broken = true
			w.note("UNASKED: %s started on %s %d ms after the cancel was acknowledged", s.task, s.runner, after.Milliseconds())
		}
	}
	return broken, ctx.Err()
}

// tooLarge is what no runner has room for, in thousandths of a core.
const tooLarge = 900000

// refusedBody returns the body of a job that no runner has room for.
func refusedBody(tasks int) string {
	return fmt.Sprintf(`{"spec":"500","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"est-runtime-ms":500}],"best-effort":true}`, tasks, tooLarge)
}

// shortenedBody returns the body of a job whose second step no runner has room for.
func shortenedBody() string {
	return fmt.Sprintf(`{"spec":"500","steps":[{"count":1,"cpu":%d,"mem-mb":64},{"count":1,"cpu":%d,"mem-mb":64,"after":[0]}],"best-effort":true}`, taskCores, tooLarge)
}

// changeJob is case 3: a job is refused since no runner has room for its tasks, and the client splits it into more and
// smaller ones and sends it under the ID that was refused. Afterwards some jobs lose a step in the same way; what
// becomes of the zone then is noted, but not judged.
func changeJob(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	defer w.close()
	if err != nil {
		return false, err
	}
	w.pause(time.Second)
	m := w.machinesOf("taipei-a")[0]
	if trouble {
		w.submit(caseJob, refusedBody(2), jobDeadline, m)
	}
	const tasks = 12
	a := w.submit(caseJob, job(tasks, 500), jobDeadline, m)
	done := map[string]bool{}
	for _, s := range w.runsOf(caseJob) {
		done[s.task] = done[s.task] || s.how == "done"
	}
	broken := false
	for i := 0; i < tasks && a.isCompleted(); i++ {
		if task := fmt.Sprintf("%s.0.0.%d", caseJob, i); !done[task] {
			broken = true
			w.note("MIXED: the job is shown as completed, but no run of %s has ended done", task)
		}
	}
	const shortened = 4 // one more than the zone has entries
	for n := 0; trouble && n < shortened && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("7d1f8b32e05c47%02x", n)
		w.submit(id, shortenedBody(), usualDeadline, m)
		w.submit(id, job(1, 500), usualDeadline, m)
		w.pause(time.Second)
	}
	w.noteService("taipei-a")
	return broken, ctx.Err()
}

// noteService sends short jobs to all entries of a zone for ten seconds and notes the answers.
func (w *world) noteService(zone string) {
	for round := range 10 {
		for i, m := range w.machinesOf(zone) {
			path := fmt.Sprintf("%s%s%06x%08x", usualRoute, usualPrefix, 0xff0000+i, round)
			w.running.Go(func() {
				if a := w.call(m, http.MethodPost, path, job(1, usualTaskMillis), usualDeadline); w.ctx.Err() == nil {
					w.countUsual(a)
				}
			})
		}
		w.pause(time.Second)
	}
	w.pause(usualDeadline)
	for _, m := range w.machinesOf(zone) {
		w.note("%s says that it is ready: %t", m.name, m.isReady())
	}
}

// Times of case 4.
const (
	outage      = 4500 * time.Millisecond // of the store: three heartbeats, after which the registrations have lapsed
	earlyReturn = 200 * time.Millisecond  // from the end of the outage to the registrations of most runners
	lateReturn  = 1900 * time.Millisecond // to those of the others
	killDelay   = 100 * time.Millisecond  // to the loss of the first entry
	killGap     = 600 * time.Millisecond  // from there to the loss of all
)

// loseAll is case 4: after an outage of the store, while some live runners have not registered again, an entry is
// killed, and soon after all of them.
func loseAll(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	defer w.close()
	if err != nil {
		return false, err
	}
	w.serveUsual()
	w.pause(warmUp)
	_, first, err := w.pair("taoyuan-b")
	if err != nil {
		return false, err
	}
	if trouble {
		w.note("the store is down")
		w.store.Down.Store(true)
	}
	w.pause(outage - leadTime)
	w.running.Go(func() { w.submit(caseJob, spreadJob(jobTasks, jobMillis), jobDeadline, first, first) })
	w.pause(leadTime)
	used := map[string]bool{}
	for _, s := range w.runsOf(caseJob) {
		used[s.runner] = true
	}
	if len(used) == 0 {
		return false, errNoRun
	}
	if trouble {
		now := time.Now()
		for _, n := range w.runners {
			if n.delayBeat(now.Add(earlyReturn)); used[n.id] {
				n.delayBeat(now.Add(lateReturn))
			}
			w.store.Put(workerTopic, n.id, nil)
		}
		w.store.Down.Store(false)
		w.note("the store is back, without the registrations; the runners of the job register again after %s, the others after %s", lateReturn, earlyReturn)
		w.pause(killDelay)
		w.kill(first)
		w.pause(killGap)
		w.kill(w.machines...)
	}
	w.pause(restTime)
	return w.noteOverlaps(), ctx.Err()
}
