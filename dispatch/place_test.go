package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestJobAgainstTheIdeal runs jobs alone on upstreams whose speeds differ
// fourfold. Time is virtual, so that the ratios are the same in every run.
func TestJobAgainstTheIdeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.5, 0.25, 0.75, 1, 0.5)
		b.warm()
		random := rand.New(rand.NewPCG(1, 1))
		rate := 0.0
		for _, speed := range b.speeds {
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
			j := b.submit(b.job("a", "once", time.Minute, runs...))
			<-j.Done()
			ideal := max(longest, time.Duration(float64(total)/rate))
			ratios = append(ratios, float64(time.Since(j.Arrived))/float64(ideal))
			time.Sleep(time.Second)
		}
		slices.Sort(ratios)
		if half, most := ratios[20], ratios[39]; half > 1.15 || most > 1.6 {
			t.Errorf("response against the ideal: p50 %.3f, worst of 40 %.3f", half, most)
		}
		for name, peak := range b.peak {
			if peak > 4 {
				t.Errorf("%s had %d tasks in 4 slots", name, peak)
			}
		}
	})
}

// TestNewJobWaitsForLoans gives a job to an entry that is home to a slow upstream
// only. Its peer's slots on fast ones come a millisecond later: no long task may
// have begun on a slow slot by then.
func TestNewJobWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.25)
		b.warm()
		b.Idle()
		b.ledger.SetHomeSlots("u0", 0)
		b.starts = nil
		j := b.submit(b.job("a", "once", time.Minute, repeat(4, 100*time.Millisecond)...))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		b.ledger.SetHomeSlots("u0", 4)
		b.ledger.ActivateGained("u0")
		b.Kick()
		<-j.Done()
		if late := time.Since(j.Arrived); b.startsOf("u1") != 0 || late > 110*time.Millisecond {
			t.Errorf("%d tasks of 100 ms began on a slow slot, the job took %s", b.startsOf("u1"), late)
		}
	})
}

// TestNewJobDoesNotWaitLong is the same without loans that come.
func TestNewJobDoesNotWaitLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.25)
		b.warm()
		b.Idle()
		b.ledger.SetHomeSlots("u0", 0)
		j := b.submit(b.job("a", "once", time.Minute, repeat(4, 100*time.Millisecond)...))
		<-j.Done()
		if late := time.Since(j.Arrived); late > 400*time.Millisecond+2*answerSpan {
			t.Errorf("without peers the job took %s", late)
		}
	})
}

// TestUncertainTasksKeepOffSlowUpstreams has one task whose hint may be far too
// short. It waits for a fast slot, which is expected to end it a little later.
func TestUncertainTasksKeepOffSlowUpstreams(t *testing.T) {
	for _, test := range []struct {
		name string
		gap  float64
		slow int
	}{{"exact hints", 0, 1}, {"hints off by a half", 0.5, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1, 0.5)
				random := rand.New(rand.NewPCG(1, 1))
				for range 600 {
					hint := time.Duration(float64(100*time.Millisecond) * math.Exp(test.gap*random.NormFloat64()))
					b.options.Estimator.Observe("once", "u0", hint, 100*time.Millisecond)
					b.options.Estimator.Observe("once", "u1", hint, 200*time.Millisecond)
				}
				running := b.submit(b.job("a", "once", time.Minute, repeat(4, 120*time.Millisecond)...))
				synctest.Wait()
				b.starts = nil
				j := b.submit(b.job("a", "once", time.Minute, 100*time.Millisecond))
				<-j.Done()
				<-running.Done()
				if got := b.startsOf("u1"); got != test.slow {
					t.Errorf("%d starts on the slow upstream", got)
				}
			})
		})
	}
}
