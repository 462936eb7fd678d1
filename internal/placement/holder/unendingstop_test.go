package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// TestRunThatIsNotStoppedCausesNoRepeatedStarts guards against starts that are ordered over and over: the
// entry of a run is lost, the stops of the run have no effect for some time, and another job waits
// for room on the same worker, whose lease must not be renewed meanwhile.
func TestRunThatIsNotStoppedCausesNoRepeatedStarts(t *testing.T) {
	const maxRun = 3 // run numbers that the task of the waiting job may use up
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var stops atomic.Bool
		var lastRun atomic.Int64
		b := newChangedBench(ctx, func(o *Options) {
			start, stop := o.Calls.Start, o.Calls.Stop
			o.Calls.Start = func(ctx context.Context, to platform.Target, r platform.StartRequest) (platform.Report, error) {
				lastRun.Store(max(lastRun.Load(), int64(r.Run)))
				return start(ctx, to, r)
			}
			o.Calls.Stop = func(ctx context.Context, to platform.Target, task string, run int, token int64) (platform.Report, error) {
				if !stops.Load() {
					return platform.Report{Verdict: platform.Accepted}, nil
				}
				return stop(ctx, to, task, run, token)
			}
		})
		b.workers["w1"].runtime = 20 * time.Second
		step := batch.Step{Resources: resources.Resources{MilliCores: 500, MemoryMB: 10}}
		b.admitTask(step)
		time.Sleep(1250 * time.Millisecond)
		b.admitTask(step)
		b.keepAsking(300*time.Millisecond, func() bool { return false })
		stops.Store(true)
		b.keepAsking(time.Second, func() bool { return false })
		if got := lastRun.Load(); got > maxRun {
			t.Errorf("run number %d, want at most %d", got, maxRun)
		}
		cancel()
		b.Wait()
	})
}
