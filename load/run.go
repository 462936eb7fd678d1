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

// Options of a run. Ideal gives the best possible response to tasks of these
// run times that are sent to an entry now, 0 where it is not known.
type Options struct {
	Scenario      *Scenario
	Entries       func() []string
	IdealResponse func(entry string, runs []time.Duration, job bool) time.Duration
	OnProgress    func(done, tasks int64)
}

// maxAttempts is how often a call is sent again after it brought no answer.
const maxAttempts = 4

// drainTimeout is how long a call may last beyond the run.
const drainTimeout = 20 * time.Second

// Generator is one run of a scenario.
type Generator struct {
	options       Options
	recorder      history.Recorder
	flows         []*flowResult
	finishedCalls atomic.Int64
	finishedTasks atomic.Int64
	keyPrefix     string

	startedAt time.Time

	mu            sync.Mutex
	statsBySecond map[int]*secondStats // calls by the second in which they were due
	clients       map[string]*client.Client
}

// New prepares a run.
func New(options Options) *Generator {
	r := &Generator{options: options, clients: map[string]*client.Client{}, statsBySecond: map[int]*secondStats{}, keyPrefix: strconv.FormatUint(rand.Uint64(), 36)}
	for _, flow := range options.Scenario.Flows {
		r.flows = append(r.flows, newFlowResult(flow))
	}
	return r
}

// client gives the tenant's client, which is renewed when the entries change.
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
		fresh.HTTP = c.HTTP
		r.clients[tenant] = fresh
		c = fresh
	}
	return c
}

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

// Run sends the whole scenario and waits for the last answer.
func (r *Generator) Run(ctx context.Context) {
	s := r.options.Scenario
	r.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Duration+drainTimeout)
	defer cancel()
	sending, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var group sync.WaitGroup
	for i, f := range r.flows {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		if f.flow.Workers > 0 {
			r.runClosedLoop(ctx, sending, f, random, &group)
		} else {
			group.Go(func() { r.runOpenLoop(ctx, sending, f, random, &group) })
		}
	}
	group.Wait()
	for _, c := range r.clients {
		c.Close()
	}
}

// runOpenLoop sends at random moments of a fixed rate, whatever the answers do, so
// that a stall shows in every response that it delays.
func (r *Generator) runOpenLoop(ctx, sending context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	next := time.Now()
	burstAt := next.Add(r.options.Scenario.Duration / 2)
	burst := f.flow.BurstSize
	for number := 0; sending.Err() == nil; number++ {
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
			wait.For(sending, time.Until(next))
			continue
		}
		next = next.Add(time.Duration(random.ExpFloat64() / f.flow.Rate * float64(time.Second)))
		if !wait.For(sending, time.Until(next)) {
			return
		}
		c, due := r.drawCall(f, random, number), next
		group.Go(func() { r.doCall(ctx, c, due) })
	}
}

func (r *Generator) runClosedLoop(ctx, sending context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	for w := range f.flow.Workers {
		workerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(w)))
		group.Go(func() {
			for number := 0; sending.Err() == nil; number++ {
				c := r.drawCall(f, workerRandom, w<<32|number)
				r.doCall(ctx, c, time.Now())
			}
		})
	}
}

// call holds what was drawn for one call.
type call struct {
	flow          *flowResult
	id            string
	runTimes      []time.Duration
	hints         []time.Duration
	resubmitAfter time.Duration // 0 for not
	cancelAfter   time.Duration
}

func (r *Generator) drawCall(f *flowResult, random *rand.Rand, number int) *call {
	c := &call{flow: f, id: r.keyPrefix + "-" + f.flow.Name + "-" + strconv.Itoa(number)}
	count := f.flow.MinTasks + random.IntN(f.flow.MaxTasks-f.flow.MinTasks+1)
	for range count {
		run := time.Duration(float64(f.flow.MedianRunTime) * math.Exp(f.flow.RunTimeSigma*random.NormFloat64()))
		hint := time.Duration(0)
		if f.flow.HintSigma >= 0 {
			hint = time.Duration(float64(run) * math.Exp(f.flow.HintSigma*random.NormFloat64()))
		}
		c.runTimes, c.hints = append(c.runTimes, run), append(c.hints, hint)
	}
	if random.Float64() < f.flow.ResubmitShare {
		c.resubmitAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRunTime))
	}
	if random.Float64() < f.flow.CancelShare {
		c.cancelAfter = 1 + time.Duration(random.Float64()*float64(2*f.flow.MedianRunTime))
	}
	return c
}

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
				_, _ = cl.Cancel(ctx, cl.Next(), key)
			}
		})
	}
	complete, err := r.sendWithRetry(ctx, cl, entry, c, key)
	r.recordOutcome(c, key, complete, err, due, ideal)
	group.Wait()
}

