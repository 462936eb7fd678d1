package history

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/cancellation"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/cancels"
)

// Limits of the users for a cancel, counted from its acknowledgement.
const (
	cancelTime = 3 * time.Second       // after which no task of the job starts
	stopGrace  = 50 * time.Millisecond // after that, when no run of the job goes on
)

func (e *entry) receiver() cancellation.Receiver {
	return cancellation.Receiver{ID: e.id, Incarnation: e.incarnation}
}

func (e *entry) newCancels() *cancellation.Exchange {
	return cancellation.New(cancellation.Options{
		Context: e.ctx, Table: cancels.New(cancels.Options{}), Groups: []string{group},
		WaitingJob: func(id string) (string, time.Time, bool) { return e.tracker.WaitingJob(id) },
		End: func(id string) {
			e.touch(id)
			e.cancelInHolder(id)
			e.tracker.Cancel(id)
		},
		AskHolder: e.askHolder, AskOthers: e.askOthers,
		HeldElsewhere: func() bool {
			to, live := e.findHolder(group)
			return live && !to.Local
		},
		Alone: func() bool { return !e.hearsPeers() && !e.othersRun() }, Unheard: e.mayBeReplaced,
	})
}

// touch records that this entry keeps the cancel of a job, or has got a heartbeat of an entry that does.
func (e *entry) touch(ids ...string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.touchedAt == nil {
		e.touchedAt = map[string]time.Time{}
	}
	for _, id := range ids {
		if e.touchedAt[id].IsZero() {
			e.touchedAt[id] = time.Now()
		}
	}
}

// noteTouch records a heartbeat that was sent by another entry.
func (e *entry) noteTouch(from *entry) {
	var kept []string
	from.lock.Lock()
	for id, at := range from.touchedAt {
		if time.Since(at) > heartbeatTimeout { // the heartbeat was composed after that
			kept = append(kept, id)
		}
	}
	from.lock.Unlock()
	e.touch(kept...)
}

// anyCutOff reports whether an entry that holds the group has exchanged no message with one that keeps the cancel of a job
// since at least a time ago. Tasks may start there: it is cut off, or all that kept the record were lost.
func (w *world) anyCutOff(id string, ago time.Duration) bool {
	for _, e := range w.liveEntries() {
		e.lock.Lock()
		touchedAt := e.touchedAt[id]
		cutOff := e.holder != nil && (touchedAt.IsZero() || time.Since(touchedAt) < ago)
		e.lock.Unlock()
		if cutOff {
			return true
		}
	}
	return false
}

// cancelInHolder cancels a job in the holder of this entry, as in package node.
func (e *entry) cancelInHolder(id string) (known, held bool) {
	e.lock.Lock()
	h := e.holder
	e.lock.Unlock()
	if h == nil {
		return false, false
	}
	known, certain := h.Cancel(id)
	return known || !certain, true
}

func (e *entry) askHolder(ctx context.Context, _, id string, left time.Duration) (cancellation.Reply, error) {
	to, live := e.findHolder(group)
	if to.Local && live {
		if known, held := e.cancelInHolder(id); held {
			return cancellation.Reply{Known: known}, nil
		}
	}
	for _, o := range e.liveEntries() {
		if live && o != e && o.id == to.ID {
			return e.ask(ctx, o, id, left, true)
		}
	}
	return cancellation.Reply{}, errUnreachable
}

func (e *entry) askOthers(ctx context.Context, id string, left time.Duration) (replies []cancellation.Reply) {
	for _, o := range e.liveEntries() {
		if o != e {
			if reply, err := e.ask(ctx, o, id, left, false); err == nil {
				replies = append(replies, reply)
			}
		}
	}
	return replies
}

// ask asks another entry to keep a cancel, which may have to be the holder.
func (e *entry) ask(ctx context.Context, o *entry, id string, left time.Duration, asHolder bool) (cancellation.Reply, error) {
	ctx, end := context.WithTimeout(ctx, entryCallTimeout)
	defer end()
	if err := e.transmit(ctx, e.id, o.id); err != nil || o.ctx.Err() != nil {
		return cancellation.Reply{}, errUnreachable
	}
	waiting, kept := o.cancels.Receive(id, left, time.Now())
	known, held := o.cancelInHolder(id)
	if err := e.transmit(ctx, o.id, e.id); err != nil || asHolder && !held || o.ctx.Err() != nil {
		return cancellation.Reply{}, errUnreachable
	}
	return cancellation.Reply{Known: known || waiting, Kept: kept}, nil
}

// cancelledJob is a job that its client cancels, and sends again all the same.
type cancelledJob struct {
	client
	mu             sync.Mutex // guards the fields below
	acknowledgedAt time.Time  // zero if no entry has acknowledged the cancel
	broken         string
	startedCutOff  map[string]bool // whether the last run of a task was started by a holder that was cut off
	cutOff         int             // late starts and runs by such holders
}

