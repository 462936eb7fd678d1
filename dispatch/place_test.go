package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestJobResponseStaysNearIdeal guards against placements that leave fast slots
// idle or put long tasks on slow ones, and against more tasks on an upstream than
// it has slots. It runs one job at a time on upstreams whose speeds differ
// fourfold. Virtual time makes the ratios reproducible.
func TestJobResponseStaysNearIdeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0.5, 0.25, 0.75, 1, 0.5)
		f.learnSpeeds()
		random := rand.New(rand.NewPCG(1, 1))
		rate := 0.0
		for _, speed := range f.speeds {
			rate += 4 * speed
		}
		var ratios []float64
		for range 40 {
			var runs []time.Duration
			var total, longest time.Duration
			for range 20 + random.IntN(200) {
				run := time.Duration(80 * math.Exp(0.5*random.NormFloat64()) * float64(time.Millisecond))
				runs, total, longest = append(runs, run), total+run, max(longest, run)
			}
			j := f.submit(f.job("a", "once", time.Minute, runs...))
			<-j.Done()
			ideal := max(longest, time.Duration(float64(total)/rate))
			ratios = append(ratios, float64(time.Since(j.ArrivedAt))/float64(ideal))
			time.Sleep(time.Second)
		}
		slices.Sort(ratios)
		if median, worst := ratios[20], ratios[39]; median > 1.15 || worst > 1.6 {
			t.Errorf("response against the ideal: p50 %.3f, worst of 40 %.3f", median, worst)
		}
		for name, maxBusy := range f.maxBusy {
			if maxBusy > 4 {
				t.Errorf("%s had %d tasks in 4 slots", name, maxBusy)
			}
		}
	})
}

// TestNewJobWaitsForLoans guards against long tasks of a new job that start on
// slow slots while faster ones are about to be borrowed. The entry holds only
// slots of a slow upstream; fast ones arrive from a peer a millisecond later.
func TestNewJobWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0.25)
		f.learnSpeeds()
		f.WaitIdle()
		f.ledger.SetHomeSlots("u0", 0)
		f.starts = nil
		j := f.submit(f.job("a", "once", time.Minute, runtimes(4, 100*time.Millisecond)...))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		f.ledger.SetHomeSlots("u0", 4)
		f.ledger.ActivateGained("u0")
		f.Schedule()
		<-j.Done()
		if took := time.Since(j.ArrivedAt); f.startsOf("u1") != 0 || took > 110*time.Millisecond {
			t.Errorf("%d tasks of 100 ms started on a slow slot, the job took %s", f.startsOf("u1"), took)
		}
	})
}

// TestNewJobRunsWithoutLoans guards against a job that keeps waiting for loans
// when no peer has slots to lend.
func TestNewJobRunsWithoutLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0.25)
		f.learnSpeeds()
		f.WaitIdle()
		f.ledger.SetHomeSlots("u0", 0)
		j := f.submit(f.job("a", "once", time.Minute, runtimes(4, 100*time.Millisecond)...))
		<-j.Done()
		if took := time.Since(j.ArrivedAt); took > 400*time.Millisecond+2*loanAnswerTime {
			t.Errorf("without peers the job took %s", took)
		}
	})
}

// TestTasksWithUncertainHintsAvoidSlowUpstreams guards against tasks whose hint is
// far too short and that start on a slow upstream, where the error costs most.
// With unreliable hints the task must wait for a busy fast slot instead, although
// it is expected to finish slightly later there.
func TestTasksWithUncertainHintsAvoidSlowUpstreams(t *testing.T) {
	for _, test := range []struct {
		name       string
		hintError  float64
		slowStarts int
	}{{"exact hints", 0, 1}, {"hints off by a half", 0.5, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1, 0.5)
				random := rand.New(rand.NewPCG(1, 1))
				for range 600 {
					hint := time.Duration(float64(100*time.Millisecond) * math.Exp(test.hintError*random.NormFloat64()))
					f.options.Estimator.Observe("once", "u0", hint, 100*time.Millisecond)
					f.options.Estimator.Observe("once", "u1", hint, 200*time.Millisecond)
				}
				running := f.submit(f.job("a", "once", time.Minute, runtimes(4, 120*time.Millisecond)...))
				synctest.Wait()
				f.starts = nil
				j := f.submit(f.job("a", "once", time.Minute, 100*time.Millisecond))
				<-j.Done()
				<-running.Done()
				if got := f.startsOf("u1"); got != test.slowStarts {
					t.Errorf("%d starts on the slow upstream", got)
				}
			})
		})
	}
}