// chooseKey draws the key of a call and the entry to send it to.
func (r *Generator) chooseKey(ctx context.Context, cl *client.Client, c *call) (string, string, error) {
	switch c.flow.flow.KeyKind {
	case KeyOrigin:
		for range maxAttempts {
			entry, key, err := cl.Origin(ctx, c.id)
			if err == nil {
				return entry, key, nil
			}
			cl = r.client(c.flow.flow.Tenant)
		}
		return "", "", &client.LostError{Cause: errNoOrigin}
	case KeyChosen:
		return cl.Next(), c.id, nil
	}
	return cl.Next(), "", nil
}

type noOriginError struct{}

// Error tells what failed.
func (*noOriginError) Error() string { return "no entry gave an origin token" }

var errNoOrigin = &noOriginError{}

// resubmit sends the same call through another entry, and checks that its
// answer, if it has one, is whole as well.
func (r *Generator) resubmit(ctx context.Context, cl *client.Client, c *call, key string) {
	if !wait.For(ctx, c.resubmitAfter) {
		return
	}
	complete, err := r.sendOnce(ctx, cl, cl.Next(), c, key)
	r.recorder.Add(reportedOutcome(c, key, complete, err))
	c.flow.resubmitted.Add(1)
}

// sendWithRetry tries other entries while a call brings no answer. Without a key only a
// repeatable call may be tried again.
func (r *Generator) sendWithRetry(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	var err error
	for range maxAttempts {
		var complete bool
		complete, err = r.sendOnce(ctx, cl, entry, c, key)
		var lost *client.LostError
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return complete, err
		}
		if key == "" && !c.flow.flow.Repeatable {
			return complete, err
		}
		cl = r.client(c.flow.flow.Tenant)
		entry = cl.Next()
	}
	return false, err
}

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

func taskTag(c *call, index int) string { return c.id + "/" + strconv.Itoa(index) }

func taskBody(c *call, index int) []byte {
	body, _ := json.Marshal(runner.Work{Run: c.runTimes[index].String(), Tag: taskTag(c, index)})
	return body
}

// answersTask tells whether an answer is the one to the work of this tag.
func answersTask(data []byte, tag string) bool {
	var reply runner.Reply
	return json.Unmarshal(data, &reply) == nil && reply.Tag == tag
}

func (r *Generator) submitJob(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	body := caller.Body{Service: c.flow.flow.Service}
	if c.flow.flow.Timeout > 0 {
		body.Limit = c.flow.flow.Timeout.String()
	}
	for i := range c.runTimes {
		task := caller.BodyTask{Body: taskBody(c, i)}
		if c.hints[i] > 0 {
			task.Hint = c.hints[i].String()
		}
		body.Tasks = append(body.Tasks, task)
	}
	state, err := cl.Submit(ctx, entry, key, body, drainTimeout)
	if err != nil {
		return false, err
	}
	if state.State != "complete" {
		return false, &client.Refused{Kind: refusal.DeadlineOver, Outcome: refusal.Unknown, Detail: "still running at the end of the wait"}
	}
	complete := len(state.Answers) == len(c.runTimes)
	for i := 0; complete && i < len(state.Answers); i++ {
		complete = answersTask(state.Answers[i].Body, taskTag(c, i))
	}
	return complete, nil
}

// reportedOutcome is what one submission was told in the end.
func reportedOutcome(c *call, key string, complete bool, err error) history.ReportedOutcome {
	t := history.ReportedOutcome{Key: key, Tasks: len(c.runTimes), Repeatable: c.flow.flow.Repeatable}
	var refused *client.Refused
	switch {
	case err == nil:
		t.Complete, t.Partial = complete, !complete
	case errors.As(err, &refused):
		t.NotRun = refused.Outcome == refusal.NotRun
	}
	return t
}

// recordOutcome files what the caller was told.
func (r *Generator) recordOutcome(c *call, key string, complete bool, err error, due time.Time, ideal time.Duration) {
	response := time.Since(due)
	var refused *client.Refused
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
