package fence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTokensRiseAndDiffer draws holders and clocks that are off: no two holders
// share a token, and each one's rise at every worker.
func TestTokensRiseAndDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := map[int64]uint64{}
		for holder := range rapid.Uint64Range(2, 6).Draw(t, "holders") {
			s := New(holder, NextEpoch(0, time.Unix(countStart+int64(rapid.IntRange(-5, 5).Draw(t, "off")), 0)))
			last := map[string]int64{}
			for range 20 {
				if rapid.Bool().Draw(t, "raise") {
					s.RaiseBase()
				}
				worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
				token := s.Next(worker)
				if token <= last[worker] || token >= 1<<53 {
					t.Fatalf("token %d after %d", token, last[worker])
				}
				if other, taken := owner[token]; taken && other != holder {
					t.Fatalf("holders %d and %d share %d", other, holder, token)
				}
				owner[token], last[worker] = holder, token
			}
		}
	})
}

// TestNextClaimIsAbove has a group change hands between VMs whose clocks differ.
// A worker must take the first token of the next holder though the one before has
// fenced it several times, or the group stands still while the two dispute.
func TestNextEpochExceedsUsedTokens(t *testing.T) {
	began := time.Unix(countStart+1000, 0)
	tests := []struct {
		name  string
		after time.Duration // by the next holder's clock
		known bool          // the claim before is known
		fence int           // times that the one before fenced a worker
	}{
		{"at once", 2 * time.Millisecond, true, 8},
		{"a clock that is behind", -time.Hour, true, 8},
		{"seconds later", 3 * time.Second, true, 40},
		{"all entries have lost power", time.Second, false, 8},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			before := NextEpoch(0, began)
			first := New(9, before)
			var last int64
			for range c.fence {
				last = first.Next("w")
			}
			if !c.known {
				before = 0
			}
			if token := New(3, NextEpoch(before, began.Add(c.after))).Next("w"); token <= last {
				t.Fatalf("token %d is not above %d", token, last)
			}
		})
	}
}

// TestRaisePassesAnyClock has a holder whose clock is a day behind: it passes
// the others' tokens within a few refusals.
func TestRaisePassesAnyClock(t *testing.T) {
	ahead := New(1, NextEpoch(0, time.Unix(countStart+10*24*3600, 0))).Next("w")
	behind := New(2, NextEpoch(0, time.Unix(countStart+9*24*3600, 0)))
	for tries := 0; behind.Next("w") < ahead; tries++ {
		if tries > 64 {
			t.Fatal("64 refusals and still behind")
		}
		behind.RaiseBase()
	}
}
