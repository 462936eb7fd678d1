package history

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/radishgate/radishgate/standin/worker"
)

const (
	maxLateMillis = 300 // delay of a response that is late

	// A call that was sent to a worker before it crashed reaches the next incarnation at most
	// this late. A run that it starts then may outlast the lease that its sender knows of: the new
	// incarnation alone grants it a new lease.
	maxCarryTime = 500 * time.Millisecond

	// carryChance is the probability that a call which a crash interrupts, or which is sent to
	// a worker that is down, reaches the next incarnation.
	carryChance = 0.1

	// healChance is the probability that a call to a worker over a blocked link, or of a paused
	// process, arrives once the link is open again or the process has resumed, within healTime.
	healChance = 0.2
	healTime   = 3 * time.Second
)

var (
	errUnreachable = errors.New("peer is unreachable")
	errBroken      = errors.New("connection is broken")
)

// Conditions that faults set. Those that belong to one entry, worker or kind of order are
// functions.
const (
	lateOrders   = "orders of any kind are executed late"
	lateGrants   = "deadlines in late orders count from their arrival"
	carriedCalls = "calls reach the next incarnation"
	tasksFail    = "tasks fail"
	clientsBreak = "connections of clients break"
	storeAway    = "store is away"
)

func late(path string) string          { return path + " is executed late" }
func answersLost(worker string) string { return "answers are lost at " + worker }
func answersLate(worker string) string { return "answers are late at " + worker }
func startsLost(worker string) string  { return "starts are lost at " + worker }
func cutFromStore(entry string) string { return "store cannot be read by " + entry }
func unregistered(machine int) string  { return "registration is missing of " + workerName(machine) }
func entryName(index int) string       { return fmt.Sprintf("e%d", index) }
func isStart(r *http.Request) bool     { return r.URL.Path == "/run-start" }
func (w *world) linkDelay() time.Duration {
	return time.Duration(500+w.randomInt(3000)) * time.Microsecond
}

// blockLink blocks both directions between two entries or workers for a duration.
func (w *world) blockLink(a, b string, duration time.Duration) {
	w.blockDirection(a, b, duration)
	w.blockDirection(b, a, duration)
}

// blockDirection blocks what one entry or worker sends to another.
func (w *world) blockDirection(from, to string, duration time.Duration) {
	w.mu.Lock()
	w.blockedUntil[[2]string{from, to}] = time.Now().Add(duration)
	w.mu.Unlock()
	w.log("fault").Info("link blocked", "from", from, "to", to, "ms", duration.Milliseconds())
}

func (w *world) canReach(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.blockedUntil[[2]string{a, b}])
}

// transmit simulates sending a message: it returns after a random network delay,
// or with an error when ctx ends if the link is blocked.
func (w *world) transmit(ctx context.Context, from, to string) error {
	if err := w.waitThawed(ctx, from); err != nil {
		return err
	}
	if !w.canReach(from, to) {
		<-ctx.Done()
		return errUnreachable
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(w.linkDelay()):
		return w.waitThawed(ctx, to)
	}
}

// workerTransport is the http.RoundTripper that carries the orders of one entry to the workers.
type workerTransport struct {
	*world
	from string
}

