// Package tenure agrees among entries on which of them places the tasks of a group of workers.
//
// It steers performance alone: two entries that both take themselves for the
// holder are told apart by the workers, which obey the highest token only.
package tenure

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/internal/worker/fence"
)

// Claim says that an entry places the tasks of a group. Of two claims the one
// with the higher epoch counts. The epoch is also the base of the holder's fencing
// tokens, so that entries and workers obey the same holder, and no two claims of
// an entry share one.
type Claim struct {
	Group       string
	Epoch       uint64
	Holder      string // ID of the entry
	Incarnation uint64 // its incarnation
}

// Candidate is a live entry that could hold a group once it is ready.
type Candidate struct {
	ID          string
	Incarnation uint64
	Zone        string
	Weight      float64
	Ready       bool
}

// Options of a table. Patience is how long an entry that hears nobody waits
// before it takes a group over: it may be the one that is cut off. Known tells
// whether anything has been heard of an entry, be it alive or gone.
type Options struct {
	Self          Candidate
	TakeoverDelay time.Duration
	Known         func(id string) bool
}

// ClaimTable is safe for concurrent use.
type ClaimTable struct {
	options Options

	mu              sync.Mutex
	claims          map[string]Claim
	vacantSince     map[string]time.Time // since when a group has no live holder
	firstEpochs     map[string]uint64    // epoch of the own entry's claim that followed no other, by group
	outweighedSince map[string]time.Time // since when a larger entry could hold a group of the own entry
	isolatedSince   time.Time            // when another holder was met while nobody was heard
	suspendedSince  time.Time            // when another holder was met while most others were not heard
}

// New makes a table without claims.
func New(options Options) *ClaimTable {
	return &ClaimTable{options: options, claims: map[string]Claim{}, vacantSince: map[string]time.Time{}, firstEpochs: map[string]uint64{}, outweighedSince: map[string]time.Time{}}
}

// Merge takes claims that were heard of and tells whether one of them is news.
func (t *ClaimTable) Merge(claims []Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, c := range claims {
		if supersedes(c, t.claims[c.Group]) {
			t.claims[c.Group] = c
			changed = true
		}
	}
	return changed
}

// beats orders claims, those of the same epoch as workers order the tokens of
// their holders: the one that loses is the one that workers refuse.
func supersedes(c, known Claim) bool {
	if c.Epoch != known.Epoch {
		return c.Epoch > known.Epoch
	}
	one, two := fence.HolderNumber(c.Holder, c.Incarnation), fence.HolderNumber(known.Holder, known.Incarnation)
	if one != two {
		return one > two
	}
	return c.Holder > known.Holder || c.Holder == known.Holder && c.Incarnation > known.Incarnation
}

// Claims gives all claims, for heartbeats.
func (t *ClaimTable) Claims() []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	claims := make([]Claim, 0, len(t.claims))
	for _, c := range t.claims {
		claims = append(claims, c)
	}
	sort.Slice(claims, func(a, b int) bool { return claims[a].Group < claims[b].Group })
	return claims
}

// Holder gives the claim of a group; false where there is none.
func (t *ClaimTable) Holder(group string) (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.claims[group]
	return c, ok
}

// newsSpan is how long a claim counts of whose holder nothing is known: news of
// an entry follows its claim within two heartbeats.
const unknownHolderGrace = 300 * time.Millisecond

// ClaimIfVacant claims the group for the own entry where it falls to it: the holder is
// gone and of the live candidates the own entry ranks first. Heard tells whether
// any other entry is heard of. It tells whether a claim was made.
func (t *ClaimTable) ClaimIfVacant(group, zone string, live []Candidate, heard bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if heard {
		t.isolatedSince = time.Time{}
	}
	c, claimed := t.claims[group]
	if claimed && holderAlive(c, live) {
		delete(t.vacantSince, group)
		return false
	}
	since, waiting := t.vacantSince[group]
	if !waiting {
		since = now
		t.vacantSince[group] = now
	}
	if !heard && (claimed && now.Sub(since) < t.options.TakeoverDelay || !t.isolatedSince.IsZero()) {
		return false
	}
	if claimed && !t.options.Known(c.Holder) && now.Sub(since) < unknownHolderGrace {
		return false
	}
	if firstReady(group, zone, live).ID != t.options.Self.ID {
		return false
	}
	next := Claim{Group: group, Epoch: fence.NextEpoch(c.Epoch, now), Holder: t.options.Self.ID, Incarnation: t.options.Self.Incarnation}
	t.claims[group] = next
	if !claimed {
		t.firstEpochs[group] = next.Epoch
	}
	delete(t.vacantSince, group)
	return true
}

// cedeSpan is how long a larger entry must be ready before it gets a group: as
// long as a rolling restart takes between two entries.
const handOverDelay = 2 * time.Second

// HandOver passes a group of the own entry to a larger one that has come later, where
// the own one is too small for it. It tells whether it did. Small entries take a
// group when the large ones of its zone are down; without this they would keep it.
func (t *ClaimTable) HandOver(group, zone string, live []Candidate, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.claims[group]
	next := firstReady(group, zone, live)
	if !t.isOwn(c) || next.ID == "" || t.options.Self.Weight >= next.Weight*minWeightShare {
		delete(t.outweighedSince, group)
		return false
	}
	since, waiting := t.outweighedSince[group]
	if !waiting {
		t.outweighedSince[group] = now
		return false
	}
	if now.Sub(since) < handOverDelay {
		return false
	}
	t.claims[group] = Claim{Group: group, Epoch: fence.NextEpoch(c.Epoch, now), Holder: next.ID, Incarnation: next.Incarnation}
	delete(t.outweighedSince, group)
	return true
}

