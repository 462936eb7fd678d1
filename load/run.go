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
	Scenario *Scenario
	Entries  func() []string
	Ideal    func(entry string, runs []time.Duration, job bool) time.Duration
	Progress func(done, tasks int64)
}

// tries is how often a call is sent again after it brought no answer.
const tries = 4

// grace is how long a call may last beyond the run.
const grace = 20 * time.Second

// Run is one run of a scenario.
type Run struct {
	options Options
	record  history.Record
	flows   []*flowResult
	calls   atomic.Int64
	tasks   atomic.Int64
	prefix  string

	began time.Time

	mu      sync.Mutex
	seconds map[int]*second // calls by the second in which they were due
	clients map[string]*client.Client
}

// New prepares a run.
func New(options Options) *Run {
	r := &Run{options: options, clients: map[string]*client.Client{}, seconds: map[int]*second{}, prefix: strconv.FormatUint(rand.Uint64(), 36)}
	for _, flow := range options.Scenario.Flows {
		r.flows = append(r.flows, newFlowResult(flow))
	}
	return r
}

// client gives the tenant's client, which is renewed when the entries change.
func (r *Run) client(tenant string) *client.Client {
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

// Do sends the whole scenario and waits for the last answer.
func (r *Run) Do(ctx context.Context) {
	s := r.options.Scenario
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Span+grace)
	defer cancel()
	sending, stop := context.WithTimeout(ctx, s.Span)
	defer stop()
	var group sync.WaitGroup
	for i, f := range r.flows {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		if f.flow.Workers > 0 {
			r.closed(ctx, sending, f, random, &group)
		} else {
			group.Go(func() { r.open(ctx, sending, f, random, &group) })
		}
	}
	group.Wait()
	for _, c := range r.clients {
		c.Close()
	}
}

// open sends at random moments of a fixed rate, whatever the answers do, so
// that a stall shows in every response that it delays.
func (r *Run) open(ctx, sending context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	next := time.Now()
	burstAt := next.Add(r.options.Scenario.Span / 2)
	burst := f.flow.Burst
	for number := 0; sending.Err() == nil; number++ {
		if burst > 0 && time.Now().After(burstAt) {
			for i := range burst {
				c := r.draw(f, random, number+i)
				group.Go(func() { r.call(ctx, c, time.Now()) })
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
		c, due := r.draw(f, random, number), next
		group.Go(func() { r.call(ctx, c, due) })
	}
}

func (r *Run) closed(ctx, sending context.Context, f *flowResult, random *rand.Rand, group *sync.WaitGroup) {
	for w := range f.flow.Workers {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(w)))
		group.Go(func() {
			for number := 0; sending.Err() == nil; number++ {
				c := r.draw(f, own, w<<32|number)
				r.call(ctx, c, time.Now())
			}
		})
	}
}

// call holds what was drawn for one call.
type call struct {
	flow     *flowResult
	own      string
	runs     []time.Duration
	hints    []time.Duration
	resubmit time.Duration // 0 for not
	cancel   time.Duration
}

func (r *Run) draw(f *flowResult, random *rand.Rand, number int) *call {
	c := &call{flow: f, own: r.prefix + "-" + f.flow.Name + "-" + strconv.Itoa(number)}
	count := f.flow.Least + random.IntN(f.flow.Most-f.flow.Least+1)
	for range count {
		run := time.Duration(float64(f.flow.Run) * math.Exp(f.flow.Spread*random.NormFloat64()))
		hint := time.Duration(0)
		if f.flow.Hint >= 0 {
			hint = time.Duration(float64(run) * math.Exp(f.flow.Hint*random.NormFloat64()))
		}
		c.runs, c.hints = append(c.runs, run), append(c.hints, hint)
	}
	if random.Float64() < f.flow.Resubmit {
		c.resubmit = 1 + time.Duration(random.Float64()*float64(2*f.flow.Run))
	}
	if random.Float64() < f.flow.Cancel {
		c.cancel = 1 + time.Duration(random.Float64()*float64(2*f.flow.Run))
	}
	return c
}

func (r *Run) call(ctx context.Context, c *call, due time.Time) {
	cl := r.client(c.flow.flow.Tenant)
	entry, key, err := r.key(ctx, cl, c)
	if err != nil {
		c.flow.count(outcomeLost)
		return
	}
	var ideal time.Duration
	if r.options.Ideal != nil {
		ideal = r.options.Ideal(entry, c.runs, c.flow.flow.Job)
	}
	var group sync.WaitGroup
	if c.resubmit > 0 && key != "" {
		group.Go(func() { r.resubmit(ctx, cl, c, key) })
	}
	if c.cancel > 0 && c.flow.flow.Job {
		group.Go(func() {
			if wait.For(ctx, c.cancel) {
				_, _ = cl.Cancel(ctx, cl.Next(), key)
			}
		})
	}
	whole, err := r.send(ctx, cl, entry, c, key)
	r.note(c, key, whole, err, due, ideal)
	group.Wait()
}

