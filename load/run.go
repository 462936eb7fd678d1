package load

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/history"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/standin/runner"
)

// Options configures a Generator. Only Scenario and Entries are required.
type Options struct {
	Scenario *Scenario
	Entries  func() []string // returns the callers' addresses of the entries
	// IdealResponse returns the best possible response time of tasks with these run times that
	// are sent to an entry now, or 0 if it is not known.
	IdealResponse func(entry string, runTimes []time.Duration, job bool) time.Duration
	OnProgress    func(calls, tasks int64) // called after each call with the number of calls and tasks so far
}

// maxAttempts limits how often a call is sent that gets no answer.
const maxAttempts = 4

// drainTimeout limits how long calls may last after sending has ended. It is also the
// longest wait for the end of a job.
const drainTimeout = 20 * time.Second

// Generator sends the calls of a scenario once and collects the results.
type Generator struct {
	options       Options
	recorder      history.Recorder
	flows         []*flowResult
	finishedCalls atomic.Int64
	finishedTasks atomic.Int64
	keyPrefix     string

	startedAt time.Time

	mu            sync.Mutex
	statsBySecond map[int]*secondStats // by the second of the run in which the calls were due
	clients       map[string]*client.Client
}

// New returns a generator that is ready to run.
func New(options Options) *Generator {
	r := &Generator{options: options, clients: map[string]*client.Client{}, statsBySecond: map[int]*secondStats{}, keyPrefix: strconv.FormatUint(rand.Uint64(), 36)}
	for _, flow := range options.Scenario.Flows {
		r.flows = append(r.flows, newFlowResult(flow))
	}
	return r
}

// client returns the client of a tenant. It is replaced when the list of entries changes and
// keeps its HTTP connections.
func (r *Generator) client(tenant string) *client.Client {
	entries := r.options.Entries()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.clients[tenant]
	if !ok {
		c = client.New(tenant, entries...)
		r.clients[tenant] = c
	}
	if !equal(c.Entries, entries) {
		fresh := client.New(tenant, entries...)
		fresh.HTTPClient = c.HTTPClient
		r.clients[tenant] = fresh
		c = fresh
	}
	return c
}

// equal reports whether two lists are the same.
func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Run sends all calls of the scenario and waits for their answers, at most drainTimeout
// after sending has ended.
func (r *Generator) Run(ctx context.Context) {
	s := r.options.Scenario
	r.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Duration+drainTimeout)
	defer cancel()
	sendCtx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var group sync.WaitGroup
	for i, f := range r.flows {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		if f.flow.Workers > 0 {
			r.runClosedLoop(ctx, sendCtx, f, random, &group)
		} else {
			group.Go(func() { r.runOpenLoop(ctx, sendCtx, f, random, &group) })
		}
	}
	group.Wait()
	for _, c := range r.clients {
		c.Close()
	}
}

// runOpenLoop sends calls at random times with a fixed average rate (a Poisson process),
// without waiting for answers. Response times count from the time a call was due, so that a
// stall shows in every call that it delays.
func (r *Generator) runOpenLoop(ctx, sendCtx context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	next := time.Now()
	burstAt := next.Add(r.options.Scenario.Duration / 2)
	burst := f.flow.BurstSize
	for number := 0; sendCtx.Err() == nil; number++ {
		if burst > 0 && time.Now().After(burstAt) {
			for i := range burst {
				c := r.drawCall(f, random, number+i)
				group.Go(func() { r.doCall(ctx, c, time.Now()) })
			}
			number += burst
			burst = 0
		}
		if f.flow.Rate == 0 {
			next = next.Add(50 * time.Millisecond)
			wait.For(sendCtx, time.Until(next))
			continue
		}
		next = next.Add(time.Duration(random.ExpFloat64() / f.flow.Rate * float64(time.Second)))
		if !wait.For(sendCtx, time.Until(next)) {
			return
		}
		c, due := r.drawCall(f, random, number), next
		group.Go(func() { r.doCall(ctx, c, due) })
	}
}

