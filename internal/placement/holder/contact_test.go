package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestJobOfAnUnheardHolderWaitsForItsLastLease guards against a second start of a task: an earlier
// holder, which is not heard, may have renewed the lease of a silent worker until it abandoned the
// job, 1.2 s after it was in contact with other entries for the last time, and was lost then.
func TestJobOfAnUnheardHolderWaitsForItsLastLease(t *testing.T) {
	for _, unheard := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := &recorder{silentAt: func(worker string) bool { return worker == "w2" }}
			o := testOptions(WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, nil)
			contact := time.Now()
			o.MayBeReplaced = func() bool { return unheard }
			o.LastContact = func() time.Time { return contact }
			h := New(ctx, o)
			h.AddWorker(registeredWorker("w1"))
			h.AddWorker(registeredWorker("w2"))
			time.Sleep(50 * time.Millisecond)
			const id = "0000000000000001"
			b := oneTask(id, 100*time.Millisecond)
			b.MaybeStarted = true
			h.Admit(b, nil)
			for time.Since(contact) < 4*time.Second && len(r.sent()) == 0 {
				time.Sleep(10 * time.Millisecond)
				h.KeepAlive([]string{id}, time.Now())
			}
			earliest := 50*time.Millisecond + o.ClientRetryAfter // the earlier holder has abandoned the job, as usual
			if unheard {
				earliest = o.ClientRetryAfter + o.Lease
			}
			sent := r.sent()
			if len(sent) != 1 {
				t.Fatalf("another entry is not heard %v: %d starts, want 1", unheard, len(sent))
			}
			if after := sent[0].at.Sub(contact); after < earliest || after > earliest+150*time.Millisecond {
				t.Errorf("another entry is not heard %v: started after %v, want %v", unheard, after, earliest)
			}
			cancel()
			h.Wait()
		})
	}
}
