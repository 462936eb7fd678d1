package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Times and sizes of the case of the late start after a change of the holder.
const (
	wideCores    = 24_000 // of a task, so that a runner has room for one
	fillerTime   = 700 * time.Millisecond
	crashAfter   = 500 * time.Millisecond // from the start of the task at another runner
	crashTime    = 2 * time.Second        // for which the runner is down
	executeAfter = 10 * time.Millisecond  // from the return of the runner until it carries out the late order
	longWait     = 20 * time.Second       // of the client
	startLimit   = 6 * time.Second
)

func init() { trials["successor"] = playSuccessor }

// playSuccessor leaves the start of a task unanswered, kills the process that sent it, crashes the runner once the task has
// been started elsewhere, and has the runner's next life carry out the order. The rule is broken if two runs of the
// task go on at the same time.
func playSuccessor(dir string, r *record, trouble bool) (int, error) {
	f, err := newFleet(options{binary: "target/radishgate", zones: []string{"a", "b", "c"}, entries: 2, runners: 8, milliCores: 32000, memoryMB: 284, share: 0.4}, dir, r)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if err := f.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(calmTime)
	var holder, other *entry
	for _, e := range f.entries {
		switch {
		case e.zone != "a":
		case e.holds():
			holder = e
		default:
			other = e
		}
	}
	if holder == nil || other == nil {
		return failed, errors.New("zone a has no holder, or no other entry")
	}
	r.printf("%s gives the orders in zone a", holder.id)
	filler, id := nextID(), nextID()
	go other.submit(filler, job{Spec: fmt.Sprint(fillerTime.Milliseconds()), Steps: []step{{Count: 1, CPU: wideCores, Memory: 64, Estimate: 900}}}, longWait)
	if f.monitor.awaitStart(filler, 1, startLimit) == nil {
		return failed, errors.New("the first job has not started")
	}
	withheld := make(chan withheldOrder, 8)
	if trouble {
		f.withhold(id+".0.0.0", withheld)
	}
	answered := make(chan reply, 1)
	go func() {
		answered <- other.submit(id, job{Spec: "6000", Steps: []step{{Count: 1, CPU: wideCores, Memory: 64, Estimate: 6000}}}, longWait)
	}()
	if trouble {
		if err := f.loseHolderAndRunner(holder, id, withheld); err != nil {
			return failed, err
		}
	}
	a := <-answered
	r.printf("the job's answer: %d %s, %v", a.status, a.state, a.err)
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	if len(f.monitor.twice) > 0 {
		return broken, nil
	}
	return held, nil
}

// loseHolderAndRunner brings about the disruption.
func (f *fleet) loseHolderAndRunner(holder *entry, id string, withheld <-chan withheldOrder) error {
	var order withheldOrder
	select {
	case order = <-withheld:
	case <-time.After(startLimit):
		return errors.New("the task was not ordered")
	}
	sentAt := time.Now()
	f.record.printf("%s leaves the start of %s unanswered", order.at.id, id)
	holder.signal(syscall.SIGKILL)
	f.withhold("", nil)
	started := f.monitor.awaitStart(id, 1, startLimit)
	switch {
	case started == nil:
		return errors.New("the task has not started elsewhere")
	case started.at == order.at.id:
		return errors.New("the task has started at the same runner")
	}
	time.Sleep(crashAfter)
	f.record.printf("%s crashes", order.at.id)
	order.at.crash()
	time.Sleep(crashTime)
	order.at.comeBack()
	time.Sleep(executeAfter)
	f.record.printf("%s is back and carries out the order of %.1f s before", order.at.id, time.Since(sentAt).Seconds())
	order.execute()
	return nil
}
