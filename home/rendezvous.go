// Package home assigns each slot of an upstream to one entry, its home, by weighted
// rendezvous hashing.
package home

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that can be a home. Its share of the keys is proportional to its
// weight; with a weight of 0 or less it gets none.
type Member struct {
	ID     string
	Weight float64
}

// MemberSet is the set of members as one entry knows it. Entries may know different
// sets for a while, so that a slot has several homes or none. That causes short queues
// but never affects safety.
type MemberSet struct {
	Members []Member
}

// uniformScale scales the upper 53 bits of a hash to a number in (0, 1).
const uniformScale = 1.0 / (1 << 53)

// score returns the weighted rendezvous score of a member for a key.
func score(m Member, key string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.ID)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	uniform := (float64(d.Sum64()>>11) + 0.5) * uniformScale
	return -m.Weight / math.Log(uniform)
}

// HomeOf returns the ID of the member with the highest score for a key, or "" if there
// is none. If the weight of a member changes, only keys that this member gains or
// loses get another home.
func (ms MemberSet) HomeOf(key string) string {
	bestScore, bestID := math.Inf(-1), ""
	for _, m := range ms.Members {
		if m.Weight <= 0 {
			continue
		}
		if s := score(m, key); s > bestScore || (s == bestScore && m.ID < bestID) {
			bestScore, bestID = s, m.ID
		}
	}
	return bestID
}

// CountSlots returns how many of an upstream's slots have the member as their home.
func (ms MemberSet) CountSlots(member, upstream string, slots int) int {
	count := 0
	for i := range slots {
		if ms.HomeOf(upstream+"/"+strconv.Itoa(i)) == member {
			count++
		}
	}
	return count
}