// runClosedLoop starts workers that each send the next call when the last one has ended.
func (r *Generator) runClosedLoop(ctx, sendCtx context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	for w := range f.flow.Workers {
		workerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(w)))
		group.Go(func() {
			for number := 0; sendCtx.Err() == nil; number++ {
				c := r.drawCall(f, workerRandom, w<<32|number)
				r.doCall(ctx, c, time.Now())
			}
		})
	}
}

// call holds the randomly drawn parameters of one call.
type call struct {
	flow          *flowResult
	id            string
	runTimes      []time.Duration
	hints         []time.Duration
	resubmitAfter time.Duration // 0 for never
	cancelAfter   time.Duration
}

// drawCall draws the parameters of the flow's next call. Run times are log-normal.
func (r *Generator) drawCall(f *flowResult, random *rand.Rand, number int) *call {
	c := &call{flow: f, id: r.keyPrefix + "-" + f.flow.Name + "-" + strconv.Itoa(number)}
	count := f.flow.MinTasks + random.IntN(f.flow.MaxTasks-f.flow.MinTasks+1)
	for range count {
		runTime := time.Duration(float64(f.flow.MedianRunTime) * math.Exp(f.flow.RunTimeSigma*random.NormFloat64()))
		hint := time.Duration(0)
		if f.flow.HintSigma >= 0 {
			hint = time.Duration(float64(runTime) * math.Exp(f.flow.HintSigma*random.NormFloat64()))
		}
		c.runTimes, c.hints = append(c.runTimes, runTime), append(c.hints, hint)
	}
	if random.Float64() < f.flow.ResubmitShare {
		c.resubmitAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRunTime))
	}
	if random.Float64() < f.flow.CancelShare {
		c.cancelAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRunTime))
	}
	return c
}

// doCall sends one call, resubmits or cancels it meanwhile if drawn so, and records its
// outcome. due is the time from which the response time counts.
func (r *Generator) doCall(ctx context.Context, c *call, due time.Time) {
	cl := r.client(c.flow.flow.Tenant)
	entry, key, err := r.chooseKey(ctx, cl, c)
	if err != nil {
		c.flow.countOutcome(outcomeLost)
		return
	}
	var ideal time.Duration
	if r.options.IdealResponse != nil {
		ideal = r.options.IdealResponse(entry, c.runTimes, c.flow.flow.Job)
	}
	var group sync.WaitGroup
	if c.resubmitAfter > 0 && key != "" {
		group.Go(func() { r.resubmit(ctx, cl, c, key) })
	}
	if c.cancelAfter > 0 && c.flow.flow.Job {
		group.Go(func() {
			if wait.For(ctx, c.cancelAfter) {
				_, _ = cl.Cancel(ctx, cl.NextEntry(), key)
			}
		})
	}
	complete, err := r.sendWithRetry(ctx, cl, entry, c, key)
	r.recordOutcome(c, key, complete, err, due, ideal)
	group.Wait()
}

// chooseKey returns the entry to send a call to and the key of the call.
func (r *Generator) chooseKey(ctx context.Context, cl *client.Client, c *call) (string, string, error) {
	switch c.flow.flow.KeyKind {
	case KeyOrigin:
		for range maxAttempts {
			entry, key, err := cl.NewKey(ctx, c.id)
			if err == nil {
				return entry, key, nil
			}
			cl = r.client(c.flow.flow.Tenant)
		}
		return "", "", &client.NoAnswerError{Cause: errNoOrigin}
	case KeyChosen:
		return cl.NextEntry(), c.id, nil
	}
	return cl.NextEntry(), "", nil
}

// noOriginError reports that maxAttempts entries did not return an origin token.
type noOriginError struct{}

// Error describes the failure.
func (*noOriginError) Error() string { return "no entry returned an origin token" }

var errNoOrigin = &noOriginError{}

// resubmit sends a call again through another entry and records the outcome, so that the
// check covers duplicate starts and partial answers of resubmitted calls.
func (r *Generator) resubmit(ctx context.Context, cl *client.Client, c *call, key string) {
	if !wait.For(ctx, c.resubmitAfter) {
		return
	}
	complete, err := r.sendOnce(ctx, cl, cl.NextEntry(), c, key)
	r.recorder.Add(reportedOutcome(c, key, complete, err))
	c.flow.resubmitted.Add(1)
}

