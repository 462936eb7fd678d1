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
	"late":      playLate,
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
		w.submit(ctx, w.entries[2], id, body, deadline)
	}
	if err := sleep(ctx, 6*time.Second); err != nil {
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

// otherThanHolder returns an entry of a zone that does not schedule its tasks.
func (w *world) otherThanHolder(zone string) (*entry, error) {
	holder, err := w.holderOf(zone)
	if err != nil {
		return nil, err
	}
	for _, e := range w.entries {
		if e.zone == zone && e != holder {
			return e, nil
		}
	}
	return nil, fmt.Errorf("%s has one entry only", zone)
}

// playHandover cancels jobs while the entry that schedules their tasks is stopped and the other entry of its zone,
// through which they were handed in, takes its place. The cancels reach an entry of another zone.
func playHandover(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const count, deadline, lasts, gap = 60, 30 * time.Second, 5 * time.Second, 15 * time.Millisecond
	holder, err := w.holderOf(zoneNames[0])
	if err != nil {
		return nil, err
	}
	other, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
	var ids []string
	for i := range count {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		ids = append(ids, id)
		w.submit(ctx, other, id, twoSteps(500, lasts), deadline)
	}
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if trouble {
		w.signal(holder, handoverSignal)
	}
	var calls sync.WaitGroup
	cancels := make([]reply, count)
	for i, id := range ids {
		calls.Go(func() { cancels[i] = w.call(ctx, w.entries[2], http.MethodDelete, id, "", deadline) })
		if err := sleep(ctx, gap); err != nil {
			return nil, err
		}
	}
	calls.Wait()
	if err := sleep(ctx, 2*lasts); err != nil {
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

// handoverSignal stops the holder in playHandover.
const handoverSignal = syscall.SIGKILL

// playDrain stops an entry while a job that was handed in there waits for room.
func playDrain(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const deadline, long, short = 25 * time.Second, 16 * time.Second, 500 * time.Millisecond
	const waiting = "5c0e7a21d94b0002"
	stopped, err := w.otherThanHolder(zoneNames[0])
	if err != nil {
		return nil, err
	}
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

func playLate(_ context.Context, _ *world, _ bool) ([]string, error) { return nil, nil }
