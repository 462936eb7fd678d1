package job

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/refusal"
)

func running(t *testing.T, tasks int) *Job {
	t.Helper()
	return New(t.Context(), &Job{Tasks: make([]Task, tasks), Deadline: time.Now().Add(time.Hour)})
}

func TestCompleteWithTheLastAnswerOnly(t *testing.T) {
	j := running(t, 3)
	for i := range 3 {
		if state, answers, _ := j.Result(); state != Running || (len(answers) > 0 && answers[2].Status != 0) {
			t.Fatalf("after %d answers the job is %s", i, state)
		}
		j.Finish(i, Answer{Status: 200})
		j.Finish(i, Answer{Status: 500}) // a late second answer changes nothing
	}
	if state, answers, _ := j.Result(); state != Complete || answers[0].Status != 200 {
		t.Fatalf("%s %v", state, answers)
	}
}

func TestNotRunIsToldOnlyWithoutAStart(t *testing.T) {
	for _, test := range []struct {
		begun, undone int
		want          refusal.Outcome
	}{{0, 0, refusal.NotRun}, {1, 0, refusal.Unknown}, {2, 2, refusal.NotRun}, {2, 1, refusal.Unknown}} {
		j := running(t, 3)
		for range test.begun {
			j.Begin()
		}
		for range test.undone {
			j.Undo()
		}
		j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		if _, _, r := j.Result(); r.Outcome != test.want {
			t.Errorf("%d begun, %d undone: %s", test.begun, test.undone, r.Outcome)
		}
		if j.Begin() {
			t.Error("a task of a failed job starts")
		}
	}
}

func TestEndAndStartNeverCross(t *testing.T) {
	for range 200 {
		j := running(t, 1)
		var began bool
		var group sync.WaitGroup
		group.Go(func() { began = j.Begin() })
		group.Go(func() { j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled")) })
		group.Wait()
		if _, _, r := j.Result(); began == (r.Outcome == refusal.NotRun) {
			t.Fatalf("began %v, told %s", began, r.Outcome)
		}
	}
}

func TestRoomBoundsAllAnswersTogether(t *testing.T) {
	j := New(t.Context(), &Job{Tasks: make([]Task, 2), Deadline: time.Now().Add(time.Hour), Room: 10})
	j.Finish(0, Answer{Status: 200, Body: make([]byte, 6)})
	j.Finish(1, Answer{Status: 200, Body: make([]byte, 6)})
	if state, _, r := j.Result(); state != Failed || r.Kind != refusal.AnswerTooLarge {
		t.Fatalf("%s %v", state, r)
	}
}

func TestReleaseKeepsTheCountOnly(t *testing.T) {
	j := running(t, 2)
	j.Release()
	if len(j.List()) != 2 {
		t.Fatal("the tasks of a running job are gone")
	}
	j.Finish(0, Answer{Status: 200})
	j.Finish(1, Answer{Status: 200})
	j.Release()
	if done, tasks := j.Progress(); j.List() != nil || done != 2 || tasks != 2 {
		t.Fatalf("%d of %d, %d tasks kept", done, tasks, len(j.List()))
	}
}

func TestDeadlineEndsTheJob(t *testing.T) {
	j := New(context.Background(), &Job{Tasks: make([]Task, 1), Deadline: time.Now()})
	<-j.Done()
	if _, _, r := j.Result(); r.Kind != refusal.DeadlineExceeded || r.Outcome != refusal.NotRun {
		t.Fatal(r)
	}
}

// TestRunningJobGivesNoAnswers asks a job for its result while answers come in: they
// are given whole once it is complete, and not at all before.
func TestRunningJobGivesNoAnswers(t *testing.T) {
	j := New(t.Context(), &Job{Deadline: time.Now().Add(time.Minute), Tasks: make([]Task, 2)})
	for i, want := range []struct {
		state   State
		answers int
	}{{Running, 0}, {Complete, 2}} {
		j.Finish(i, Answer{Status: 200})
		state, answers, _ := j.Result()
		if state != want.state || len(answers) != want.answers {
			t.Errorf("after %d answers: %s with %d of them, want %s with %d", i+1, state, len(answers), want.state, want.answers)
		}
	}
}
