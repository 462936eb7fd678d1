package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// TestOddRegistrationKeepsRuns guards against a second start of a task whose run is alive: another
// writer leaves a registration under the ID of its worker with the address of another one, which
// answers that it is not meant. That proves nothing about the worker at its true address.
func TestOddRegistrationKeepsRuns(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *platform.Registration)
	}{
		{"another address", func(r *platform.Registration) { r.Address = "w2" }},
		{"another address and a later start", func(r *platform.Registration) { r.Address, r.StartUnixMilli = "w2", r.StartUnixMilli+1000 }},
		{"another address and no start", func(r *platform.Registration) { r.Address, r.StartUnixMilli = "w2", 0 }},
		{"a later start", func(r *platform.Registration) { r.StartUnixMilli = 7e12 }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newChangedBench(ctx, rejectOddAddresses)
				b.workers["w1"].runtime = 400 * time.Millisecond
				b.admit()
				time.Sleep(20 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				time.Sleep(20 * time.Millisecond)
				odd := b.workers["w1"].registration("w1")
				c.change(&odd)
				b.AddWorker(odd)
				time.Sleep(20 * time.Millisecond)
				b.AddWorker(b.workers["w1"].registration("w1"))
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != 1 || len(b.overlapping) > 0 {
					t.Errorf("%d starts on the worker and %d on the other, want one in all; two runs at a time: %v", first, second, b.overlapping)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestOddWorkerDelaysNoHandOver guards against a group that a small entry never hands over to a
// large one, since another writer registered a worker that has never answered.
func TestOddWorkerDelaysNoHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recorder{silentAt: func(worker string) bool { return worker == "odd" }}
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		h.AddWorker(registeredWorker("odd"))
		time.Sleep(time.Minute)
		if !h.AllWorkersReady() {
			t.Error("the group is not handed over after a minute")
		}
		cancel()
		h.Wait()
	})
}

// rejectOddAddresses lets a worker of the bench answer a hold for another worker that it is not
// meant. The address of each worker is its ID.
func rejectOddAddresses(o *Options) {
	hold := o.Calls.Hold
	o.Calls.Hold = func(ctx context.Context, to platform.Target, request platform.HoldRequest) (platform.Report, error) {
		if to.ID != to.Address {
			return platform.Report{Verdict: platform.OtherIncarnation}, nil
		}
		return hold(ctx, to, request)
	}
}
