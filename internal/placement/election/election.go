// Package election elects the entry that schedules the tasks of a group of workers.
//
// The election affects performance only, not correctness: when two entries both
// believe that they hold a group, its workers obey the one with the highest
// fencing token.
package election

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/internal/worker/fence"
)

// Claim states that an entry holds a group, that is, schedules the tasks of its
// workers. Of two claims on a group the one with the higher epoch wins. The
// holder's fencing tokens start at the epoch, so that entries and workers agree on
// the holder. No two claims of an entry have the same epoch.
type Claim struct {
	Group       string
	Epoch       uint64
	Holder      string // ID of the entry
	Incarnation uint64 // of the holder: a random number for each process start
}

// Candidate is a live entry. It can claim a group once it is ready.
type Candidate struct {
	ID          string
	Incarnation uint64
	Zone        string
	Weight      float64 // processors of the entry
	Ready       bool
}

// Options configures a ClaimTable.
//
// TakeoverDelay is how long an entry that receives no heartbeats waits before it
// takes over a group, since it may be the one that is partitioned off. Known
// reports whether any heartbeat has mentioned an entry, alive or gone. MayHavePeers reports
// whether another entry may be running although none has been heard; nil means never.
type Options struct {
	Self          Candidate
	TakeoverDelay time.Duration
	Known         func(id string) bool
	MayHavePeers  func() bool
}

// ClaimTable holds the newest known claim on each group and decides when the own
// entry claims a group, hands it over or suspends its work for it. It is safe for
// concurrent use.
type ClaimTable struct {
	options Options

	mu              sync.Mutex
	claims          map[string]Claim
	firstEpochs     map[string]uint64    // epochs of own claims on groups of which no earlier claim was known
	vacantSince     map[string]time.Time // when a group was first seen without a live holder
	outweighedSince map[string]time.Time // since when a larger entry could hold a group that the own entry holds
	isolatedSince   time.Time            // when a worker reported another holder and no other live entry was known
	suspendedSince  time.Time            // when a worker reported another holder and most other entries were not live
}

// New returns an empty ClaimTable.
func New(options Options) *ClaimTable {
	if options.MayHavePeers == nil {
		options.MayHavePeers = func() bool { return false }
	}
	return &ClaimTable{options: options, claims: map[string]Claim{}, firstEpochs: map[string]uint64{}, vacantSince: map[string]time.Time{}, outweighedSince: map[string]time.Time{}}
}

// Merge adds claims received from other entries. It reports whether any of them
// replaced a known claim or was the first on its group.
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

// supersedes reports whether c replaces the known claim. Claims of the same epoch
// are ordered as workers order the tokens of their holders, so that the losing
// holder is the one that workers refuse.
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

// Claims returns all claims, sorted by group, for heartbeats.
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

// Holder returns the claim on a group, and false if there is none.
func (t *ClaimTable) Holder(group string) (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.claims[group]
	return c, ok
}

// IsFirst reports whether a claim is one of the own entry, made without knowing of an earlier claim
// on its group. This is so if all entries have been lost, or the group is new.
func (t *ClaimTable) IsFirst(c Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, made := t.firstEpochs[c.Group]
	return made && epoch == c.Epoch && t.isOwn(c)
}

// unknownHolderGrace is how long a claim is respected whose holder is still
// unknown. The state of an entry arrives within two heartbeats after its claim.
const unknownHolderGrace = 300 * time.Millisecond