// FirstClaim tells whether a claim of the own entry followed no other: all entries have
// just started.
func (t *ClaimTable) FirstClaim(c Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.Epoch > 0 && t.firstEpochs[c.Group] == c.Epoch
}

// Spans of standing back for a holder that more entries hear.
const (
	suspensionSpan = 8 * time.Second        // longer than most cuts: each attempt to take the workers back disturbs the other one
	retakeSpan     = 400 * time.Millisecond // in which it takes its workers back, should the other one be gone
)

// NoteConflict notes that another holder was met at a worker. An entry that hears nobody
// then stands back until it hears somebody, and one that hears the lesser part of the
// others for a while. It answers entries that are cut off together: both sides hear
// somebody, and would take the workers from each other until the cut heals.
func (t *ClaimTable) NoteConflict(heard, most bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !heard:
		t.isolatedSince = now
	case !most && !now.Before(t.suspendedSince.Add(suspensionSpan+retakeSpan)):
		t.suspendedSince = now
	}
}

// ResumeIfMajority ends the standing back once most others are heard. They are counted only
// where the own entry stands back.
func (t *ClaimTable) ResumeIfMajority(most func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspendedSince.IsZero() && most() {
		t.suspendedSince = time.Time{}
	}
}

// MaySchedule tells whether the own entry may act as the holder of a group.
func (t *ClaimTable) MaySchedule(group string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.claims[group]
	suspended := !t.suspendedSince.IsZero() && now.Before(t.suspendedSince.Add(suspensionSpan))
	return t.isOwn(c) && t.isolatedSince.IsZero() && !suspended
}

// own tells whether a claim is the own entry's, of this life.
func (t *ClaimTable) isOwn(c Claim) bool {
	return c.Holder == t.options.Self.ID && c.Incarnation == t.options.Self.Incarnation
}

// holds tells whether the holder of a claim lives. It need not be known as ready:
// it was when it made the claim.
func holderAlive(c Claim, live []Candidate) bool {
	for _, l := range live {
		if l.ID == c.Holder && l.Incarnation == c.Incarnation {
			return true
		}
	}
	return false
}

// largeShare is the part of the largest entry's processors that an entry must have
// to take a group: placing the tasks of a zone is the most work that an entry has.
const minWeightShare = 0.75

// first is the candidate of the group's zone that takes it when it is vacant.
func firstReady(group, zone string, live []Candidate) Candidate {
	for _, l := range eligible(group, zone, live) {
		if l.Ready {
			return l
		}
	}
	return Candidate{}
}

// successors is the number of entries of a zone that are prepared to place the tasks
// of a group: as many as may be lost at once without the whole zone, and one more.
const successorCount = 5

// HolderOrSuccessor tells whether the own entry is among those that are prepared to place the
// tasks of a group: it holds the group or is among the next to take it, the small
// entries behind the large ones.
func (t *ClaimTable) HolderOrSuccessor(group, zone string, live []Candidate) bool {
	t.mu.Lock()
	c := t.claims[group]
	t.mu.Unlock()
	if t.isOwn(c) {
		return true
	}
	prepared, rest := 0, live
	for prepared < successorCount {
		next := eligible(group, zone, rest)
		if len(next) == 0 {
			break
		}
		for _, l := range next[:min(len(next), successorCount-prepared)] {
			if l.ID == t.options.Self.ID {
				return true
			}
		}
		prepared += len(next)
		least := next[0].Weight
		for _, l := range next {
			least = min(least, l.Weight)
		}
		rest = lighterThan(rest, least)
	}
	return false
}

// smaller lists the candidates below a weight.
func lighterThan(live []Candidate, weight float64) []Candidate {
	var rest []Candidate
	for _, l := range live {
		if l.Weight < weight {
			rest = append(rest, l)
		}
	}
	return rest
}

// ranked lists the candidates of the group's zone that may take it, the first one
// first. Entries of other zones may not: one that cannot be reached from there may
// still be at work for its own zone. Small entries leave a group to a large one that
// is about to be ready.
func eligible(group, zone string, live []Candidate) []Candidate {
	largest := 0.0
	for _, l := range live {
		if l.Zone == zone {
			largest = max(largest, l.Weight)
		}
	}
	type place struct {
		Candidate
		rank float64
	}
	var scored []place
	for _, l := range live {
		if l.Zone == zone && l.Weight >= largest*minWeightShare {
			scored = append(scored, place{l, rendezvousScore(group, l.ID, l.Weight)})
		}
	}
	sort.Slice(scored, func(a, b int) bool { return scored[a].rank > scored[b].rank })
	ranked := make([]Candidate, len(scored))
	for i, p := range scored {
		ranked[i] = p.Candidate
	}
	return ranked
}

// rank is a weighted rendezvous hash.
func rendezvousScore(group, id string, weight float64) float64 {
	const span = 1 << 32
	u := (float64(xxhash.Sum64String(group+"/"+id)%span) + 1) / (span + 1)
	return -max(weight, 0.001) / math.Log(u)
}
