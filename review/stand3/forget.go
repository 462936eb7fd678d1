package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of the case of the forgotten cancel. cancelTime is the users' cancel_ms, contactTime their contact-ms.
const (
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	downTime    = 520 * time.Millisecond // down_s of kill_all on the site's standard days
	cancelAfter = 300 * time.Millisecond // from handing the job in
	returnAfter = 6 * time.Second        // from the acknowledgement until the request arrives again
	watchTime   = 4 * time.Second
	quoteWait   = 1500 * time.Millisecond
)

func init() { trials["forget"] = playForgottenCancel }

// playForgottenCancel cancels a job, kills all entries right after the acknowledgement, and delivers the request of the job
// again once they are in touch. The rule is broken if a task starts then.
func playForgottenCancel(dir string, r *record, trouble bool) (int, error) {
	f, err := newFleet(options{binary: "target/radishgate", zones: []string{"a", "b", "c"}, entries: 2, runners: 8, milliCores: 32000, memoryMB: 284, share: 0.4}, dir, r)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if err := f.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(calmTime)
	id, quote := nextID(), job{Spec: "900 quote", Steps: []step{{Count: 4, CPU: 14000, Memory: 64, Estimate: 900}}, BestEffort: true}
	body, err := json.Marshal(quote)
	if err != nil {
		return failed, err
	}
	first := make(chan reply, 1)
	go func() { first <- call(http.MethodPost, f.entries[0].clients, id, body, quoteWait) }()
	time.Sleep(cancelAfter)
	cancel := call(http.MethodDelete, f.entries[0].clients, id, nil, quoteWait)
	ackedAt := time.Now()
	if trouble {
		for _, e := range f.entries {
			e.signal(syscall.SIGKILL)
		}
	}
	r.printf("DELETE %s at %s: %d %s", id, f.entries[0].id, cancel.status, cancel.state)
	if cancel.status/100 != 2 {
		return failed, fmt.Errorf("the cancel was answered with %d", cancel.status)
	}
	a := <-first
	r.printf("POST %s at %s: %d %s, %v", id, f.entries[0].id, a.status, a.state, a.err)
	if trouble {
		for _, e := range f.entries {
			<-e.ended
		}
		time.Sleep(time.Until(ackedAt.Add(downTime)))
		for _, e := range f.entries {
			if err := e.start(); err != nil {
				return failed, err
			}
		}
	}
	if err := f.awaitReady(returnAfter - contactTime - downTime); err != nil {
		return failed, err
	}
	time.Sleep(time.Until(ackedAt.Add(returnAfter)))
	a = call(http.MethodPost, f.entries[2].clients, id, body, quoteWait)
	r.printf("POST %s arrives again at %s, %.1f s after the cancel: %d %s, %v", id, f.entries[2].id, returnAfter.Seconds(), a.status, a.state, a.err)
	time.Sleep(watchTime)
	late := f.monitor.startsAfter(id, ackedAt.Add(cancelTime))
	r.printf("%d tasks of the cancelled job started more than %.0f s after its cancelling was acknowledged", late, cancelTime.Seconds())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// startsAfter returns how many tasks of a job were started after a time.
func (m *monitor) startsAfter(id string, after time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, s := range m.log {
		if strings.HasPrefix(s.task, id+".") && s.startedAt.After(after) {
			count++
		}
	}
	return count
}
