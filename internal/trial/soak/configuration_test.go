package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishgate/radishgate/standin/proxy"
)

// Limits that the platform sets for configurations, and the course of TestConfigurationSoak.
const (
	applyLimit    = 2 * time.Second // after a version was written
	contactLimit  = 3 * time.Second // after a fault has ended
	faultRounds   = 2               // for each entry
	quietTime     = contactLimit + 1500*time.Millisecond
	stallLimit    = 250 * time.Millisecond // after which the machine counts as too busy for the limits
	probeInterval = 50 * time.Millisecond
)

// configuration returns a version that adds a route to those of the version before.
func configuration(version int) string {
	routes := []string{`{"name":"hold","host":"hold.example","path-prefix":"/hold/","slo-ms":60,"backend":"listing","max-attempts":3,"slack-factor":1.6}`}
	for v := 2; v <= version; v++ {
		routes = append(routes, fmt.Sprintf(`{"name":"v%d","host":"hold.example","path-prefix":"/v%d/","backend":"listing"}`, v, v))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"listing"}]}`, version, strings.Join(routes, ","))
}

// faultHistory records when an entry was last under a fault, and its incarnations.
type faultHistory struct {
	mu          sync.Mutex
	active      int
	endedAt     time.Time
	incarnation int
}

func (h *faultHistory) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active++
}

func (h *faultHistory) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	h.endedAt = time.Now()
}

// snapshot returns the incarnation of the process, the end of the last fault, and whether none is active.
func (h *faultHistory) snapshot() (incarnation int, endedAt time.Time, calm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.endedAt, h.active == 0
}

// restarted counts a new incarnation.
func (h *faultHistory) restarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation++
}

// versions records when each version of the configuration was written; the first is version 1.
type versions struct {
	mu        sync.Mutex
	writtenAt []time.Time
}

func (v *versions) add() (version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.writtenAt = append(v.writtenAt, time.Now())
	return len(v.writtenAt)
}

// due returns the newest version that must be in force at now, at least 1.
func (v *versions) due(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := len(v.writtenAt) - 1; i > 0; i-- {
		if now.Sub(v.writtenAt[i]) > applyLimit {
			return i + 1
		}
	}
	return 1
}

// TestConfigurationSoak changes routes while the entries' connections to the store fail or go silent, alone
// or with pauses and restarts of the processes. From the answers to callers it checks that each
// version is in force within the limits, and that no process goes back to an older one.
func TestConfigurationSoak(t *testing.T) {
	binary := buildProgram(t)
	run := func(seed uint64, cause string) {
		t.Run(fmt.Sprintf("seed %d %s", seed, cause), func(t *testing.T) { newSoak(t, binary, seed).runConfigurations(seed) })
	}
	for _, r := range configurationRegressions {
		run(r.seed, r.cause)
	}
	for i := range *seedCount {
		run(*firstSeed+uint64(i), "")
	}
}

// configurationRegressions lists seeds that failed in the past, with the cause of each failure.
var configurationRegressions = []struct {
	seed  uint64
	cause string
}{
	{5, "a read of a silent store was waited for after its return"},
}

func (s *soak) runConfigurations(seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	var checks, faults sync.WaitGroup
	written := &versions{}
	written.add()
	operator := rand.New(rand.NewPCG(seed, 5))
	checks.Go(func() {
		for ctx.Err() == nil {
			s.store.Put("keyed.op", "config", []byte(configuration(written.add())))
			time.Sleep(time.Duration(200+operator.IntN(500)) * time.Millisecond)
		}
	})
	checks.Go(func() { s.noteStalls(ctx) })
	startedAt := time.Now()
	for i, e := range s.entries {
		e.faults.begin() // the start
		e.faults.end()
		checks.Go(func() { s.probeConfiguration(ctx, e, written) })
		random := rand.New(rand.NewPCG(seed, 10+uint64(i)))
		faults.Go(func() {
			for range faultRounds {
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
				s.injectStoreFault(e, random, startedAt)
				time.Sleep(quietTime)
			}
		})
	}
	faults.Wait()
	stop()
	checks.Wait()
	s.report()
}

// injectStoreFault injects one fault between an entry and the store, in three of ten cases together
// with a pause or a restart of the process, and returns when all have ended.
func (s *soak) injectStoreFault(e *entry, random *rand.Rand, startedAt time.Time) {
	e.faults.begin()
	defer e.faults.end()
	duration := time.Duration(500+random.IntN(8000)) * time.Millisecond
	note := func(what string, d time.Duration) {
		s.recordEvent("%s entry %d: %s for %s", time.Since(startedAt).Round(time.Millisecond), e.index, what, d)
	}
	kind, also := random.IntN(8), random.IntN(10)
	switch kind {
	case 0, 1:
		note("open connections to the store silenced", 0)
		e.storeProxy.SilenceOpenConnections()
		duration = 0
	case 2:
		note("store resets connections", duration)
		e.storeProxy.SetFault(proxy.Reset)
	case 3:
		note("store slow", duration)
		e.storeProxy.SetFault(proxy.Delay)
	case 4:
		note("answers of the store dropped", duration)
		e.storeProxy.SetFault(proxy.DropToClient)
	default:
		note("store silent", duration)
		e.storeProxy.SetFault(proxy.DropAll)
	}
	time.Sleep(duration / 2)
	switch also {
	case 0, 1:
		pause := time.Duration(200+random.IntN(1500)) * time.Millisecond
		note("paused", pause)
		s.signal(e, syscall.SIGSTOP)
		time.Sleep(pause)
		s.signal(e, syscall.SIGCONT)
	case 2:
		note("killed and started again", 0)
		s.kill(e)
		e.faults.restarted()
		s.start(e)
	}
	time.Sleep(duration / 2)
	e.storeProxy.SetFault(proxy.NoFault)
}

// noteStalls counts it as a fault of all entries if this process is held up: then theirs are too.
func (s *soak) noteStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		if gap := now.Sub(last); gap > stallLimit {
			s.recordEvent("the machine stalled for %s", gap)
			for _, e := range s.entries {
				e.faults.begin()
				e.faults.end()
			}
		}
		last = now
	}
}

// probeConfiguration asks an entry again and again for the routes of the newest version that must be in
// force, and of the newest one that its process has served.
func (s *soak) probeConfiguration(ctx context.Context, e *entry, written *versions) {
	served, servedBy := 1, 0
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		sentAt := time.Now()
		incarnation, endedAt, calm := e.faults.snapshot()
		if incarnation != servedBy {
			served, servedBy = 1, incarnation
		}
		due := written.due(sentAt)
		calm = calm && sentAt.Sub(endedAt) > contactLimit
		if !calm {
			due = 1
		}
		version := max(due, served, 2)
		status := probeRoute(ctx, e.callerAddress, version)
		after, endedAfter, calmAfter := e.faults.snapshot()
		switch same := after == incarnation; {
		case status == http.StatusOK && same:
			served = version
		case status != http.StatusNotFound:
		case same && version <= served && served > 1:
			s.recordViolation("entry %d has no route of version %d any more, which it has served", e.index, version)
		case version == due && calmAfter && endedAfter.Equal(endedAt):
			s.recordViolation("entry %d has no route of version %d, which was written over %s ago; its last fault ended %s ago", e.index, version, applyLimit, sentAt.Sub(endedAt))
		}
	}
}

// probeRoute asks for the backlog of a version's route and returns the status, or 0 without an answer.
func probeRoute(ctx context.Context, address string, version int) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v%d/", address, version), nil)
	if err != nil {
		return 0
	}
	request.Host = "hold.example"
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode
}