// ClaimIfVacant claims the group for the own entry if the group has no live holder
// and the own entry ranks first among the ready candidates. hasPeers says whether any
// other live entry is known. Without one the entry waits TakeoverDelay before it
// replaces the claim of another, or makes the first claim that it knows of although others
// may be running, and claims nothing after a conflict. It reports whether a claim was made.
func (t *ClaimTable) ClaimIfVacant(group, zone string, live []Candidate, hasPeers bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hasPeers {
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
	mayBeHeld := claimed || t.options.MayHavePeers()
	if !hasPeers && (mayBeHeld && now.Sub(since) < t.options.TakeoverDelay || !t.isolatedSince.IsZero()) {
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

// handOverDelay is how long a larger entry must be ready before it gets a group. It
// equals the time between two entries in a rolling restart.
const handOverDelay = 2 * time.Second

// HandOver passes a group that the own entry holds to a larger entry, if the own
// entry is too small for it and the larger one has been ready for handOverDelay. It
// reports whether it did. Small entries claim a group while the large ones of its
// zone are down and would otherwise keep it.
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

// How long a holder on the minority side of a partition stays suspended, and how
// long it then tries again.
const (
	suspensionSpan = 8 * time.Second        // longer than most partitions, since each attempt to retake the workers disturbs the other holder
	retakeSpan     = 400 * time.Millisecond // time to retake the workers in case the other holder is gone
)

// NoteConflict records that a worker obeys another holder. An entry without live
// peers is then suspended until it has one. An entry with only a minority of the
// others as live peers is suspended for suspensionSpan: in a partition both sides may
// have some, and without the suspension they would retake the workers from each other
// until the partition heals. hasPeers says whether any other live entry is known,
// majority whether most other entries are live.
func (t *ClaimTable) NoteConflict(hasPeers, majority bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !hasPeers:
		t.isolatedSince = now
	case !majority && !now.Before(t.suspendedSince.Add(suspensionSpan+retakeSpan)):
		t.suspendedSince = now
	}
}

// ResumeIfMajority ends the suspension of a minority once most other entries are
// live. It calls majority only if there is such a suspension.
func (t *ClaimTable) ResumeIfMajority(majority func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspendedSince.IsZero() && majority() {
		t.suspendedSince = time.Time{}
	}
}

// MaySchedule reports whether the own entry holds a group and is not suspended.
func (t *ClaimTable) MaySchedule(group string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isOwn(t.claims[group]) && !t.suspended(now)
}

// Suspended reports whether the own entry holds a group but may not schedule its tasks, since
// another entry has most likely taken it over unheard.
func (t *ClaimTable) Suspended(group string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isOwn(t.claims[group]) && t.suspended(now)
}

// suspended reports whether the own entry may not schedule tasks of the groups that it holds.
// The caller holds t.mu.
func (t *ClaimTable) suspended(now time.Time) bool {
	return !t.isolatedSince.IsZero() || !t.suspendedSince.IsZero() && now.Before(t.suspendedSince.Add(suspensionSpan))
}

// isOwn reports whether a claim names the own entry, in its present incarnation, as
// the holder.
func (t *ClaimTable) isOwn(c Claim) bool {
	return c.Holder == t.options.Self.ID && c.Incarnation == t.options.Self.Incarnation
}

// holderAlive reports whether the holder of a claim is live. The holder need not be
// listed as ready, because it was ready when it made the claim.
func holderAlive(c Claim, live []Candidate) bool {
	for _, l := range live {
		if l.ID == c.Holder && l.Incarnation == c.Incarnation {
			return true
		}
	}
	return false
}

// minWeightShare is the share of the largest entry's processors that an entry needs
// to claim a group. Scheduling the tasks of a zone is the heaviest work of an entry.
const minWeightShare = 0.75

// firstReady returns the highest-ranked ready candidate for a group, or an empty
// Candidate if there is none.
func firstReady(group, zone string, live []Candidate) Candidate {
	for _, l := range eligible(group, zone, live) {
		if l.Ready {
			return l
		}
	}
	return Candidate{}
}

// successorCount is the number of entries of a zone that keep themselves ready to
// schedule the tasks of a group: one more than may fail at once short of the whole
// zone.
const successorCount = 5

// HolderOrSuccessor reports whether the own entry must be ready to schedule the
// tasks of a group: it holds the group or is among the next successorCount entries
// to claim it. Small entries come after the large ones.
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

// lighterThan returns the candidates below a weight.
func lighterThan(live []Candidate, weight float64) []Candidate {
	var rest []Candidate
	for _, l := range live {
		if l.Weight < weight {
			rest = append(rest, l)
		}
	}
	return rest
}

// eligible returns the candidates that may claim a group, highest rank first. They
// are all of the group's zone: a holder that is unreachable from another zone may
// still serve its own. Small entries are left out even while the large ones are not
// ready yet.
func eligible(group, zone string, live []Candidate) []Candidate {
	largest := 0.0
	for _, l := range live {
		if l.Zone == zone {
			largest = max(largest, l.Weight)
		}
	}
	type scoredCandidate struct {
		Candidate
		score float64
	}
	var scored []scoredCandidate
	for _, l := range live {
		if l.Zone == zone && l.Weight >= largest*minWeightShare {
			scored = append(scored, scoredCandidate{l, rendezvousScore(group, l.ID, l.Weight)})
		}
	}
	sort.Slice(scored, func(a, b int) bool { return scored[a].score > scored[b].score })
	ranked := make([]Candidate, len(scored))
	for i, p := range scored {
		ranked[i] = p.Candidate
	}
	return ranked
}

// rendezvousScore returns the weighted rendezvous hash of an entry for a group.
func rendezvousScore(group, id string, weight float64) float64 {
	const span = 1 << 32
	u := (float64(xxhash.Sum64String(group+"/"+id)%span) + 1) / (span + 1)
	return -max(weight, 0.001) / math.Log(u)
}
