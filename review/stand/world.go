package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/radishgate/radishgate/standin/ledger"
)

// workerTopic is the topic of the runners' registrations.
const workerTopic = "keyed.servers"

// usualPrefix begins the IDs of the jobs of the usual traffic.
const usualPrefix = "00"

// Routes of the configuration: one for the usual traffic, one for the job of a case.
const (
	host       = "nony24.example"
	usualRoute = "/vide417/"
	caseRoute  = "/lohu930/"
)

// Times of the platform and of the clients.
const (
	restartDelay  = 500 * time.Millisecond  // from the end of a process to its next start
	resendAfter   = 1300 * time.Millisecond // from an attempt without an answer to the next one
	usualDeadline = 1500 * time.Millisecond // how long clients of the usual traffic wait
	startTime     = 15 * time.Second        // within which all entries have to be ready
	usualPause    = 50 * time.Millisecond   // between two jobs of the usual traffic at one entry
)

// taskCores is what each task needs, in thousandths of a core; a runner has room for two.
const taskCores = 14000

var (
	errNotReady  = errors.New("the entries do not get ready")
	errNoHolder  = errors.New("the zone has no two entries of which one schedules its tasks")
	errNoAddress = errors.New("no free loopback address")
	errNoRun     = errors.New("the job has not started before the disruption")
)

// zone is an availability zone with its numbers of machines and runners.
type zone struct {
	name              string
	machines, runners int
}

// zones are those of the site, with half of its runners.
var zones = []zone{{"taipei-a", 3, 8}, {"taoyuan-b", 2, 8}, {"hsinchu-c", 2, 8}}

// world is a small deployment: a store, runners and entries.
type world struct {
	*record
	folder   string
	store    *ledger.TopicStore
	storeAt  string
	machines []*machine
	runners  []*runner

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// newWorld starts a deployment and waits until all of its entries are ready. The caller closes it also after an error.
func newWorld(ctx context.Context, r *record) (*world, error) {
	w := &world{record: r, store: ledger.New()}
	w.ctx, w.stop = context.WithCancel(ctx)
	if err := w.prepare(); err != nil {
		return w, err
	}
	w.running.Go(w.publish)
	var names, seeds []string
	for _, z := range zones {
		names = append(names, z.name)
		for _, m := range w.machinesOf(z.name)[:1] {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range w.machines {
		if err := m.writeSettings(names, seeds, w.storeAt); err != nil {
			return w, err
		}
		if err := m.start(); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady()
}

// prepare starts the store and the runners and publishes the configuration.
func (w *world) prepare() error {
	var err error
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }() // ends with the process
	queue := `{"name":%q,"host":%q,"path-prefix":%q,"backend":%q,"priority":0,"max-attempts":3,"slack-factor":1.6,"slo-ms":60}`
	w.store.Put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":3,"routes":[`+queue+`,`+queue+`],"services":[{"name":%q,"admission-check":false}],"limits":{"max-body-bytes":262144}}`,
		"usual", host, usualRoute, serviceName, "case", host, caseRoute, serviceName, serviceName))
	for _, z := range zones {
		for i := range z.runners {
			n, err := newRunner(fmt.Sprintf("runner-%s-%d", z.name, i+1), z.name, w.record)
			if err != nil {
				return err
			}
			w.runners = append(w.runners, n)
		}
		for i := range z.machines {
			m, err := newMachine(fmt.Sprintf("front-%s-%d", z.name, i+1), z.name, w.folder)
			if err != nil {
				return err
			}
			w.machines = append(w.machines, m)
		}
	}
	return nil
}

// publish writes the registrations of the runners at each heartbeat, while the store is up.
func (w *world) publish() {
	const step = 20 * time.Millisecond
	for ; w.ctx.Err() == nil; w.pause(step) {
		for _, n := range w.runners {
			if n.beatIsDue(time.Now()) && !w.store.Down.Load() {
				w.store.Put(workerTopic, n.id, n.registration())
			}
		}
	}
}

// pause waits, or returns early at the end of the case.
func (w *world) pause(d time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(d):
	}
}

