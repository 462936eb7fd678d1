// Package home gives every slot of an upstream one home entry by weighted rendezvous hashing.
package home

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that can be a home, with its weight.
type Member struct {
	ID     string
	Weight float64
}

// MemberSet is a set of members. Membership views may differ for a while between
// entries; that costs short queues, never safety.
type MemberSet struct {
	Members []Member
}

// uniformScale turns the upper 53 bits of a hash into a number in (0, 1).
const uniformScale = 1.0 / (1 << 53)

func score(m Member, key string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.ID)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	uniform := (float64(d.Sum64()>>11) + 0.5) * uniformScale
	return -m.Weight / math.Log(uniform)
}

// HomeOf names the member with the highest score for a key, "" without members.
// A member's weight change moves only the keys that it gains or loses.
func (r MemberSet) HomeOf(key string) string {
	best, name := math.Inf(-1), ""
	for _, m := range r.Members {
		if m.Weight <= 0 {
			continue
		}
		if s := score(m, key); s > best || (s == best && m.ID < name) {
			best, name = s, m.ID
		}
	}
	return name
}

// CountSlots counts how many of an upstream's slots have their home with the member.
func (r MemberSet) CountSlots(member, upstream string, slots int) int {
	count := 0
	for i := range slots {
		if r.HomeOf(upstream+"/"+strconv.Itoa(i)) == member {
			count++
		}
	}
	return count
}
