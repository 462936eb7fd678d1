package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/radishgate/radishgate/platform"
)

// find looks for this process's record behind what is folded, without folding.
func (p *Partition[V]) find(ctx context.Context, nonce uint64) (int64, bool) {
	p.mu.Lock()
	from := p.next
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

// foldTo folds everything up to and with an offset.
func (p *Partition[V]) foldTo(ctx context.Context, offset int64) error {
	for {
		p.mu.Lock()
		from := p.next
		p.mu.Unlock()
		if from > offset {
			return nil
		}
		page, err := p.options.Log.Read(ctx, from, 0)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			p.mu.Lock()
			p.next = truncated.FirstOffset
			p.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return &ShortError{Offset: offset, End: page.NextOffset}
		}
		p.foldAll(page.Records, offset)
	}
}

func (p *Partition[V]) foldAll(records []platform.Record, last int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stored := range records {
		if stored.Offset < p.next || stored.Offset > last {
			continue
		}
		p.next = stored.Offset + 1
		var r record
		if json.Unmarshal(stored.Data, &r) == nil {
			p.fold(stored.Offset, r)
		}
	}
}

func (p *Partition[V]) fold(offset int64, r record) {
	switch r.Kind {
	case kindOwn:
		p.own, p.owner = offset, r.Owner
		if p.mine >= 0 && offset != p.mine {
			p.mine = -1
		}
	case kindClaims:
		if p.own > r.Own {
			return // void: another own record stands between
		}
		for _, e := range r.Keys {
			p.learn(e, r.Owner)
		}
	}
}

// learn remembers a claim read from the log. A claim of this process's own is
// known already, or was given up before anything started. While a claim of this
// process for the same key is undecided, the other is kept beside it: it must
// not be forgotten when this one turns out void.
func (p *Partition[V]) learn(e entry, owner string) {
	if owner == p.options.Owner {
		return
	}
	decided := make(chan struct{})
	close(decided)
	learned := &known[V]{digest: e.Digest, owner: owner, at: p.options.Now(), state: decided}
	k, ok := p.keys[e.Key]
	switch {
	case !ok:
		p.keep(e.Key, learned)
	case k.mine && !k.settled():
		k.other = learned
	}
}

// settled tells whether the log has decided.
func (k *known[V]) settled() bool {
	select {
	case <-k.state:
		return true
	default:
		return false
	}
}

func (p *Partition[V]) keep(key string, k *known[V]) {
	p.keys[key] = k
	p.order = append(p.order, key)
}

// forget drops the keys that are older than the window.
func (p *Partition[V]) forget() {
	oldest := p.options.Now().Add(-p.options.Window)
	for len(p.order) > 0 {
		k, ok := p.keys[p.order[0]]
		if ok && k.at.After(oldest) {
			return
		}
		delete(p.keys, p.order[0])
		p.order = p.order[1:]
	}
}
