package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// observeTasks records tasks with lognormal run times on upstreams of speeds 1, 0.5
// and 0.25. hint returns the hint for a task from its run time at speed 1.
func observeTasks(e *Estimator, tasks int, hint func(run time.Duration) time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	speeds := map[string]float64{"fast": 1, "half": 0.5, "slow": 0.25}
	names := []string{"fast", "half", "slow"}
	for i := range tasks {
		run := time.Duration(float64(100*time.Millisecond) * math.Exp(0.5*random.NormFloat64()))
		name := names[i%3]
		e.Observe("s", name, hint(run), time.Duration(float64(run)/speeds[name]))
	}
}

// TestSpeedsAreLearned checks that the estimates separate the speed of an upstream
// from the run time of the service.
func TestSpeedsAreLearned(t *testing.T) {
	e := New(time.Now)
	observeTasks(e, 3000, func(time.Duration) time.Duration { return 0 })
	for name, want := range map[string]float64{"fast": 1, "half": 0.5, "slow": 0.25} {
		if got := e.Speed(name); math.Abs(math.Log(got/want)) > 0.35 {
			t.Errorf("speed of %s is estimated as %.2f, want %.2f", name, got, want)
		}
	}
	if got := e.Predict("s", 0, time.Hour); got < 70*time.Millisecond || got > 140*time.Millisecond {
		t.Errorf("run time on the fastest upstream is predicted as %s, want about 100 ms", got)
	}
}

// TestHintsAreScaledOrIgnored checks that hints which are wrong by a constant factor
// are scaled, and that hints unrelated to the run time are ignored.
func TestHintsAreScaledOrIgnored(t *testing.T) {
	e := New(time.Now)
	observeTasks(e, 2000, func(run time.Duration) time.Duration { return run * 10 })
	if got := e.Predict("s", 4*time.Second, 0); got < 300*time.Millisecond || got > 520*time.Millisecond {
		t.Errorf("with hints ten times too long, a hint of 4 s gives a prediction of %s, want about 400 ms", got)
	}
	e = New(time.Now)
	random := rand.New(rand.NewPCG(3, 4))
	observeTasks(e, 2000, func(time.Duration) time.Duration {
		return time.Duration(math.Exp(3*random.NormFloat64()) * float64(time.Second))
	})
	if got := e.Predict("s", time.Hour, 0); got > 200*time.Millisecond {
		t.Errorf("with random hints, a hint of 1 h gives a prediction of %s, want about 100 ms", got)
	}
}

// TestMergedSnapshotProvidesSpeeds checks that a new estimator has all speeds of a
// snapshot after a merge.
func TestMergedSnapshotProvidesSpeeds(t *testing.T) {
	source, target := New(time.Now), New(time.Now)
	observeTasks(source, 2000, func(time.Duration) time.Duration { return 0 })
	target.Merge(source.Snapshot())
	if a, b := source.Speed("slow"), target.Speed("slow"); math.Abs(a-b) > 1e-9 || !target.HasSpeed("slow") {
		t.Errorf("speed of slow is %.3f in the source and %.3f after the merge", a, b)
	}
}

// TestEightTasksPerUpstreamEstimateSpeeds checks that the tasks of one job suffice for
// useful speeds, since the next job is placed by them. The tasks of the fast
// upstreams finish first.
func TestEightTasksPerUpstreamEstimateSpeeds(t *testing.T) {
	e := New(time.Now)
	random := rand.New(rand.NewPCG(5, 6))
	speeds := []float64{1, 0.75, 0.5, 0.25}
	for upstream, speed := range speeds {
		for range 8 {
			run := time.Duration(float64(80*time.Millisecond) * math.Exp(0.5*random.NormFloat64()))
			hint := time.Duration(float64(run) * math.Exp(0.2*random.NormFloat64()))
			e.Observe("s", string(rune('a'+upstream)), hint, time.Duration(float64(run)/speed))
		}
	}
	for upstream, want := range speeds {
		got := e.Speed(string(rune('a' + upstream)))
		if math.Abs(math.Log(got/want)) > 0.25 {
			t.Errorf("an upstream of speed %.2f is estimated at %.2f", want, got)
		}
	}
}

// TestMergeConvertsSpeedScale merges a snapshot into an estimator that knows only a
// slow upstream and so has another reference speed.
func TestMergeConvertsSpeedScale(t *testing.T) {
	source, target := New(time.Now), New(time.Now)
	hint := func(run time.Duration) time.Duration { return run }
	observeTasks(source, 300, hint)
	for range 50 {
		target.Observe("s", "slow", 100*time.Millisecond, 400*time.Millisecond)
	}
	if target.SpeedCount() >= source.SpeedCount() {
		t.Fatalf("before the merge the target knows %d speeds, the source %d", target.SpeedCount(), source.SpeedCount())
	}
	target.Merge(source.Snapshot())
	for _, name := range []string{"fast", "half", "slow"} {
		if a, b := source.Speed(name), target.Speed(name); math.Abs(math.Log(a/b)) > 0.1 {
			t.Errorf("speed of %s is %.2f in the source and %.2f after the merge", name, a, b)
		}
	}
	if got := target.Predict("s", 100*time.Millisecond, 0); got < 90*time.Millisecond || got > 110*time.Millisecond {
		t.Errorf("a task of 100 ms is predicted to take %s", got)
	}
}

// TestLatenessFactorGrowsWithHintErrors compares exact hints with hints that are
// wrong by a random factor.
func TestLatenessFactorGrowsWithHintErrors(t *testing.T) {
	exact, inexact := New(time.Now), New(time.Now)
	random := rand.New(rand.NewPCG(7, 8))
	observeTasks(exact, 1000, func(run time.Duration) time.Duration { return run })
	observeTasks(inexact, 1000, func(run time.Duration) time.Duration {
		return time.Duration(float64(run) * math.Exp(0.3*random.NormFloat64()))
	})
	a, b := exact.LatenessFactor("s", time.Second), inexact.LatenessFactor("s", time.Second)
	if a > 1.1 || b < 1.3 || b > 2.5 {
		t.Errorf("lateness factor is %.2f with exact hints and %.2f with inexact ones", a, b)
	}
}