// RoundTrip sends an order to its worker. The worker may execute the order although
// RoundTrip returns an error.
func (w workerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, host := r.Context(), r.URL.Host
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	name := workerName(workerIndex(host))
	if frozen := w.active(frozen(w.from)); (frozen || !w.canReach(w.from, name)) && w.randomChance(healChance) {
		if target, _ := w.workerAt(host); target != nil {
			w.goroutines.Go(func() { w.deliverOnceHealed(target, r, host, data) })
		}
	}
	if err := w.transmit(ctx, w.from, name); err != nil {
		return nil, err
	}
	if isStart(r) && w.takesEffect(startsLost(name)) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	dropAnswer := w.active(answersLost(name))
	answer, broken := make(chan *httptest.ResponseRecorder, 1), make(chan struct{})
	w.goroutines.Go(func() {
		recorder, crashed := w.deliver(r, host, data)
		switch {
		case recorder != nil:
			answer <- recorder
		case crashed && w.randomChance(0.5):
			close(broken)
		}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-broken:
		return nil, errBroken
	case recorder := <-answer:
		if dropAnswer {
			<-ctx.Done()
			return nil, errUnreachable
		}
		if err := w.delayAnswer(ctx, name); err != nil {
			return nil, err
		}
		if err := w.transmit(ctx, name, w.from); err != nil {
			return nil, err
		}
		return recorder.Result(), nil
	}
}

// deliverOnceHealed delivers an order, whose sender gets no answer, when its link is open again. Its
// connection ends with the worker to which it was sent.
func (w workerTransport) deliverOnceHealed(target *worker.Worker, r *http.Request, host string, data []byte) {
	name := workerName(workerIndex(host))
	for end := time.Now().Add(healTime); !w.canReach(w.from, name) || w.active(frozen(w.from)); time.Sleep(5 * time.Millisecond) {
		if !time.Now().Before(end) || w.finished.Load() {
			return
		}
	}
	time.Sleep(w.linkDelay())
	if !target.Crashed() {
		w.log(workerName(workerIndex(host))).Info("order arrives once its link is open", "order", r.URL.Path, "from", w.from, "body", string(data))
		w.serve(target, r.WithContext(context.Background()), host, data)
	}
}

// deliver has the worker at an address execute an order. It returns nil if there is no
// answer, and whether that is because the worker is down.
func (w workerTransport) deliver(r *http.Request, host string, data []byte) (answer *httptest.ResponseRecorder, crashed bool) {
	carryEnd := time.Now().Add(maxCarryTime)
	target, previous := w.workerAt(host)
	if target != nil {
		answer = w.serve(target, r, host, data)
		if answer != nil || !target.Crashed() {
			return answer, false
		}
		previous = target
	}
	// An order that the crashed incarnation would have rejected is not carried over: its
	// sender, or the next holder, may have learned from that incarnation that the run has
	// ended or can no longer start, and may have started the task elsewhere.
	if previous == nil || previous.Rejects(data) || !w.randomChance(carryChance) && !w.takesEffect(carriedCalls) {
		return nil, true
	}
	for time.Now().Before(carryEnd) {
		if target, _ = w.workerAt(host); target != nil && target != previous {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if w.randomChance(0.5) {
		time.Sleep(time.Duration(w.randomInt(400)) * time.Millisecond)
	}
	if target, _ = w.workerAt(host); target == nil || target == previous || !time.Now().Before(carryEnd) {
		return nil, true
	}
	w.log(workerName(workerIndex(host))).Info("order reaches the next incarnation", "order", r.URL.Path, "from", w.from, "body", string(data))
	answer = w.serve(target, r, host, data)
	return answer, answer == nil && target.Crashed()
}

// workerAt returns the worker at an address, which is nil while it is down, and the last one
// that has crashed there. It returns nothing for an address that is no longer used.
func (w *world) workerAt(address string) (present, crashed *worker.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[workerIndex(address)]; m.address == address {
		return m.worker, m.crashed
	}
	return nil, nil
}

// serve has a worker execute an order. It returns nil if the worker gives no answer.
func (w workerTransport) serve(target *worker.Worker, r *http.Request, host string, data []byte) (answer *httptest.ResponseRecorder) {
	log := w.log(workerName(workerIndex(host))).With("order", r.URL.Path, "from", w.from, "body", string(data))
	defer func() {
		if recover() != nil { // the worker aborted with http.ErrAbortHandler
			log.Info("order got no answer")
			answer = nil
		}
	}()
	recorder := httptest.NewRecorder()
	order := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(data)).WithContext(r.Context())
	order.Header = r.Header.Clone()
	target.ServeHTTP(recorder, order)
	log.Info("order", "status", recorder.Code, "lists", recorder.Body.String())
	return recorder
}

// delayAnswer holds some responses of a worker back while its responses are late, so that
// later ones on other connections overtake them.
func (w *world) delayAnswer(ctx context.Context, name string) error {
	if !w.takesEffect(answersLate(name)) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(w.randomInt(maxLateMillis)) * time.Millisecond):
		return nil
	}
}
