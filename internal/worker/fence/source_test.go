package fence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTokensRiseAndDiffer draws holders with inaccurate clocks. No two holders may
// share a token, and the tokens of each must increase at every worker.
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

// TestNextEpochExceedsUsedTokens moves a group between VMs whose clocks differ. A
// worker must accept the first token of the next holder, even after the previous one
// has raised its token several times. Otherwise no task starts while the two
// compete for the workers.
func TestNextEpochExceedsUsedTokens(t *testing.T) {
	began := time.Unix(countStart+1000, 0)
	tests := []struct {
		name   string
		after  time.Duration // time since the first claim, by the next holder's clock
		known  bool          // the next holder knows the previous claim
		issued int           // number of tokens that the previous holder issued for a worker
	}{
		{"at once", 2 * time.Millisecond, true, 8},
		{"the clock is behind", -time.Hour, true, 8},
		{"seconds later", 3 * time.Second, true, 40},
		{"all entries have lost power", time.Second, false, 8},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			previous := NextEpoch(0, began)
			first := New(9, previous)
			var last int64
			for range c.issued {
				last = first.Next("w")
			}
			if !c.known {
				previous = 0
			}
			if token := New(3, NextEpoch(previous, began.Add(c.after))).Next("w"); token <= last {
				t.Fatalf("token %d is not above %d", token, last)
			}
		})
	}
}

// TestRaisePassesAnyClock has a holder whose clock is a day behind. It must exceed the
// tokens of the others within a few refusals, or it could not take over a worker.
func TestRaisePassesAnyClock(t *testing.T) {
	ahead := New(1, NextEpoch(0, time.Unix(countStart+10*24*3600, 0))).Next("w")
	behind := New(2, NextEpoch(0, time.Unix(countStart+9*24*3600, 0)))
	for tries := 0; behind.Next("w") < ahead; tries++ {
		if tries > 64 {
			t.Fatal("the token is still below the other one after 64 refusals")
		}
		behind.RaiseBase()
	}
}
