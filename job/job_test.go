package job

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/refusal"
)

// newRunningJob returns a job with empty tasks and a deadline in an hour.
func newRunningJob(t *testing.T, tasks int) *Job {
	t.Helper()
	return New(t.Context(), &Job{Tasks: make([]Task, tasks), Deadline: time.Now().Add(time.Hour)})
}

// TestJobCompletesOnlyWithLastAnswer guards against a job that completes before its last
// answer, and against a late second answer of a task that replaces the first.
func TestJobCompletesOnlyWithLastAnswer(t *testing.T) {
	j := newRunningJob(t, 3)
	for i := range 3 {
		if state, answers, _ := j.Result(); state != Running || (len(answers) > 0 && answers[2].Status != 0) {
			t.Fatalf("after %d answers the job is %s", i, state)
		}
		j.FinishTask(i, Answer{Status: 200})
		j.FinishTask(i, Answer{Status: 500}) // a second answer must be ignored
	}
	if state, answers, _ := j.Result(); state != Complete || answers[0].Status != 200 {
		t.Fatalf("after all answers: state %s, answers %v", state, answers)
	}
}

// TestFailReportsNotRunOnlyWithoutStarts guards against the outcome not-run for a job of
// which a task may have started.
func TestFailReportsNotRunOnlyWithoutStarts(t *testing.T) {
	for _, test := range []struct {
		begun, undone int
		want          refusal.Outcome
	}{{0, 0, refusal.NotRun}, {1, 0, refusal.Unknown}, {2, 2, refusal.NotRun}, {2, 1, refusal.Unknown}} {
		j := newRunningJob(t, 3)
		for range test.begun {
			j.BeginTask()
		}
		for range test.undone {
			j.UndoBegin()
		}
		j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		if _, _, r := j.Result(); r.Outcome != test.want {
			t.Errorf("%d begun, %d undone: %s", test.begun, test.undone, r.Outcome)
		}
		if j.BeginTask() {
			t.Error("BeginTask succeeds on a failed job")
		}
	}
}

// TestConcurrentBeginAndFailAgree guards against a race of BeginTask and Fail after
// which a started job is reported as not run, or an unstarted one as unknown.
func TestConcurrentBeginAndFailAgree(t *testing.T) {
	for range 200 {
		j := newRunningJob(t, 1)
		var began bool
		var group sync.WaitGroup
		group.Go(func() { began = j.BeginTask() })
		group.Go(func() { j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled")) })
		group.Wait()
		if _, _, r := j.Result(); began == (r.Outcome == refusal.NotRun) {
			t.Fatalf("BeginTask returned %v, but the outcome is %s", began, r.Outcome)
		}
	}
}

// TestMaxAnswerBytesLimitsAllAnswersTogether guards against a limit that is only checked
// for each answer alone.
func TestMaxAnswerBytesLimitsAllAnswersTogether(t *testing.T) {
	j := New(t.Context(), &Job{Tasks: make([]Task, 2), Deadline: time.Now().Add(time.Hour), MaxAnswerBytes: 10})
	j.FinishTask(0, Answer{Status: 200, Body: make([]byte, 6)})
	j.FinishTask(1, Answer{Status: 200, Body: make([]byte, 6)})
	if state, _, r := j.Result(); state != Failed || r.Kind != refusal.AnswerTooLarge {
		t.Fatalf("after answers over the limit: state %s, refusal %v", state, r)
	}
}

// TestReleaseTasksKeepsCounts guards against tasks freed while the job runs, tasks kept
// after its end, and a progress that is lost with them.
func TestReleaseTasksKeepsCounts(t *testing.T) {
	j := newRunningJob(t, 2)
	j.ReleaseTasks()
	if len(j.TaskList()) != 2 {
		t.Fatal("the tasks of a running job are gone")
	}
	j.FinishTask(0, Answer{Status: 200})
	j.FinishTask(1, Answer{Status: 200})
	j.ReleaseTasks()
	if done, tasks := j.Progress(); j.TaskList() != nil || done != 2 || tasks != 2 {
		t.Fatalf("after the release: %d of %d tasks answered, %d tasks kept", done, tasks, len(j.TaskList()))
	}
}

// TestDeadlineFailsJobAsNotRun guards against a job that outlives its deadline.
func TestDeadlineFailsJobAsNotRun(t *testing.T) {
	j := New(context.Background(), &Job{Tasks: make([]Task, 1), Deadline: time.Now()})
	<-j.Done()
	if _, _, r := j.Result(); r.Kind != refusal.DeadlineExceeded || r.Outcome != refusal.NotRun {
		t.Fatal(r)
	}
}

// TestResultWithholdsAnswersWhileRunning guards against answers returned while the job
// still writes them: a running job must return none, a complete job all.
func TestResultWithholdsAnswersWhileRunning(t *testing.T) {
	j := New(t.Context(), &Job{Deadline: time.Now().Add(time.Minute), Tasks: make([]Task, 2)})
	for i, want := range []struct {
		state   State
		answers int
	}{{Running, 0}, {Complete, 2}} {
		j.FinishTask(i, Answer{Status: 200})
		state, answers, _ := j.Result()
		if state != want.state || len(answers) != want.answers {
			t.Errorf("after %d answers: %s with %d of them, want %s with %d", i+1, state, len(answers), want.state, want.answers)
		}
	}
}

// TestReleaseTasksDropsContext guards against ended jobs that keep their context as long as their key, and against a running
// job that loses its own.
func TestReleaseTasksDropsContext(t *testing.T) {
	j := newRunningJob(t, 1)
	j.ReleaseTasks()
	if j.Context() == endedContext || j.Context().Err() != nil || j.TaskList() == nil {
		t.Fatal("a running job has lost its context or its tasks")
	}
	j.FinishTask(0, Answer{Status: 200})
	j.ReleaseTasks()
	j.ReleaseTasks()
	if j.Context() != endedContext || j.Context().Err() == nil || j.TaskList() != nil {
		t.Error("a job that has ended keeps its context or its tasks")
	}
}
