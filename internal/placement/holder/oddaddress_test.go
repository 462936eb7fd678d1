package holder

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// TestOddAddressEndsNoContact guards against the end of a run on a live worker: another writer
// leaves a registration under the worker's ID with another address, and the next true one is read
// after more than a lease. An address at which the worker answers is its own until it stops to.
func TestOddAddressEndsNoContact(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *platform.Registration)
	}{
		{"another address", func(r *platform.Registration) { r.Address = "w2" }},
		{"another address and a later start", func(r *platform.Registration) { r.Address, r.StartUnixMilli = "w2", r.StartUnixMilli+1000 }},
		{"another address and no start", func(r *platform.Registration) { r.Address, r.StartUnixMilli = "w2", 0 }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newChangedBench(ctx, rejectOddAddresses)
				b.workers["w1"].runtime = 3 * time.Second
				b.jobs++
				b.Admit(oneTask(fmt.Sprintf("%016x", b.jobs), 3*time.Second), nil)
				time.Sleep(20 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				time.Sleep(20 * time.Millisecond)
				odd := b.workers["w1"].registration("w1")
				c.change(&odd)
				for range 2 { // registrations are read again and again
					b.AddWorker(odd)
					b.keepAsking(900*time.Millisecond, func() bool { return false })
				}
				b.AddWorker(b.workers["w1"].registration("w1"))
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first != 1 || second != 0 {
					t.Errorf("%d starts on the worker and %d on the other, want one in all", first, second)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestNewAddressIsCalledOnceTheOldOneIsSilent guards against a worker that gets no work: it has
// started again at another address, which its registration states while a call to the old one is
// still pending.
func TestNewAddressIsCalledOnceTheOldOneIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var moved atomic.Bool
		b := newChangedBench(ctx, func(o *Options) {
			hold := o.Calls.Hold
			o.Calls.Hold = func(ctx context.Context, to platform.Target, request platform.HoldRequest) (platform.Report, error) {
				if moved.Load() && to.Address == "w1" {
					<-ctx.Done()
					return platform.Report{}, ctx.Err()
				}
				return hold(ctx, to, request)
			}
		})
		moved.Store(true)
		time.Sleep(100 * time.Millisecond)
		b.workers["w1"].restart()
		for range 4 {
			r := b.workers["w1"].registration("w1")
			r.Address = "w3"
			b.AddWorker(r)
			time.Sleep(time.Second)
		}
		b.admit()
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed", r.State, r.Reason)
		}
		cancel()
		b.Wait()
	})
}
