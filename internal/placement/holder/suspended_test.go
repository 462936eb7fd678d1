package holder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// TestLeaseEndsWithTheInterestByTheClockOfTheWorker loses an entry right after it has handed a job over.
// No lease of the worker that runs it may end later than the client sends the job again, to another
// group, also if the VM of the holder is suspended for less than others notice: its own clock stands
// still then, and that of the worker goes on.
func TestLeaseEndsWithTheInterestByTheClockOfTheWorker(t *testing.T) {
	const margin = 60 * time.Millisecond // to end a run whose lease has expired
	firstTask := batch.TaskName("0000000000000001", 0, 0, 0)
	tests := []struct {
		name      string
		suspended time.Duration
	}{
		{"the VM of the holder goes on", 0},
		{"the VM of the holder is suspended", 500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				var ahead, last int64 // ms
				w := newRestartingWorker()
				w.runtime = 10 * time.Second
				note := func(leaseEnd int64) {
					mu.Lock()
					defer mu.Unlock()
					last = max(last, leaseEnd)
				}
				stated := func(r platform.Report, err error) (platform.Report, error) {
					mu.Lock()
					defer mu.Unlock()
					r.ClockMilli += ahead
					return r, err
				}
				b := newBenchOf(ctx, w, func(o *Options) {
					start, hold := o.Calls.Start, o.Calls.Hold
					o.Calls.Start = func(ctx context.Context, to platform.Target, r platform.StartRequest) (platform.Report, error) {
						note(r.LeaseEnd)
						return stated(start(ctx, to, r))
					}
					o.Calls.Hold = func(ctx context.Context, to platform.Target, r platform.HoldRequest) (platform.Report, error) {
						if w.runs(firstTask) {
							note(r.LeaseEnd)
						}
						return stated(hold(ctx, to, r))
					}
				})
				w.mu.Lock()
				askedAt := w.current.clockMilli()
				w.mu.Unlock()
				b.admit()
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				ahead = c.suspended.Milliseconds()
				mu.Unlock()
				time.Sleep(3 * time.Second)
				cancel()
				b.Wait()
				latest := askedAt + (b.options.ClientRetryAfter - margin).Milliseconds()
				if last > latest {
					t.Errorf("a lease ends %d ms too late", last-latest)
				}
			})
		})
	}
}
