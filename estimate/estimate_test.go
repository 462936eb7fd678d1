package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// learn feeds tasks of a lognormal run time on upstreams of known speeds.
func learn(e *Estimator, tasks int, hint func(run time.Duration) time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	speeds := map[string]float64{"fast": 1, "half": 0.5, "slow": 0.25}
	names := []string{"fast", "half", "slow"}
	for i := range tasks {
		run := time.Duration(float64(100*time.Millisecond) * math.Exp(0.5*random.NormFloat64()))
		name := names[i%3]
		e.Observe("s", name, hint(run), time.Duration(float64(run)/speeds[name]))
	}
}

func TestSpeedsAreLearned(t *testing.T) {
	e := New(time.Now)
	learn(e, 3000, func(time.Duration) time.Duration { return 0 })
	for name, want := range map[string]float64{"fast": 1, "half": 0.5, "slow": 0.25} {
		if got := e.Speed(name); math.Abs(math.Log(got/want)) > 0.35 {
			t.Errorf("speed of %s is %.2f of %.2f", name, got, want)
		}
	}
	if got := e.Predict("s", 0, time.Hour); got < 70*time.Millisecond || got > 140*time.Millisecond {
		t.Errorf("run time on the fastest is predicted as %s", got)
	}
}

// TestHintsCountOnlyWhereTheyHelp gives hints that are off by a constant factor,
// and hints that say nothing.
func TestHintsCountOnlyWhereTheyHelp(t *testing.T) {
	e := New(time.Now)
	learn(e, 2000, func(run time.Duration) time.Duration { return run * 10 })
	if got := e.Predict("s", 4*time.Second, 0); got < 300*time.Millisecond || got > 520*time.Millisecond {
		t.Errorf("a hint that is ten times too long is taken as %s", got)
	}
	e = New(time.Now)
	random := rand.New(rand.NewPCG(3, 4))
	learn(e, 2000, func(time.Duration) time.Duration {
		return time.Duration(math.Exp(3*random.NormFloat64()) * float64(time.Second))
	})
	if got := e.Predict("s", time.Hour, 0); got > 200*time.Millisecond {
		t.Errorf("a hint that says nothing is taken as %s", got)
	}
}

func TestLessonSparesLearning(t *testing.T) {
	teacher, pupil := New(time.Now), New(time.Now)
	learn(teacher, 2000, func(time.Duration) time.Duration { return 0 })
	pupil.Learn(teacher.Lesson())
	if a, b := teacher.Speed("slow"), pupil.Speed("slow"); math.Abs(a-b) > 1e-9 || !pupil.Known("slow") {
		t.Errorf("speeds %.3f and %.3f", a, b)
	}
}
