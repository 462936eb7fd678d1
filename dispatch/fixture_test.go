package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/outlier"
	"github.com/radishgate/radishgate/upstream"
)

// fixture is a dispatcher with simulated upstreams, for use in a synctest bubble
// with its virtual time. A run takes the duration in the task's body, divided by
// the speed of the upstream.
type fixture struct {
	*Dispatcher
	t         *testing.T
	bundle    *bundle.Bundle
	ledger    *loan.Ledger
	speeds    map[string]float64
	beforeRun func(ctx context.Context, name string, call upstream.Call, runtime time.Duration) error
	leaving   map[string]bool
	leases    map[string]time.Time

	mu      sync.Mutex
	starts  []startRecord
	busy    map[string]int
	maxBusy map[string]int
}

type startRecord struct {
	upstream, task string
	at             time.Time
}

const bundleText = `
[tenant a]
weight = 1
[tenant b]
weight = 1
[class counter]
weight = 1
[service quick]
path = /q
class = counter
repeatable = true
limit = 10s
hint = 50ms
[service once]
path = /o
limit = 60s
hint = 50ms
[service special]
path = /s
needs = gpu
`

// newFixture returns a dispatcher with upstreams u0, u1, … that have 4 slots each
// and the given speeds.
func newFixture(t *testing.T, speeds ...float64) *fixture {
	f := &fixture{
		t: t, speeds: map[string]float64{}, busy: map[string]int{}, maxBusy: map[string]int{},
		leaving: map[string]bool{}, leases: map[string]time.Time{}, ledger: loan.New(loan.Options{}),
	}
	text := bundleText
	for i, speed := range speeds {
		name := fmt.Sprintf("u%d", i)
		f.speeds[name] = speed
		text += fmt.Sprintf("[upstream %s]\nzone = z\naddress = 127.0.0.1:%d\nslots = 4\n", name, i+1)
		f.ledger.SetHomeSlots(name, 4)
		f.ledger.ActivateGained(name)
	}
	parsed, err := bundle.Parse("test", 1, text)
	if err != nil {
		t.Fatal(err)
	}
	f.bundle = parsed
	f.Dispatcher = New(Options{
		Zone: "z", Ledger: f.ledger, Estimator: estimate.New(time.Now), Outliers: outlier.New(outlier.Options{}),
		Send:      f.send,
		IsLeaving: func(name string) bool { return f.leaving[name] },
		LeaseEnd:  func(name string) (time.Time, bool) { end, ok := f.leases[name]; return end, ok },
	})
	f.Apply(parsed)
	return f
}

func (f *fixture) send(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error) {
	f.mu.Lock()
	f.starts = append(f.starts, startRecord{upstream: name, task: call.TaskID, at: time.Now()})
	f.busy[name]++
	f.maxBusy[name] = max(f.maxBusy[name], f.busy[name])
	beforeRun := f.beforeRun
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.busy[name]--
		f.mu.Unlock()
	}()
	nominal, _ := time.ParseDuration(string(call.Body[1 : len(call.Body)-1]))
	runtime := time.Duration(float64(nominal) / f.speeds[name])
	if beforeRun != nil {
		if err := beforeRun(ctx, name, call, runtime); err != nil {
			return upstream.Answer{}, err
		}
	}
	if !sleep(ctx, runtime) {
		return upstream.Answer{}, &upstream.Failure{Upstream: name, Outcome: upstream.Unknown, Cause: ctx.Err()}
	}
	return upstream.Answer{Status: 200, Body: call.Body}, nil
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *fixture) job(tenant, service string, timeout time.Duration, runs ...time.Duration) *job.Job {
	j := &job.Job{
		Key: fmt.Sprintf("%s-%d", tenant, rand.Uint64()), Tenant: tenant, Service: f.bundle.Services[service], Bundle: f.bundle,
		IsRequest: service == "quick", ArrivedAt: time.Now(), Deadline: time.Now().Add(timeout),
	}
	for _, run := range runs {
		j.Tasks = append(j.Tasks, job.Task{Body: []byte(`"` + run.String() + `"`), RuntimeHint: run})
	}
	return job.New(f.t.Context(), j)
}

func (f *fixture) submit(j *job.Job) *job.Job {
	f.t.Helper()
	if r := f.Submit(j); r != nil {
		f.t.Fatal(r)
	}
	return j
}

func (f *fixture) startsOf(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.starts {
		if s.upstream == name {
			count++
		}
	}
	return count
}

func runtimes(count int, run time.Duration) []time.Duration {
	return slices.Repeat([]time.Duration{run}, count)
}

// learnSpeeds runs jobs so that the estimator knows the speeds of the upstreams.
func (f *fixture) learnSpeeds() {
	for range 3 {
		j := f.submit(f.job("a", "once", time.Minute, runtimes(16*len(f.speeds), 20*time.Millisecond)...))
		<-j.Done()
	}
	time.Sleep(time.Second)
}
