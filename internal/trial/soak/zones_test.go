package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishgate/radishgate/standin/worker"
)

var zonePlays = flag.Int("plays", 1, "how often each play of TestJobSentAgainRunsOnce is repeated")

// Times of the plays of one job.
const (
	restartDelay = 500 * time.Millisecond // from the loss of an entry to its next start
	readyTime    = 2 * time.Second        // from the start of the entries until a job is sent
	longRun      = 2500 * time.Millisecond
	longDeadline = 6 * time.Second
	runningTime  = 300 * time.Millisecond // from the submission until the tasks of the job run
	followUpTime = 2 * time.Second        // from the second submission to the end
	maxPlays     = 3                      // plays at the same time
)

// The job of the plays, and the availability zone in which it runs.
const (
	longJob       = "5c0e7a21d94b36f8"
	longJobBody   = `{"spec":"x","steps":[{"count":4,"cpu":1000,"mem-mb":10,"est-runtime-ms":2500}],"best-effort":true}`
	disruptedZone = "a"
	nextZone      = "b"
)

// TestJobSentAgainRunsOnce disrupts the availability zone in which a job runs, so that its client
// sends it again. Its tasks must not start while their first runs go on.
func TestJobSentAgainRunsOnce(t *testing.T) {
	tests := []struct {
		name string
		play func(s *soak, scheduler, other *entry)
	}{
		{"to another zone, after the scheduler has read the job late and its entry was lost", func(s *soak, scheduler, other *entry) {
			process := scheduler.command.Process
			s.signal(scheduler, syscall.SIGSTOP)
			time.AfterFunc(400*time.Millisecond, func() { _ = process.Signal(syscall.SIGCONT) })
			time.Sleep(20 * time.Millisecond)
			sent := s.sendLongJob(other)
			time.Sleep(60 * time.Millisecond)
			s.lose(other)
			<-sent
			time.Sleep(resendAfter)
			s.sendLongJob(s.entryOutside(disruptedZone))
		}},
		{"to another zone, after its entry and then the scheduler were lost", func(s *soak, scheduler, other *entry) {
			s.loseBoth(scheduler, other, 900*time.Millisecond)
			s.sendLongJob(s.entryOutside(disruptedZone))
		}},
		{"to its entry, which has started again, after the scheduler was lost", func(s *soak, scheduler, other *entry) {
			s.loseBoth(scheduler, other, 1080*time.Millisecond)
			s.sendLongJob(other)
		}},
	}
	binary, running := buildProgram(t), make(chan struct{}, maxPlays)
	for _, c := range tests {
		for range *zonePlays {
			t.Run(c.name, func(t *testing.T) {
				playLongJob(t, binary, running, 1, time.Millisecond, func(s *soak) {
					scheduler, other := s.schedulerOf(disruptedZone)
					c.play(s, scheduler, other)
					time.Sleep(followUpTime)
				})
			})
		}
	}
}

// playLongJob starts entries, plays with the long job and checks its runs. firstRun is the run time of the
// tasks of earlier jobs, from which the run time of the long job is estimated.
func playLongJob(t *testing.T, binary string, running chan struct{}, seed uint64, firstRun time.Duration, play func(s *soak)) {
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running }) // once the entries are gone
	s := newSoakOf(t, binary, seed, func(uint64) worker.Options {
		return worker.Options{PlanRun: func(task string) (string, time.Duration) {
			if strings.HasPrefix(task, longJob) {
				return "done", longRun
			}
			return "done", firstRun
		}}
	})
	time.Sleep(readyTime)
	var group sync.WaitGroup
	for i, e := range s.entries { // entries have exchanged messages about jobs before
		group.Go(func() {
			postJob(e.callerAddress, fmt.Sprintf("%016x", i+1), longJobBody, time.Now().Add(longDeadline))
		})
	}
	group.Wait()
	play(s)
	s.restarts.Wait()
	if starts, _ := s.monitor.TaskRuns(longJob + ".0.0.0"); starts == 0 {
		s.recordViolation("the job never ran")
	}
	if overlapping, _ := s.monitor.Violations(); len(overlapping) > 0 {
		s.recordViolation("tasks with concurrent runs, for up to %d ms: %v; want none", s.monitor.LongestOverlap().Milliseconds(), overlapping)
	}
	s.report()
}

// sendLongJob sends the long job to an entry. The channel is closed once the client has an answer,
// or its connection is broken.
func (s *soak) sendLongJob(e *entry) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, answer := postJob(e.callerAddress, longJob, longJobBody, time.Now().Add(longDeadline))
		s.recordEvent("entry %d answers %d %s", e.index, status, answer)
	}()
	return answered
}

// lose kills entries that are not down, and starts them again after restartDelay.
func (s *soak) lose(lost ...*entry) {
	s.processes.Lock()
	defer s.processes.Unlock()
	for _, e := range lost {
		if e.down {
			continue
		}
		s.kill(e)
		s.restarts.Go(func() {
			time.Sleep(restartDelay)
			s.processes.Lock()
			defer s.processes.Unlock()
			s.start(e)
		})
	}
}

// loseBoth sends the long job to an entry that does not schedule its tasks, and loses this entry, once
// the tasks run, and a while later the scheduler. It returns when the client sends the job again.
func (s *soak) loseBoth(scheduler, other *entry, gap time.Duration) {
	sent := s.sendLongJob(other)
	time.Sleep(runningTime)
	s.lose(other)
	<-sent
	resendAt := time.Now().Add(resendAfter)
	time.Sleep(gap)
	s.lose(scheduler)
	time.Sleep(time.Until(resendAt))
}

// schedulerOf returns the entry of a zone that schedules its tasks, by its log, and the other one.
func (s *soak) schedulerOf(zone string) (scheduler, other *entry) {
	for _, e := range s.entries {
		log, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("e%d.log", e.index)))
		if err != nil {
			s.t.Fatal(err)
		}
		switch taken := strings.LastIndex(string(log), "group taken"); {
		case zoneName(e.index) != zone:
		case taken > strings.LastIndex(string(log), "group given up"):
			scheduler = e
		default:
			other = e
		}
	}
	if scheduler == nil || other == nil {
		s.t.Fatalf("no two entries in zone %s of which one schedules its tasks", zone)
	}
	return scheduler, other
}

// entryOutside returns an entry of another zone.
func (s *soak) entryOutside(zone string) *entry {
	for _, e := range s.entries {
		if zoneName(e.index) != zone {
			return e
		}
	}
	s.t.Fatal("there is one zone only")
	return nil
}

// TestSoakOfLongTasks is TestSoak with tasks that outlast the time until a client sends its job again, to any
// zone, so that the entry and the scheduler of a job are often lost while it runs.
func TestSoakOfLongTasks(t *testing.T) {
	binary := buildProgram(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoakOf(t, binary, seed, longBehaviour).run() })
	}
}

// longBehaviour returns the options of a worker that draws long run times from a seed, except for the jobs that
// are sent after the last fault.
func longBehaviour(seed uint64) worker.Options {
	options := drawnBehaviour(seed)
	drawn := options.PlanRun
	options.PlanRun = func(task string) (string, time.Duration) {
		outcome, runtime := drawn(task)
		if strings.HasPrefix(task, finalPrefix) {
			return outcome, runtime
		}
		return outcome, runtime * longFactor
	}
	return options
}

// longFactor makes run times of 0.2 to 2 s of those of drawnBehaviour.
const longFactor = 10
