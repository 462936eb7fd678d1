package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/store"
)

// TestClaimAfterAcquire guards against a claim that fails, or does not run build, after a
// repeated Acquire.
func TestClaimAfterAcquire(t *testing.T) {
	s := store.New(store.Options{})
	p := New[int](Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64})
	ctx := context.Background()
	for i := range 3 {
		if err := p.Acquire(ctx); err != nil {
			t.Fatal(err)
		}
		value, claimed, err := p.Claim(ctx, string(rune('a'+i)), "d", func() int { return 7 })
		if err != nil || !claimed || value != 7 {
			t.Fatalf("claim %d: value %d, claimed %v, error %v", i, value, claimed, err)
		}
	}
}

// newPair returns two processes, a and b, on the same partition.
func newPair(s *store.Store) (*Partition[int], *Partition[int]) {
	a := New[int](Options{Log: s.Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64, FailureBackoff: time.Nanosecond})
	b := New[int](Options{Log: s.Log("claims-0"), Owner: "b~2", Nonce: rand.Uint64, FailureBackoff: time.Nanosecond})
	return a, b
}

// TestDiscardedClaimKeepsCompetingClaim guards against a second start of a key: b
// loses the partition to a while its own claim of the key is under way. b discards
// that claim, but must remember a's claim when it owns the partition again.
func TestDiscardedClaimKeepsCompetingClaim(t *testing.T) {
	s := store.New(store.Options{})
	a, b := newPair(s)
	ctx := context.Background()
	if err := b.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if err := a.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if _, claimed, err := a.Claim(ctx, "x", "d", func() int { return 1 }); err != nil || !claimed {
		t.Fatalf("claim of a: claimed %v, error %v", claimed, err)
	}
	var notOwner *NotOwnerError
	if _, _, err := b.Claim(ctx, "x", "d", func() int { return 2 }); !errors.As(err, &notOwner) {
		t.Fatalf("b claims without owning: %v", err)
	}
	if err := b.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	var claimedByOther *ClaimedByOtherError
	if _, _, err := b.Claim(ctx, "x", "d", func() int { return 3 }); !errors.As(err, &claimedByOther) || claimedByOther.Owner != "a~1" {
		t.Fatalf("b claims a key that a has claimed: %v", err)
	}
}

// TestClaimGoesOnWithoutItsCaller guards against a refusal that calls a job not run although it
// starts: the caller leaves while the log still writes the claim.
func TestClaimGoesOnWithoutItsCaller(t *testing.T) {
	s := store.New(store.Options{})
	a, _ := newPair(s)
	if err := a.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	log := a.options.Log
	write := make(chan struct{})
	slow := log
	slow.Append = func(ctx context.Context, data []byte) (int64, error) {
		<-write
		return log.Append(ctx, data)
	}
	a.options.Log = slow
	ctx, leave := context.WithCancel(t.Context())
	started := make(chan struct{})
	leave()
	_, claimed, err := a.Claim(ctx, "x", "d", func() int { close(started); return 1 })
	var undecided *UndecidedError
	var notConfirmed *LogError
	if !errors.As(err, &undecided) || errors.As(err, &notConfirmed) || claimed {
		t.Errorf("claimed %v, error %v; want an error that leaves it open whether the job starts", claimed, err)
	}
	close(write)
	<-started
	if value, known, err := a.Get(t.Context(), "x"); value != 1 || !known || err != nil {
		t.Errorf("value %d, known %v, error %v; want the job of the caller that left", value, known, err)
	}
}