// sendWithRetry sends a call and tries other entries while it gets no answer. Without a key
// only a repeatable call is retried, since it may have run. It reports whether the answer
// is complete.
func (r *Generator) sendWithRetry(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	var err error
	for range maxAttempts {
		var complete bool
		complete, err = r.sendOnce(ctx, cl, entry, c, key)
		var lost *client.NoAnswerError
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return complete, err
		}
		if key == "" && !c.flow.flow.Repeatable {
			return complete, err
		}
		cl = r.client(c.flow.flow.Tenant)
		entry = cl.NextEntry()
	}
	return false, err
}

// sendOnce sends a call to one entry and reports whether the answer is complete.
func (r *Generator) sendOnce(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	if c.flow.flow.Job {
		return r.submitJob(ctx, cl, entry, c, key)
	}
	body := taskBody(c, 0)
	_, data, err := cl.Request(ctx, entry, c.flow.flow.Service, key, c.flow.flow.Timeout, body)
	if err != nil {
		return false, err
	}
	return answersTask(data, taskTag(c, 0)), nil
}

// taskTag returns the tag that the stand-in upstream returns in the answer to a task.
func taskTag(c *call, index int) string { return c.id + "/" + strconv.Itoa(index) }

// taskBody returns the body of a task for the stand-in upstream.
func taskBody(c *call, index int) []byte {
	body, _ := json.Marshal(runner.Work{Run: c.runTimes[index].String(), Tag: taskTag(c, index)})
	return body
}

// answersTask reports whether data is the answer to the task with this tag.
func answersTask(data []byte, tag string) bool {
	var reply runner.Reply
	return json.Unmarshal(data, &reply) == nil && reply.Tag == tag
}

// submitJob sends a job, waits for its end and reports whether all answers are there and
// belong to its tasks.
func (r *Generator) submitJob(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	body := caller.JobRequest{Service: c.flow.flow.Service}
	if c.flow.flow.Timeout > 0 {
		body.Limit = c.flow.flow.Timeout.String()
	}
	for i := range c.runTimes {
		task := caller.JobTask{Body: taskBody(c, i)}
		if c.hints[i] > 0 {
			task.RuntimeHint = c.hints[i].String()
		}
		body.Tasks = append(body.Tasks, task)
	}
	state, err := cl.Submit(ctx, entry, key, body, drainTimeout)
	if err != nil {
		return false, err
	}
	if state.State != "complete" {
		return false, &client.RefusedError{Kind: refusal.DeadlineExceeded, Outcome: refusal.Unknown, Detail: "still running at the end of the wait"}
	}
	complete := len(state.Answers) == len(c.runTimes)
	for i := 0; complete && i < len(state.Answers); i++ {
		complete = answersTask(state.Answers[i].Body, taskTag(c, i))
	}
	return complete, nil
}

// reportedOutcome returns the final outcome of one submission as its caller saw it.
func reportedOutcome(c *call, key string, complete bool, err error) history.ReportedOutcome {
	t := history.ReportedOutcome{Key: key, Tasks: len(c.runTimes), Repeatable: c.flow.flow.Repeatable}
	var refused *client.RefusedError
	switch {
	case err == nil:
		t.Complete, t.Partial = complete, !complete
	case errors.As(err, &refused):
		t.NotRun = refused.Outcome == refusal.NotRun
	}
	return t
}

// recordOutcome adds the outcome of a call to the results and to the check.
func (r *Generator) recordOutcome(c *call, key string, complete bool, err error, due time.Time, ideal time.Duration) {
	response := time.Since(due)
	var refused *client.RefusedError
	switch {
	case err == nil && complete:
		c.flow.countComplete(len(c.runTimes), response, ideal)
	case err == nil:
		c.flow.countOutcome(outcomePartial)
	case errors.As(err, &refused):
		c.flow.countRefusal(refused)
	default:
		c.flow.countOutcome(outcomeLost)
	}
	r.recordCall(due, response, ideal, err == nil && complete)
	r.recorder.Add(reportedOutcome(c, key, complete, err))
	r.finishedCalls.Add(1)
	tasks := r.finishedTasks.Add(int64(len(c.runTimes)))
	if r.options.OnProgress != nil {
		r.options.OnProgress(r.finishedCalls.Load(), tasks)
	}
}
