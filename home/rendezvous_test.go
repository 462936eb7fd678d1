package home

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestJoiningMemberMovesOnlyItsOwnKeys guards against keys without a home and against
// keys that move between old members when another one joins.
func TestJoiningMemberMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members MemberSet
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			members.Members = append(members.Members, Member{ID: fmt.Sprint("e", i), Weight: rapid.Float64Range(0.5, 8).Draw(t, "weight")})
		}
		withNew := MemberSet{Members: append(append([]Member(nil), members.Members...), Member{ID: "new", Weight: 2})}
		for i := range 200 {
			key := fmt.Sprint("u", i)
			before, after := members.HomeOf(key), withNew.HomeOf(key)
			if before == "" || (after != before && after != "new") {
				t.Fatalf("key %s moves from %s to %s when another joins", key, before, after)
			}
		}
	})
}

// TestSharesMatchWeights guards against shares of the keys that are not proportional to
// the weights.
func TestSharesMatchWeights(t *testing.T) {
	members := MemberSet{Members: []Member{{"a", 1}, {"b", 2}, {"c", 5}}}
	got := map[string]float64{}
	const keys = 40_000
	for i := range keys {
		got[members.HomeOf(fmt.Sprint(i))] += 8.0 / keys
	}
	for _, m := range members.Members {
		if math.Abs(got[m.ID]-m.Weight) > 0.1 {
			t.Errorf("%s has a share of %.2f eighths for weight %g", m.ID, got[m.ID], m.Weight)
		}
	}
}