func (w *world) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end) && w.ctx.Err() == nil; w.pause(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.note("all %d entries are ready", ready)
			return nil
		}
	}
	return errNotReady
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.stop()
	w.running.Wait()
	for _, m := range w.machines {
		m.kill()
	}
	_ = os.RemoveAll(w.folder) // what is left of it is temporary
}

// machinesOf returns the machines of a zone.
func (w *world) machinesOf(zone string) []*machine {
	var found []*machine
	for _, m := range w.machines {
		if m.zone == zone {
			found = append(found, m)
		}
	}
	return found
}

// pair returns the machine that schedules the tasks of a zone, and another one of the zone.
func (w *world) pair(zone string) (scheduler, other *machine, err error) {
	for _, m := range w.machinesOf(zone) {
		if m.holds(zone + "/") {
			scheduler = m
		} else {
			other = m
		}
	}
	if scheduler == nil || other == nil {
		return nil, nil, errNoHolder
	}
	w.note("%s schedules the tasks of %s", scheduler.name, zone)
	return scheduler, other, nil
}

// kill kills the processes of machines at once; the platform starts them again.
func (w *world) kill(machines ...*machine) {
	for _, m := range machines {
		w.note("%s is killed", m.name)
		w.running.Go(func() {
			m.kill()
			w.pause(restartDelay)
			if w.ctx.Err() != nil {
				return
			}
			w.note("%s starts again", m.name)
			if err := m.start(); err != nil {
				w.note("%s does not start: %v", m.name, err)
			}
		})
	}
}

// answer is what a client has got; status is 0 if the connection broke or no answer came in time.
type answer struct {
	status int
	body   string
}

// String returns the status and the body, or what was seen instead.
func (a answer) String() string {
	if a.status == 0 {
		return "no answer, " + a.body
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

// isCompleted reports whether the answer says that the job has been done.
func (a answer) isCompleted() bool {
	return a.status == http.StatusOK && strings.Contains(a.body, "completed")
}

// call makes one request of a client over a connection of its own.
func (w *world) call(m *machine, method, path, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(w.ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{response.StatusCode, string(data)}
}

// job returns the body of a job of one step.
func job(tasks, workMillis int) string {
	return fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"est-runtime-ms":%d}],"best-effort":true}`, workMillis, tasks, taskCores, workMillis)
}

// spreadJob is job with at most one task on a runner, so that each has room for the usual traffic.
func spreadJob(tasks, workMillis int) string {
	return strings.Replace(job(tasks, workMillis), `"mem-mb":64`, `"mem-mb":64,"max-per-server":1`, 1)
}

// submit sends a job as a client does: again after an attempt without an answer, or with 502 or 504, to the next of
// the given machines. It returns the last answer.
func (w *world) submit(id, body string, deadline time.Duration, to ...*machine) (a answer) {
	for i, m := range to {
		if i > 0 {
			w.pause(resendAfter)
		}
		w.note("the client sends job %s to %s: %s", id, m.name, body)
		a = w.call(m, http.MethodPost, caseRoute+id, body, deadline)
		w.note("the client gets for job %s from %s: %s", id, m.name, a)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
	}
	return a
}

// serveUsual sends short jobs to all entries until the case ends. They are not sent again.
func (w *world) serveUsual() {
	for i, m := range w.machines {
		w.running.Go(func() {
			for n := 0; w.ctx.Err() == nil; n++ {
				path := fmt.Sprintf("%s%s%06x%08x", usualRoute, usualPrefix, i+1, n)
				w.running.Go(func() {
					if a := w.call(m, http.MethodPost, path, job(1, usualTaskMillis), usualDeadline); w.ctx.Err() == nil {
						w.countUsual(a)
					}
				})
				w.pause(usualPause)
			}
		})
	}
}
