package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns how the rule was broken; an error says that it could not run.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) ([]string, error){
	"cancelled": playCancelled,
	"handover":  playHandover,
	"drain":     playDrain,
	"fenced":    playLateAfterFence,
	"copy":      playLateCopy,
	"frozen":    playFrozen,
	"successor": playSuccessor,
}

// startsAfterCancel returns the runs of a job that break UNASKED: starts later than cancel_ms after its cancelling was
// acknowledged, and runs that go on for longer than stop-grace-ms after that.
func startsAfterCancel(w *world, id string, acknowledgedAt time.Time) []string {
	var broken []string
	due := acknowledgedAt.Add(cancelTime)
	for _, s := range w.runs.of(id) {
		switch {
		case s.startedAt.After(due):
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts run %d of %s at %s, %d ms after the job's cancelling was acknowledged at %s",
				s.runner, s.number, s.task, w.record.seconds(s.startedAt), s.startedAt.Sub(acknowledgedAt).Milliseconds(), w.record.seconds(acknowledgedAt)))
		case s.endedAt.IsZero() && time.Now().After(due.Add(stopGrace)) || s.endedAt.After(due.Add(stopGrace)):
			broken = append(broken, fmt.Sprintf("UNASKED: %s still runs run %d of %s more than cancel_ms + stop-grace-ms after the job's cancelling was acknowledged at %s",
				s.runner, s.number, s.task, w.record.seconds(acknowledgedAt)))
		}
	}
	return broken
}

