package fence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTokensRiseAndDiffer draws holders and clocks that are off: no two holders
// share a token, and each one's rise.
func TestTokensRiseAndDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := map[int64]uint64{}
		for holder := range rapid.Uint64Range(2, 6).Draw(t, "holders") {
			s := New(holder, time.Unix(epoch+int64(rapid.IntRange(-5, 5).Draw(t, "off")), 0))
			last := int64(0)
			for range 20 {
				if rapid.Bool().Draw(t, "raise") {
					s.Raise()
				}
				token := s.Next()
				if token <= last || token >= 1<<53 {
					t.Fatalf("token %d after %d", token, last)
				}
				if other, taken := owner[token]; taken && other != holder {
					t.Fatalf("holders %d and %d share %d", other, holder, token)
				}
				owner[token], last = holder, token
			}
		}
	})
}

// TestRaisePassesAnyClock has a holder whose clock is a day behind: it passes
// the others' tokens within a few refusals.
func TestRaisePassesAnyClock(t *testing.T) {
	ahead := New(1, time.Unix(epoch+10*24*3600, 0)).Next()
	behind := New(2, time.Unix(epoch+9*24*3600, 0))
	for tries := 0; behind.Next() < ahead; tries++ {
		if tries > 64 {
			t.Fatal("64 refusals and still behind")
		}
		behind.Raise()
	}
}