// TestCallerThatLeavesDuringAcquireFailsNoOthers guards against claims that are refused for a second
// although the log works: the caller for which a partition is acquired leaves during the append.
func TestCallerThatLeavesDuringAcquireFailsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		log := s.Log("claims-0")
		slow := log
		slow.Append = func(ctx context.Context, data []byte) (int64, error) {
			if !wait.For(ctx, 50*time.Millisecond) {
				return 0, &platform.Error{Call: "append", Uncertain: true, Cause: ctx.Err()}
			}
			return log.Append(ctx, data)
		}
		p := New[int](Options{Log: slow, Owner: "a~1", Nonce: rand.Uint64})
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer leave()
		began := time.Now()
		var notAcquired *LogError
		if err := p.Acquire(ctx); !errors.As(err, &notAcquired) || time.Since(began) != 10*time.Millisecond {
			t.Fatalf("the caller that leaves gets %v after %s", err, time.Since(began))
		}
		time.Sleep(100 * time.Millisecond) // a wait for a mutex would stop the time of the test
		if err := p.Acquire(t.Context()); err != nil {
			t.Fatalf("the next caller gets %v", err)
		}
		if _, claimed, err := p.Claim(t.Context(), "x", "d", func() int { return 1 }); !claimed || err != nil {
			t.Fatalf("claimed %v, error %v", claimed, err)
		}
	})
}

// TestReplayEndsWhenTheLogContradictsItself guards against a loop without a pause: the log
// calls an offset truncated and names a first offset that is not higher.
func TestReplayEndsWhenTheLogContradictsItself(t *testing.T) {
	s := store.New(store.Options{})
	a, _ := newPair(s)
	reads := 0
	a.options.Log.Read = func(_ context.Context, from int64, _ time.Duration) (platform.Page, error) {
		if reads++; reads > 100 {
			return platform.Page{}, errors.New("read over and over")
		}
		return platform.Page{}, &platform.TruncatedError{FirstOffset: from}
	}
	var loop *LoopError
	if err := a.Acquire(t.Context()); !errors.As(err, &loop) || reads != 1 {
		t.Errorf("error %v after %d reads, want a contradiction after one", err, reads)
	}
}

// TestClaimsResumeOneSecondAfterAFailedAppend guards against claims that are refused for long after
// an outage of the log, and against claims that each wait for a log that is down.
func TestClaimsResumeOneSecondAfterAFailedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		log, appends := s.Log("claims-0"), 0
		counted := log
		counted.Append = func(ctx context.Context, data []byte) (int64, error) {
			appends++
			return log.Append(ctx, data)
		}
		p := New[int](Options{Log: counted, Owner: "a~1", Nonce: rand.Uint64})
		claim := func(key string) error {
			_, _, err := p.Claim(t.Context(), key, "d", func() int { return 1 })
			return err
		}
		if err := p.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.SetFaults(store.Faults{Outage: true})
		var failed *LogError
		if err := claim("x"); !errors.As(err, &failed) {
			t.Fatalf("error %v during the outage, want that of the log", err)
		}
		s.SetFaults(store.Faults{})
		appends = 0
		time.Sleep(time.Second - time.Millisecond)
		if err := claim("x"); !errors.As(err, &failed) || appends > 0 {
			t.Errorf("error %v and %d appends within a second, want the error of the log and none", err, appends)
		}
		time.Sleep(time.Millisecond)
		if err := claim("x"); err != nil {
			t.Errorf("error %v after a second, want none", err)
		}
	})
}

// TestKeyRoom guards against a partition that ignores how many keys others leave to it, and against expired keys that still
// count after Expire.
func TestKeyRoom(t *testing.T) {
	now, held, room := time.Unix(0, 0), 0, 2
	p := New[int](Options{
		Log: store.New(store.Options{}).Log("claims-0"), Owner: "a~1", Nonce: rand.Uint64, KeyRetention: time.Minute,
		Now: func() time.Time { return now }, KeyRoom: func(count int) int {
			held = count
			return room
		},
	})
	if err := p.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{1, 2, 2} {
		_, claimed, err := p.Claim(t.Context(), string(rune('a'+i)), "d", func() int { return 7 })
		var full *FullError
		if held != want || claimed != (i < room) || errors.As(err, &full) == claimed {
			t.Errorf("key %d: claimed %v, error %v, %d held; want %d held", i, claimed, err, held, want)
		}
	}
	now = now.Add(time.Minute)
	if p.Expire(); held != 0 {
		t.Errorf("%d keys count after their retention, want 0", held)
	}
}