// playCancelled cancels a job; seconds after that its request comes again, at an entry of another zone.
func playCancelled(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const id, deadline = "5c0e7a21d94b36f8", 20 * time.Second
	body := job(2, 4000, 5*time.Second)
	first := w.submit(ctx, w.entries[0], id, body, deadline)
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if len(w.runs.of(id)) == 0 {
		return nil, fmt.Errorf("the job has not started")
	}
	cancelled := w.call(ctx, w.entries[0], http.MethodDelete, id, "", deadline)
	if cancelled.status != http.StatusOK {
		return nil, fmt.Errorf("the cancel was answered: %s", cancelled)
	}
	<-first
	if err := sleep(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		w.submit(ctx, w.entries[entriesPerZone], id, body, deadline)
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	return startsAfterCancel(w, id, cancelled.at), nil
}

// holderOf returns the entry that schedules the tasks of a zone, by what the entries log.
func (w *world) holderOf(zone string) (*entry, error) {
	for _, e := range w.entries {
		text := e.log.String()
		taken, lost := strings.LastIndex(text, "group taken"), strings.LastIndex(text, "group given up")
		if e.zone == zone && taken > lost {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no entry of %s schedules its tasks", zone)
}

// otherThanHolder returns the entries of a zone that do not schedule its tasks.
func (w *world) otherThanHolder(zone string) ([]*entry, error) {
	holder, err := w.holderOf(zone)
	if err != nil {
		return nil, err
	}
	var others []*entry
	for _, e := range w.entries {
		if e.zone == zone && e != holder {
			others = append(others, e)
		}
	}
	return others, nil
}

// playHandover cancels jobs just after the entry that schedules their tasks was killed, while another one of its zone
// takes its place. Each cancel reaches an entry of the zone at which the job's client does not wait.
func playHandover(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const count, deadline, lasts, gap = 100, 30 * time.Second, 5 * time.Second, 5 * time.Millisecond
	holder, err := w.holderOf(zoneNames[0])
	if err != nil {
		return nil, err
	}
	others, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
	var ids []string
	for i := range count {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		ids = append(ids, id)
		w.submit(ctx, others[i%len(others)], id, twoSteps(500, lasts), deadline)
	}
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if trouble {
		w.signal(holder, syscall.SIGKILL)
	}
	var calls sync.WaitGroup
	cancels := make([]reply, count)
	for i, id := range ids {
		calls.Go(func() { cancels[i] = w.call(ctx, others[(i+1)%len(others)], http.MethodDelete, id, "", deadline) })
		if err := sleep(ctx, gap); err != nil {
			return nil, err
		}
	}
	calls.Wait()
	if err := sleep(ctx, 2*lasts+2*time.Second); err != nil {
		return nil, err
	}
	var broken []string
	for i, id := range ids {
		if cancels[i].status == http.StatusOK {
			broken = append(broken, startsAfterCancel(w, id, cancels[i].at)...)
		}
	}
	return broken, nil
}

// playFrozen cancels a job through an entry of another zone while the entry at which its client waits stands still.
func playFrozen(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const id, deadline, lasts = "5c0e7a21d94b36f8", 30 * time.Second, 3 * time.Second
	const frozenFor, cancelAfter = 4 * time.Second, 1500 * time.Millisecond
	others, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
	frozen, elsewhere := others[0], w.entries[entriesPerZone]
	w.submit(ctx, frozen, id, twoSteps(4000, lasts), deadline)
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if len(w.runs.of(id)) == 0 {
		return nil, fmt.Errorf("the job has not started")
	}
	resumeAt := time.Now().Add(frozenFor)
	if trouble {
		w.signal(frozen, syscall.SIGSTOP)
	}
	if err := sleep(ctx, cancelAfter); err != nil {
		return nil, err
	}
	cancelled := w.call(ctx, elsewhere, http.MethodDelete, id, "", deadline)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return nil, fmt.Errorf("the cancel was answered: %s", cancelled)
	}
	if err := sleep(ctx, time.Until(resumeAt)); err != nil {
		return nil, err
	}
	if trouble {
		w.signal(frozen, syscall.SIGCONT)
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	return startsAfterCancel(w, id, cancelled.at), nil
}

// playDrain stops an entry while a job that was handed in there waits for room.
func playDrain(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const deadline, long, short = 25 * time.Second, 16 * time.Second, 500 * time.Millisecond
	const waiting = "5c0e7a21d94b0002"
	others, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
	stopped := others[0]
	for i := range zoneNames {
		w.submit(ctx, w.entries[i*entriesPerZone], fmt.Sprintf("5c0e7a21d94b010%d", i), job(2*runnersPerZone, runnerCPU/2, long), deadline)
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	replies := w.submit(ctx, stopped, waiting, job(1, runnerCPU/2, short), deadline)
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return nil, err
	}
	if len(w.runs.of(waiting)) > 0 || len(replies) > 0 {
		return nil, fmt.Errorf("the second job does not wait for room")
	}
	if trouble {
		w.signal(stopped, syscall.SIGTERM)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-replies:
		if r.err == nil {
			return nil, nil
		}
		return []string{fmt.Sprintf("LOST: the connection of job %s ends without an answer %d ms after the request was sent; it has run %d times",
			waiting, r.at.Sub(r.sentAt).Milliseconds(), len(w.runs.of(waiting)))}, nil
	}
}

// lateStart is a start that a runner leaves unanswered in its first copies and carries out later.
type lateStart struct {
	mu     sync.Mutex
	copies int // number of copies to leave unanswered
	runner string
	order  order
	sentAt time.Time
}

// holdBack reports whether a copy of a start gets no answer.
func (l *lateStart) holdBack(record *record, runner string, o order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runner == "" {
		l.runner, l.order, l.sentAt = runner, o, time.Now()
	}
	if l.copies == 0 || l.runner != runner || l.order.Run != o.Run {
		return false
	}
	l.copies--
	record.note("%s leaves the start of run %d of %s unanswered", runner, o.Run, o.Task)
	return true
}

// crash says when the runner of a job crashes, and when it is back.
type crash struct {
	after, downFor time.Duration
	copies         int // copies of the first start that get no answer
}

// playLateAfterFence has a runner leave one start unanswered, in all of its copies, and take the next one. Then it
// crashes, comes back under its id, and the first start reaches it.
func playLateAfterFence(ctx context.Context, w *world, trouble bool) ([]string, error) {
	return playLate(ctx, w, trouble, crash{after: 1500 * time.Millisecond, downFor: 2 * time.Second, copies: 4})
}

// playLateCopy has a runner leave one copy of a start unanswered and take the next one. Then it crashes, comes back
// under its id, and the first copy reaches it.
func playLateCopy(ctx context.Context, w *world, trouble bool) ([]string, error) {
	return playLate(ctx, w, trouble, crash{after: 2500 * time.Millisecond, downFor: 4800 * time.Millisecond, copies: 1})
}

// playSuccessor has a runner leave a start unanswered and crash at once. Then the holder is killed, and the next one does not
// know of the start, which reaches the runner when it is back under its id.
func playSuccessor(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const id, deadline, lasts, downFor, lateDelay = "5c0e7a21d94b36f8", 40 * time.Second, 15 * time.Second, 4500 * time.Millisecond, 10 * time.Millisecond
	holder, err := w.holderOf(zoneNames[0])
	if err != nil {
		return nil, err
	}
	others, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
	late := &lateStart{copies: 4}
	if trouble {
		w.holdBack(zoneNames[0], func(runner string, o order) bool { return late.holdBack(w.record, runner, o) })
	}
	w.submit(ctx, others[0], id, job(1, 4000, lasts), deadline)
	if err := sleep(ctx, 50*time.Millisecond); err != nil {
		return nil, err
	}
	if trouble {
		w.signal(holder, syscall.SIGKILL)
		if err := w.restartRunner(ctx, late.runner, downFor); err != nil {
			return nil, err
		}
		if err := sleep(ctx, lateDelay); err != nil {
			return nil, err
		}
		w.record.note("%s carries out the start of run %d of %s, %d ms after it was sent", late.runner, late.order.Run, late.order.Task, time.Since(late.sentAt).Milliseconds())
		status, body := w.runner(late.runner).carryOut(ctx, "/run-start", late.order)
		w.record.note("%s answers %d %s", late.runner, status, body.Reason)
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	return w.overlaps(id), nil
}

func playLate(ctx context.Context, w *world, trouble bool, c crash) ([]string, error) {
	const id, deadline, lasts, lateDelay = "5c0e7a21d94b36f8", 40 * time.Second, 15 * time.Second, 10 * time.Millisecond
	late := &lateStart{copies: c.copies}
	if trouble {
		w.holdBack(zoneNames[0], func(runner string, o order) bool { return late.holdBack(w.record, runner, o) })
	}
	w.submit(ctx, w.entries[0], id, job(1, 4000, lasts), deadline)
	if err := sleep(ctx, c.after); err != nil {
		return nil, err
	}
	all := w.runs.of(id)
	if len(all) != 1 || !all[0].endedAt.IsZero() || trouble && all[0].runner != late.runner {
		return nil, fmt.Errorf("the job is not running at the runner that has left a start unanswered")
	}
	if err := w.restartRunner(ctx, all[0].runner, c.downFor); err != nil {
		return nil, err
	}
	if err := sleep(ctx, lateDelay); err != nil {
		return nil, err
	}
	if trouble {
		w.record.note("%s carries out the start of run %d of %s, %d ms after it was sent", late.runner, late.order.Run, late.order.Task, time.Since(late.sentAt).Milliseconds())
		status, body := w.runner(late.runner).carryOut(ctx, "/run-start", late.order)
		w.record.note("%s answers %d %s", late.runner, status, body.Reason)
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	return w.overlaps(id), nil
}

// overlaps returns the pairs of runs of a task of a job that went on at the same time.
func (w *world) overlaps(id string) []string {
	var broken []string
	all := w.runs.of(id)
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task != b.task || !a.endedAt.IsZero() && a.endedAt.Before(b.startedAt) {
				continue
			}
			end := time.Now()
			for _, at := range []time.Time{a.endedAt, b.endedAt} {
				if !at.IsZero() && at.Before(end) {
					end = at
				}
			}
			broken = append(broken, fmt.Sprintf("TWICE: %s runs run %d of %s from %s on, while run %d goes on at %s, for %d ms",
				b.runner, b.number, b.task, w.record.seconds(b.startedAt), a.number, a.runner, end.Sub(b.startedAt).Milliseconds()))
		}
	}
	return broken
}
