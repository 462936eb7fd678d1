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
	IdealResponse func(entry string, runtimes []time.Duration, job bool) time.Duration
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
	flows         []*flowResults
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
	g := &Generator{options: options, clients: map[string]*client.Client{}, statsBySecond: map[int]*secondStats{}, keyPrefix: strconv.FormatUint(rand.Uint64(), 36)}
	for _, flow := range options.Scenario.Flows {
		g.flows = append(g.flows, newFlowResults(flow))
	}
	return g
}

// client returns the client of a tenant. It is replaced when the list of entries changes and
// keeps its HTTP connections.
func (g *Generator) client(tenant string) *client.Client {
	entries := g.options.Entries()
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.clients[tenant]
	if !ok {
		c = client.New(tenant, entries...)
		g.clients[tenant] = c
	}
	if !equal(c.Entries, entries) {
		fresh := client.New(tenant, entries...)
		fresh.HTTPClient = c.HTTPClient
		g.clients[tenant] = fresh
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
func (g *Generator) Run(ctx context.Context) {
	s := g.options.Scenario
	g.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Duration+drainTimeout)
	defer cancel()
	sendCtx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var group sync.WaitGroup
	for i, f := range g.flows {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		if f.flow.Workers > 0 {
			g.runClosedLoop(ctx, sendCtx, f, random, &group)
		} else {
			group.Go(func() { g.runOpenLoop(ctx, sendCtx, f, random, &group) })
		}
	}
	group.Wait()
	for _, c := range g.clients {
		c.Close()
	}
}

// runOpenLoop sends calls at random times with a fixed average rate (a Poisson process),
// without waiting for answers. Response times count from the time a call was due, so that a
// stall shows in every call that it delays.
func (g *Generator) runOpenLoop(ctx, sendCtx context.Context, f *flowResults, random *rand.Rand, group *sync.WaitGroup) {
	next := time.Now()
	burstAt := next.Add(g.options.Scenario.Duration / 2)
	burst := f.flow.BurstSize
	for number := 0; sendCtx.Err() == nil; number++ {
		if burst > 0 && time.Now().After(burstAt) {
			for i := range burst {
				c := g.drawCall(f, random, number+i)
				group.Go(func() { g.doCall(ctx, c, time.Now()) })
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
		c, due := g.drawCall(f, random, number), next
		group.Go(func() { g.doCall(ctx, c, due) })
	}
}

// runClosedLoop starts workers that each send the next call when the last one has ended.
func (g *Generator) runClosedLoop(ctx, sendCtx context.Context, f *flowResults, random *rand.Rand, group *sync.WaitGroup) {
	for w := range f.flow.Workers {
		workerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(w)))
		group.Go(func() {
			for number := 0; sendCtx.Err() == nil; number++ {
				c := g.drawCall(f, workerRandom, w<<32|number)
				g.doCall(ctx, c, time.Now())
			}
		})
	}
}

// call holds the randomly drawn parameters of one call.
type call struct {
	results       *flowResults
	id            string
	runtimes      []time.Duration
	hints         []time.Duration
	resubmitAfter time.Duration // 0 for never
	cancelAfter   time.Duration
}

// drawCall draws the parameters of the flow's next call. Run times are log-normal.
func (g *Generator) drawCall(f *flowResults, random *rand.Rand, number int) *call {
	c := &call{results: f, id: g.keyPrefix + "-" + f.flow.Name + "-" + strconv.Itoa(number)}
	count := f.flow.MinTasks + random.IntN(f.flow.MaxTasks-f.flow.MinTasks+1)
	for range count {
		runtime := time.Duration(float64(f.flow.MedianRuntime) * math.Exp(f.flow.RuntimeSigma*random.NormFloat64()))
		hint := time.Duration(0)
		if f.flow.HintSigma >= 0 {
			hint = time.Duration(float64(runtime) * math.Exp(f.flow.HintSigma*random.NormFloat64()))
		}
		c.runtimes, c.hints = append(c.runtimes, runtime), append(c.hints, hint)
	}
	if random.Float64() < f.flow.ResubmitShare {
		c.resubmitAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRuntime))
	}
	if random.Float64() < f.flow.CancelShare {
		c.cancelAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRuntime))
	}
	return c
}

// doCall sends one call, resubmits or cancels it meanwhile if drawn so, and records its
// outcome. due is the time from which the response time counts.
func (g *Generator) doCall(ctx context.Context, c *call, due time.Time) {
	cl := g.client(c.results.flow.Tenant)
	entry, key, err := g.chooseKey(ctx, cl, c)
	if err != nil {
		c.results.countOutcome(outcomeLost)
		return
	}
	var ideal time.Duration
	if g.options.IdealResponse != nil {
		ideal = g.options.IdealResponse(entry, c.runtimes, c.results.flow.Job)
	}
	var group sync.WaitGroup
	if c.resubmitAfter > 0 && key != "" {
		group.Go(func() { g.resubmit(ctx, cl, c, key) })
	}
	if c.cancelAfter > 0 && c.results.flow.Job {
		group.Go(func() {
			if wait.For(ctx, c.cancelAfter) {
				_, _ = cl.Cancel(ctx, cl.NextEntry(), key)
			}
		})
	}
	complete, err := g.sendWithRetry(ctx, cl, entry, c, key)
	g.recordOutcome(c, key, complete, err, due, ideal)
	group.Wait()
}

