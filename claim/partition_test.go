package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

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
