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

// bench is a dispatcher in a synctest bubble, whose upstreams are functions of
// virtual time.
type bench struct {
	*Dispatcher
	t       *testing.T
	bundle  *bundle.Bundle
	ledger  *loan.Ledger
	speeds  map[string]float64
	act     func(ctx context.Context, name string, call upstream.Call, span time.Duration) error
	leaving map[string]bool
	leases  map[string]time.Time

	mu     sync.Mutex
	starts []start
	busy   map[string]int
	peak   map[string]int
}

type start struct {
	upstream, task string
	at             time.Time
}

const rules = `
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

// newBench makes upstreams u0, u1, … of 4 slots with these speeds.
func newBench(t *testing.T, speeds ...float64) *bench {
	b := &bench{
		t: t, speeds: map[string]float64{}, busy: map[string]int{}, peak: map[string]int{},
		leaving: map[string]bool{}, leases: map[string]time.Time{}, ledger: loan.New(loan.Options{}),
	}
	text := rules
	for i, speed := range speeds {
		name := fmt.Sprintf("u%d", i)
		b.speeds[name] = speed
		text += fmt.Sprintf("[upstream %s]\nzone = z\naddress = 127.0.0.1:%d\nslots = 4\n", name, i+1)
		b.ledger.SetHomeSlots(name, 4)
		b.ledger.ActivateGained(name)
	}
	parsed, err := bundle.Parse("test", 1, text)
	if err != nil {
		t.Fatal(err)
	}
	b.bundle = parsed
	b.Dispatcher = New(Options{
		Zone: "z", Ledger: b.ledger, Estimator: estimate.New(time.Now), Board: outlier.New(outlier.Options{}),
		Send:    b.send,
		Leaving: func(name string) bool { return b.leaving[name] },
		Lease:   func(name string) (time.Time, bool) { end, ok := b.leases[name]; return end, ok },
	})
	b.Apply(parsed)
	return b
}

func (b *bench) send(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error) {
	b.mu.Lock()
	b.starts = append(b.starts, start{upstream: name, task: call.Task, at: time.Now()})
	b.busy[name]++
	b.peak[name] = max(b.peak[name], b.busy[name])
	act := b.act
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.busy[name]--
		b.mu.Unlock()
	}()
	run, _ := time.ParseDuration(string(call.Body[1 : len(call.Body)-1]))
	span := time.Duration(float64(run) / b.speeds[name])
	if act != nil {
		if err := act(ctx, name, call, span); err != nil {
			return upstream.Answer{}, err
		}
	}
	if !sleep(ctx, span) {
		return upstream.Answer{}, &upstream.Failure{Upstream: name, Known: upstream.Unknown, Cause: ctx.Err()}
	}
	return upstream.Answer{Status: 200, Body: call.Body}, nil
}

func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *bench) job(tenant, service string, limit time.Duration, runs ...time.Duration) *job.Job {
	j := &job.Job{
		Key: fmt.Sprintf("%s-%d", tenant, rand.Uint64()), Tenant: tenant, Service: b.bundle.Services[service], Bundle: b.bundle,
		Request: service == "quick", Arrived: time.Now(), Deadline: time.Now().Add(limit),
	}
	for _, run := range runs {
		j.Tasks = append(j.Tasks, job.Task{Body: []byte(`"` + run.String() + `"`), Hint: run})
	}
	return job.New(b.t.Context(), j)
}

func (b *bench) submit(j *job.Job) *job.Job {
	b.t.Helper()
	if r := b.Submit(j); r != nil {
		b.t.Fatal(r)
	}
	return j
}

func (b *bench) startsOf(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.starts {
		if s.upstream == name {
			count++
		}
	}
	return count
}

func repeat(count int, run time.Duration) []time.Duration {
	return slices.Repeat([]time.Duration{run}, count)
}

// warm teaches the estimator the speeds.
func (b *bench) warm() {
	for range 3 {
		j := b.submit(b.job("a", "once", time.Minute, repeat(16*len(b.speeds), 20*time.Millisecond)...))
		<-j.Done()
	}
	time.Sleep(time.Second)
}