// chooseKey returns the entry to send a call to and the key of the call.
func (g *Generator) chooseKey(ctx context.Context, cl *client.Client, c *call) (string, string, error) {
	switch c.results.flow.KeyKind {
	case KeyOrigin:
		for range maxAttempts {
			entry, key, err := cl.NewKey(ctx, c.id)
			if err == nil {
				return entry, key, nil
			}
			cl = g.client(c.results.flow.Tenant)
		}
		return "", "", &client.NoAnswerError{Cause: errNoOrigin}
	case KeyChosen:
		return cl.NextEntry(), c.id, nil
	}
	return cl.NextEntry(), "", nil
}

// noOriginError reports that maxAttempts entries did not return an origin token.
type noOriginError struct{}

// Error implements error.
func (*noOriginError) Error() string { return "no entry returned an origin token" }

var errNoOrigin = &noOriginError{}

// resubmit sends a call again through another entry and records the outcome, so that the
// check covers duplicate starts and partial answers of resubmitted calls.
func (g *Generator) resubmit(ctx context.Context, cl *client.Client, c *call, key string) {
	if !wait.For(ctx, c.resubmitAfter) {
		return
	}
	complete, err := g.sendOnce(ctx, cl, cl.NextEntry(), c, key)
	g.recorder.Add(reportedOutcome(c, key, complete, err))
	c.results.resubmitted.Add(1)
}

// sendWithRetry sends a call and tries other entries while it gets no answer. Without a key
// only a repeatable call is retried, since it may have run. It reports whether the answer
// is complete.
func (g *Generator) sendWithRetry(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	var err error
	for range maxAttempts {
		var complete bool
		complete, err = g.sendOnce(ctx, cl, entry, c, key)
		var noAnswer *client.NoAnswerError
		if !errors.As(err, &noAnswer) || ctx.Err() != nil {
			return complete, err
		}
		if key == "" && !c.results.flow.Repeatable {
			return complete, err
		}
		cl = g.client(c.results.flow.Tenant)
		entry = cl.NextEntry()
	}
	return false, err
}

// sendOnce sends a call to one entry and reports whether the answer is complete.
func (g *Generator) sendOnce(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	if c.results.flow.Job {
		return g.submitJob(ctx, cl, entry, c, key)
	}
	body := taskBody(c, 0)
	_, data, err := cl.Request(ctx, entry, c.results.flow.Service, key, c.results.flow.Timeout, body)
	if err != nil {
		return false, err
	}
	return answersTask(data, taskTag(c, 0)), nil
}

// taskTag returns the tag that the stand-in upstream returns in the answer to a task.
func taskTag(c *call, index int) string { return c.id + "/" + strconv.Itoa(index) }

// taskBody returns the body of a task for the stand-in upstream.
func taskBody(c *call, index int) []byte {
	body, _ := json.Marshal(runner.TaskBody{Runtime: c.runtimes[index].String(), Tag: taskTag(c, index)})
	return body
}

// answersTask reports whether data is the answer to the task with this tag.
func answersTask(data []byte, tag string) bool {
	var reply runner.Reply
	return json.Unmarshal(data, &reply) == nil && reply.Tag == tag
}

// submitJob sends a job, waits for its end and reports whether all answers are there and
// belong to its tasks.
func (g *Generator) submitJob(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	body := caller.Body{Service: c.results.flow.Service}
	if c.results.flow.Timeout > 0 {
		body.Timeout = c.results.flow.Timeout.String()
	}
	for i := range c.runtimes {
		task := caller.BodyTask{Body: taskBody(c, i)}
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
	complete := len(state.Answers) == len(c.runtimes)
	for i := 0; complete && i < len(state.Answers); i++ {
		complete = answersTask(state.Answers[i].Body, taskTag(c, i))
	}
	return complete, nil
}

// reportedOutcome returns the final outcome of one submission as its caller saw it.
func reportedOutcome(c *call, key string, complete bool, err error) history.ReportedOutcome {
	o := history.ReportedOutcome{Key: key, Tasks: len(c.runtimes), Repeatable: c.results.flow.Repeatable}
	var refused *client.RefusedError
	switch {
	case err == nil:
		o.Complete, o.Partial = complete, !complete
	case errors.As(err, &refused):
		o.NotRun = refused.Outcome == refusal.NotRun
	}
	return o
}

// recordOutcome adds the outcome of a call to the results and to the check.
func (g *Generator) recordOutcome(c *call, key string, complete bool, err error, due time.Time, ideal time.Duration) {
	response := time.Since(due)
	var refused *client.RefusedError
	switch {
	case err == nil && complete:
		c.results.countComplete(len(c.runtimes), response, ideal)
	case err == nil:
		c.results.countOutcome(outcomePartial)
	case errors.As(err, &refused):
		c.results.countRefusal(refused)
	default:
		c.results.countOutcome(outcomeLost)
	}
	g.recordCall(due, response, ideal, err == nil && complete)
	g.recorder.Add(reportedOutcome(c, key, complete, err))
	g.finishedCalls.Add(1)
	tasks := g.finishedTasks.Add(int64(len(c.runtimes)))
	if g.options.OnProgress != nil {
		g.options.OnProgress(g.finishedCalls.Load(), tasks)
	}
}