// key draws the key of a call and the entry to send it to.
func (r *Run) key(ctx context.Context, cl *client.Client, c *call) (string, string, error) {
	switch c.flow.flow.Key {
	case KeyOrigin:
		for range tries {
			entry, key, err := cl.Origin(ctx, c.own)
			if err == nil {
				return entry, key, nil
			}
			cl = r.client(c.flow.flow.Tenant)
		}
		return "", "", &client.LostError{Cause: errNoOrigin}
	case KeyChosen:
		return cl.Next(), c.own, nil
	}
	return cl.Next(), "", nil
}

type noOriginError struct{}

// Error tells what failed.
func (*noOriginError) Error() string { return "no entry gave an origin token" }

var errNoOrigin = &noOriginError{}

// resubmit sends the same call through another entry, and checks that its
// answer, if it has one, is whole as well.
func (r *Run) resubmit(ctx context.Context, cl *client.Client, c *call, key string) {
	if !wait.For(ctx, c.resubmit) {
		return
	}
	whole, err := r.once(ctx, cl, cl.Next(), c, key)
	r.record.Tell(told(c, key, whole, err))
	c.flow.resubmitted.Add(1)
}

// send tries other entries while a call brings no answer. Without a key only a
// repeatable call may be tried again.
func (r *Run) send(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	var err error
	for range tries {
		var whole bool
		whole, err = r.once(ctx, cl, entry, c, key)
		var lost *client.LostError
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return whole, err
		}
		if key == "" && !c.flow.flow.Repeatable {
			return whole, err
		}
		cl = r.client(c.flow.flow.Tenant)
		entry = cl.Next()
	}
	return false, err
}

func (r *Run) once(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	if c.flow.flow.Job {
		return r.job(ctx, cl, entry, c, key)
	}
	body := work(c, 0)
	_, data, err := cl.Request(ctx, entry, c.flow.flow.Service, key, c.flow.flow.Limit, body)
	if err != nil {
		return false, err
	}
	return fits(data, tag(c, 0)), nil
}

func tag(c *call, index int) string { return c.own + "/" + strconv.Itoa(index) }

func work(c *call, index int) []byte {
	body, _ := json.Marshal(runner.TaskBody{RunTime: c.runs[index].String(), Tag: tag(c, index)})
	return body
}

// fits tells whether an answer is the one to the work of this tag.
func fits(data []byte, tag string) bool {
	var reply runner.Reply
	return json.Unmarshal(data, &reply) == nil && reply.Tag == tag
}

func (r *Run) job(ctx context.Context, cl *client.Client, entry string, c *call, key string) (bool, error) {
	body := caller.Body{Service: c.flow.flow.Service}
	if c.flow.flow.Limit > 0 {
		body.Limit = c.flow.flow.Limit.String()
	}
	for i := range c.runs {
		task := caller.BodyTask{Body: work(c, i)}
		if c.hints[i] > 0 {
			task.Hint = c.hints[i].String()
		}
		body.Tasks = append(body.Tasks, task)
	}
	state, err := cl.Submit(ctx, entry, key, body, grace)
	if err != nil {
		return false, err
	}
	if state.State != "complete" {
		return false, &client.Refused{Kind: refusal.DeadlineOver, Outcome: refusal.Unknown, Detail: "still running at the end of the wait"}
	}
	whole := len(state.Answers) == len(c.runs)
	for i := 0; whole && i < len(state.Answers); i++ {
		whole = fits(state.Answers[i].Body, tag(c, i))
	}
	return whole, nil
}

// told is what one submission was told in the end.
func told(c *call, key string, whole bool, err error) history.Told {
	t := history.Told{Key: key, Tasks: len(c.runs), Repeatable: c.flow.flow.Repeatable}
	var refused *client.Refused
	switch {
	case err == nil:
		t.Complete, t.Partial = whole, !whole
	case errors.As(err, &refused):
		t.NotRun = refused.Outcome == refusal.NotRun
	}
	return t
}

// note files what the caller was told.
func (r *Run) note(c *call, key string, whole bool, err error, due time.Time, ideal time.Duration) {
	response := time.Since(due)
	var refused *client.Refused
	switch {
	case err == nil && whole:
		c.flow.complete(len(c.runs), response, ideal)
	case err == nil:
		c.flow.count(outcomePartial)
	case errors.As(err, &refused):
		c.flow.refuse(refused)
	default:
		c.flow.count(outcomeLost)
	}
	r.file(due, response, ideal, err == nil && whole)
	r.record.Tell(told(c, key, whole, err))
	r.calls.Add(1)
	tasks := r.tasks.Add(int64(len(c.runs)))
	if r.options.Progress != nil {
		r.options.Progress(r.calls.Load(), tasks)
	}
}
