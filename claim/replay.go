package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/radishgate/radishgate/platform"
)

// findRecord looks for this process's record with the given nonce in the part of
// the log that has not been applied yet. It applies nothing.
func (p *Partition[V]) findRecord(ctx context.Context, nonce uint64) (int64, bool) {
	p.mu.Lock()
	from := p.nextOffset
	p.mu.Unlock()
	page, err := p.options.Log.Read(ctx, from, 0)
	if err != nil {
		return 0, false
	}
	for _, stored := range page.Records {
		var r record
		if json.Unmarshal(stored.Data, &r) == nil && r.Nonce == nonce && r.Owner == p.options.Owner {
			return stored.Offset, true
		}
	}
	return 0, false
}

// replayTo reads and applies all records up to and including an offset. Records
// that the log has truncated are skipped.
func (p *Partition[V]) replayTo(ctx context.Context, offset int64) error {
	for {
		p.mu.Lock()
		from := p.nextOffset
		p.mu.Unlock()
		if from > offset {
			return nil
		}
		page, err := p.options.Log.Read(ctx, from, 0)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			if truncated.FirstOffset <= from {
				return &LoopError{Offset: from, FirstOffset: truncated.FirstOffset}
			}
			p.mu.Lock()
			p.nextOffset = truncated.FirstOffset
			p.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return &ShortReadError{Offset: offset, End: page.NextOffset}
		}
		p.applyRecords(page.Records, offset)
	}
}

// applyRecords applies the records from nextOffset up to and including last.
// Records that cannot be decoded are skipped.
func (p *Partition[V]) applyRecords(records []platform.Record, last int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stored := range records {
		if stored.Offset < p.nextOffset || stored.Offset > last {
			continue
		}
		p.nextOffset = stored.Offset + 1
		var r record
		if json.Unmarshal(stored.Data, &r) == nil {
			p.applyRecord(stored.Offset, r)
		}
	}
}

// applyRecord updates the owner or the keys from one record.
func (p *Partition[V]) applyRecord(offset int64, r record) {
	switch r.Kind {
	case kindOwnership:
		p.ownershipOffset, p.owner = offset, r.Owner
		if p.acquiredOffset >= 0 && offset != p.acquiredOffset {
			p.acquiredOffset = -1
		}
	case kindClaims:
		if p.ownershipOffset > r.OwnershipOffset {
			return // void: another ownership record lies between the claims and the one they name
		}
		for _, claimed := range r.Keys {
			p.addRemoteClaim(claimed, r.Owner)
		}
	}
}

// addRemoteClaim stores another owner's claim read from the log. Claims of this
// process are skipped: they are known already, or were discarded before anything
// started. While this process's claim of the same key is undecided, the other
// claim is kept as its competing claim, so that it is not lost if this process's
// claim turns out void.
func (p *Partition[V]) addRemoteClaim(claimed claimedKey, owner string) {
	if owner == p.options.Owner {
		return
	}
	decided := make(chan struct{})
	close(decided)
	remote := &keyState[V]{digest: claimed.Digest, owner: owner, claimedAt: p.options.Now(), decided: decided}
	k, ok := p.keys[claimed.Key]
	switch {
	case !ok:
		p.addKey(claimed.Key, remote)
	case k.local && !k.isDecided():
		k.competing = remote
	}
}

// isDecided reports whether the claim has been confirmed or discarded.
func (k *keyState[V]) isDecided() bool {
	select {
	case <-k.decided:
		return true
	default:
		return false
	}
}

// addKey stores the state of a new key as the youngest one.
func (p *Partition[V]) addKey(key string, k *keyState[V]) {
	p.keys[key] = k
	p.keyOrder = append(p.keyOrder, key)
}

// expireKeys drops the keys that were claimed longer ago than KeyRetention.
func (p *Partition[V]) expireKeys() {
	oldest := p.options.Now().Add(-p.options.KeyRetention)
	for len(p.keyOrder) > 0 {
		k, ok := p.keys[p.keyOrder[0]]
		if ok && k.claimedAt.After(oldest) {
			return
		}
		delete(p.keys, p.keyOrder[0])
		p.keyOrder = p.keyOrder[1:]
	}
}
