package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/radishgate/radishgate/platform"
)

// findRecord looks for this process's record behind what is folded, without folding.
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

// replayTo folds everything up to and with an offset.
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
			p.mu.Lock()
			p.nextOffset = truncated.Floor
			p.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return &ShortReadError{Offset: offset, End: page.End}
		}
		p.applyRecords(page.Records, offset)
	}
}

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

func (p *Partition[V]) applyRecord(offset int64, r record) {
	switch r.Kind {
	case kindOwnership:
		p.ownershipOffset, p.owner = offset, r.Owner
		if p.acquiredOffset >= 0 && offset != p.acquiredOffset {
			p.acquiredOffset = -1
		}
	case kindClaims:
		if p.ownershipOffset > r.OwnershipOffset {
			return // void: another own record stands between
		}
		for _, e := range r.Keys {
			p.addRemoteClaim(e, r.Owner)
		}
	}
}

// addRemoteClaim remembers a claim read from the log. A claim of this process's own is
// known already, or was given up before anything started. While a claim of this
// process for the same key is undecided, the other is kept beside it: it must
// not be forgotten when this one turns out void.
func (p *Partition[V]) addRemoteClaim(e claimedKey, owner string) {
	if owner == p.options.Owner {
		return
	}
	decided := make(chan struct{})
	close(decided)
	remote := &keyState[V]{digest: e.Digest, owner: owner, claimedAt: p.options.Now(), decided: decided}
	k, ok := p.keys[e.Key]
	switch {
	case !ok:
		p.addKey(e.Key, remote)
	case k.local && !k.isDecided():
		k.competing = remote
	}
}

// isDecided tells whether the log has decided.
func (k *keyState[V]) isDecided() bool {
	select {
	case <-k.decided:
		return true
	default:
		return false
	}
}

func (p *Partition[V]) addKey(key string, k *keyState[V]) {
	p.keys[key] = k
	p.keyOrder = append(p.keyOrder, key)
}

// expireKeys drops the keys that are older than the window.
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