// cancel cancels the job through random entries until one acknowledges it, and watches its runs.
func (j *cancelledJob) cancel(w *world) {
	for range maxSends {
		alive := w.liveEntries()
		if len(alive) == 0 {
			return
		}
		e := alive[w.randomInt(len(alive))]
		if w.waitThawed(e.ctx, e.id) != nil {
			continue
		}
		_, err := e.cancels.Cancel(e.ctx, j.id)
		if err == nil && w.waitThawed(e.ctx, e.id) == nil && e.ctx.Err() == nil {
			j.mu.Lock()
			j.acknowledgedAt = time.Now()
			j.mu.Unlock()
			time.Sleep(cancelTime + stopGrace)
			j.mu.Lock()
			j.check(w)
			j.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check notes runs that go on. A stop may be lost, so that the lease has to end first.
func (j *cancelledJob) check(w *world) {
	for i := range j.tasks {
		name := batch.TaskName(j.id, 0, 0, i)
		switch {
		case w.monitor.Running(name) == 0:
		case j.startedCutOff[name], w.anyCutOff(j.id, resendAfter):
			j.cutOff++
		default:
			j.broken = name + " still runs"
		}
	}
}

// noteStart notes a start of a task.
func (j *cancelledJob) noteStart(w *world, task string) {
	if j.acknowledgedAt.IsZero() {
		return
	}
	j.startedCutOff[task] = w.anyCutOff(j.id, entryCallTimeout)
	switch late := time.Since(j.acknowledgedAt) > cancelTime; {
	case !late:
		return
	case j.startedCutOff[task]:
		j.cutOff++
		return
	}
	j.broken = fmt.Sprintf("%s starts %d ms after the acknowledgement", task, time.Since(j.acknowledgedAt).Milliseconds())
}

// TestCancelsHold cancels jobs at random moments among faults and sends them again, and guards against tasks that start
// or go on more than 3 s after an entry has acknowledged the cancel: the request comes again, the holder is replaced, or
// an entry that was frozen hands the job over again.
func TestCancelsHold(t *testing.T) {
	acknowledged, cutOff := 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCancels(t, seed, &acknowledged, &cutOff) })
		})
	}
	t.Logf("%d cancels acknowledged; %d late starts and runs by holders that no entry with the record has reached", acknowledged, cutOff)
}

func runCancels(t *testing.T, seed uint64, acknowledged, cutOff *int) {
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newWorld(seed, entryCount, workerCount)
	var mu sync.Mutex
	byID := map[string]*cancelledJob{}
	w.startRun = func(task string) time.Duration {
		id, _, _, _ := batch.ParseTaskName(task)
		mu.Lock()
		j := byID[id]
		mu.Unlock()
		j.mu.Lock()
		defer j.mu.Unlock()
		j.noteStart(w, task)
		return 0
	}
	var injected []string
	var jobs []*cancelledJob
	var clients, faultGroup sync.WaitGroup
	time.Sleep(time.Second)
	beganAt, faultsEnd := time.Now(), time.Now().Add(faultDuration)
	faultGroup.Go(func() { injected = injectFaults(w, &faultGroup, beganAt, faultsEnd.Add(-3*time.Second)) })
	for i := 0; time.Now().Before(faultsEnd); i++ {
		j := &cancelledJob{startedCutOff: map[string]bool{}, client: client{id: jobID(i), tasks: 1 + w.randomInt(3), long: w.randomChance(0.5), sentAt: time.Now()}}
		jobs = append(jobs, j)
		mu.Lock()
		byID[j.id] = j
		mu.Unlock()
		delay, again := time.Duration(w.randomInt(1500))*time.Millisecond, w.randomDuration(6000)
		clients.Go(func() {
			j.run(w)
			time.Sleep(resendAfter + again)
			j.send(w)
		})
		clients.Go(func() {
			time.Sleep(delay)
			j.cancel(w)
		})
		time.Sleep(jobInterval)
	}
	clients.Wait()
	faultGroup.Wait()
	for _, j := range jobs {
		if j.acknowledgedAt.IsZero() {
			continue
		}
		*acknowledged++
		*cutOff += j.cutOff
		if j.broken != "" {
			t.Errorf("job %s, cancelled at %s: %s", j.id, j.acknowledgedAt.Format(time.StampMilli), j.broken)
			t.Logf("injected faults: %q", injected)
			t.Log(w.matchingLogLines(j.id, "group taken", "group given up", "entry starts", "at=fault"))
			break
		}
	}
	if overlapping, overloaded := w.monitor.Violations(); len(overlapping)+len(overloaded) > 0 {
		t.Errorf("tasks with concurrent runs: %v; overloaded workers: %v; want none", overlapping, overloaded)
	}
	w.end()
}
