package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

// Running is a row of what a worker runs.
type Running struct {
	Task    string
	Run     int
	Percent int
}

// How a run ended.
type How int

// The ends of a run.
const (
	Done   How = iota
	Failed     // by its own fault or the worker's
	Ended      // stopped, lapsed or broken off
)

// Ending is a row of what has ended on a worker.
type Ending struct {
	Task string
	Run  int
	How  How
}

// Report is what a worker lists. Fenced tells that it is the first since the
// worker took a new token: nothing older can start any more. Sent is when it
// was asked for.
type Report struct {
	Worker  string
	Sent    time.Time
	Fenced  bool
	Running []Running
	Endings []Ending
}

// Take takes a worker's report.
func (p *Plan) Take(report Report, now time.Time) {
	p.at = now
	w, known := p.workers[report.Worker]
	if !known {
		return
	}
	p.returned, w.mute, w.heard = false, false, now
	if report.Fenced || w.standing == silent {
		w.standing = ready
	}
	for _, e := range report.Endings {
		p.ended(w, e)
	}
	listed := map[runKey]bool{}
	for _, row := range report.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		p.listed(w, key, row.Percent)
	}
	for key, r := range w.runs {
		if listed[key] {
			continue
		}
		// A run that is neither listed nor among the ends has ended in a way that
		// nobody saw, unless its start may still be under way.
		accepted := (r.phase == running || r.phase == stopping) && !r.beganAt.IsZero() && r.beganAt.Before(report.Sent)
		if accepted || report.Fenced || r.phase == foreign {
			p.lose(r)
		}
	}
	// Jobs may have waited for this worker to be known, and a task that comes back
	// may fit another one.
	if report.Fenced || p.returned {
		p.place()
		return
	}
	p.placeAt(w)
}

// listed takes a row of what runs.
func (p *Plan) listed(w *worker, key runKey, percent int) {
	r, known := w.runs[key]
	if !known {
		p.found(w, key, percent)
		return
	}
	r.percent = percent
	if r.phase == foreign {
		p.claim(r)
		return
	}
	if r.phase == ordered || r.phase == uncertain {
		r.phase, r.beganAt = running, p.at
		r.expected = p.at.Add(p.expect(r.task, w))
		if r.task == nil || r.task.job.result.State.Ended() || r.task.current != r {
			p.stop(r, "its job has ended")
		}
	}
}

// found takes a run that this holder has not ordered or no longer counts on.
func (p *Plan) found(w *worker, key runKey, percent int) {
	r := &run{runKey: key, worker: w, phase: foreign, room: room.Resources{}, sentAt: p.at, beganAt: p.at, percent: percent}
	p.add(r)
	p.strays[key.task] = r
	p.claim(r)
}

// claim gives a run without a task here to the job that it belongs to, or stops it.
func (p *Plan) claim(r *run) {
	id, _, _, ok := batch.ParseTaskName(r.runKey.task)
	j, known := p.jobs[id]
	if !ok || !known || !r.stopAt.IsZero() {
		return // its entry may ask for it yet
	}
	for _, t := range j.tasks {
		if t.name != r.runKey.task {
			continue
		}
		t.lastRun = max(t.lastRun, r.runKey.run)
		if t.done || t.current != nil || j.result.State.Ended() {
			p.stop(r, "another run counts")
			return
		}
		p.own(r, t)
		j.unqueue(t)
		return
	}
	p.stop(r, "its job has no such task")
}

// ended takes a row of what has ended.
func (p *Plan) ended(w *worker, e Ending) {
	key := runKey{e.Task, e.Run}
	r, known := w.runs[key]
	if !known {
		if e.How == Done {
			p.late(e)
		}
		return
	}
	p.drop(r)
	t := r.task
	if t == nil {
		if e.How == Done {
			p.late(e)
		}
		return
	}
	if t.current == r {
		t.current = nil
	}
	switch e.How {
	case Done:
		p.learn(r)
		p.finish(t)
	case Failed:
		p.failed(r)
	case Ended:
		p.requeue(t)
	}
}

// late takes a good end of a run that no longer counted. It serves the job all
// the same, or one that is handed in again.
func (p *Plan) late(e Ending) {
	id, _, _, ok := batch.ParseTaskName(e.Task)
	if !ok {
		return
	}
	j, known := p.jobs[id]
	if !known {
		p.orphans[e.Task] = orphan{until: p.at.Add(p.options.Keep)}
		return
	}
	for _, t := range j.tasks {
		if t.name != e.Task || t.done {
			continue
		}
		if t.current != nil {
			p.stop(t.current, "another run has ended")
		}
		p.finish(t)
		return
	}
}

func (p *Plan) learn(r *run) {
	t := r.task
	p.board.Observe(r.worker.ID, true)
	if r.sentAt.IsZero() {
		return // begun by another holder, nobody knows here when
	}
	s := t.job.Steps[t.step]
	p.pace.Observe(t.job.Queue, r.worker.ID, r.worker.Kind, s.Hint, t.job.bases[t.step], p.at.Sub(r.sentAt))
	r.worker.factor = p.pace.SlowdownFactor(r.worker.ID, r.worker.Kind)
}

// failed counts an attempt of a task. It goes to another worker.
func (p *Plan) failed(r *run) {
	t := r.task
	p.board.Observe(r.worker.ID, false)
	t.fails++
	t.shun(r.worker.ID)
	j := t.job
	if t.fails >= j.MaxAttempts && !j.result.State.Ended() {
		p.settle(j, batch.Result{State: batch.Failed, Reason: t.name + " has failed as often as its queue allows"})
		return
	}
	p.requeue(t)
}

func (t *task) shun(worker string) {
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[worker] = true
}

// Answer is what came of an order to start.
type Answer int

// The answers to a start.
const (
	Taken     Answer = iota
	NotTaken         // nothing was done; it may be tried again
	Shed             // nothing was done, since the worker is not well
	OldNumber        // the number of the run is too low there
	Lost             // it may have been done, or may be done later
)

// Answered takes the answer to a start.
func (p *Plan) Answered(worker, name string, number int, answer Answer, now time.Time) {
	p.at = now
	w, known := p.workers[worker]
	if !known {
		return
	}
	r, known := w.runs[runKey{name, number}]
	if !known || r.phase != ordered && r.phase != stopping {
		return
	}
	if answer == Taken {
		r.beganAt = now
		r.expected = now.Add(p.expect(r.task, w))
		if r.phase == ordered {
			r.phase = running
		}
		return
	}
	if answer == Lost {
		r.phase = uncertain
		w.standing = fencing
		p.order(Order{Kind: Fence, Worker: worker, Reason: "a start brought no answer"})
		return
	}
	if t := r.task; t != nil {
		switch answer {
		case OldNumber:
			t.lastRun += runStride
		case Shed:
			t.shun(worker)
			p.board.Observe(worker, false)
		}
	}
	p.lose(r)
	p.place()
}

// runStride passes the numbers that an earlier holder may have given out.
const runStride = 16
