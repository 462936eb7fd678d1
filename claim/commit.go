package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// resting gives the error of the last append while the log is taken to be
// down, so that callers are told at once.
func (p *Partition[V]) resting() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.Now().Before(p.rest) {
		return &LogError{Cause: p.down}
	}
	return nil
}

func (p *Partition[V]) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.rest = err, time.Time{}
	if err != nil {
		p.rest = p.options.Now().Add(p.options.Breath)
	}
}

// write appends a record, and remembers for a while that the log does not work.
func (p *Partition[V]) write(ctx context.Context, r record) (int64, error) {
	offset, err := p.put(ctx, r)
	p.note(err)
	return offset, err
}

// putSpan bounds an append together with the reading back of a lost reply.
const putSpan = 3 * time.Second

// put appends a record and gives its offset. A lost reply is resolved by
// reading back; the record is never appended a second time.
func (p *Partition[V]) put(ctx context.Context, r record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, putSpan)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	offset, err := p.options.Log.Append(ctx, data)
	var failure *platform.Error
	if err == nil || !errors.As(err, &failure) || !failure.Uncertain {
		return offset, err
	}
	for range p.options.Tries {
		if offset, found := p.find(ctx, r.Nonce); found {
			return offset, nil
		}
		if !wait.For(ctx, p.options.Pause) {
			break
		}
	}
	return 0, err
}

// flush writes the pending claims, many to one record. One flush runs at a
// time; claims that come meanwhile go into its next record.
func (p *Partition[V]) flush(ctx context.Context) {
	p.append.Lock()
	defer p.append.Unlock()
	for {
		batch, own, expected := p.batch()
		if len(batch) == 0 {
			return
		}
		err := p.commit(ctx, batch, own, expected)
		p.decide(batch, err)
	}
}

// batch takes the next pending claims. A key that another owner turned out to
// have claimed meanwhile is answered as lost and left out.
func (p *Partition[V]) batch() ([]pending[V], int64, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []pending[V]
	for len(p.pending) > 0 && len(batch) < p.options.Batch {
		next := p.pending[0]
		p.pending = p.pending[1:]
		if next.known.other == nil {
			batch = append(batch, next)
			continue
		}
		p.void(next, &LostError{Key: next.entry.Key, Owner: next.known.other.owner})
		close(next.known.state)
	}
	return batch, p.mine, p.next
}

// void takes a claim back: the key is another's, or free again.
func (p *Partition[V]) void(b pending[V], err error) {
	b.known.err = err
	if p.keys[b.entry.Key] != b.known {
		return
	}
	if b.known.other != nil {
		p.keys[b.entry.Key] = b.known.other
		return
	}
	delete(p.keys, b.entry.Key)
}

// commit appends one record of claims. When the append gives the very offset
// that was expected, nothing came between and no read is needed.
func (p *Partition[V]) commit(ctx context.Context, batch []pending[V], own, expected int64) error {
	if own < 0 {
		return &NotOwnerError{}
	}
	r := record{Kind: kindClaims, Owner: p.options.Owner, Nonce: p.options.Nonce(), Own: own}
	for _, b := range batch {
		r.Keys = append(r.Keys, b.entry)
	}
	offset, err := p.write(ctx, r)
	if err != nil {
		return &LogError{Cause: err}
	}
	if offset != expected {
		if err := p.foldTo(ctx, offset); err != nil {
			return &LogError{Cause: err}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
	p.claims += int64(len(batch))
	if offset == expected {
		p.next = offset + 1
	}
	if p.own != own {
		p.mine = -1
		return &NotOwnerError{Owner: p.owner}
	}
	return nil
}

// decide tells the waiting claims what the log said. Claims without
// confirmation are forgotten: this process has not started their jobs.
func (p *Partition[V]) decide(batch []pending[V], err error) {
	for _, b := range batch {
		if err != nil {
			p.mu.Lock()
			p.void(b, err)
			p.mu.Unlock()
			close(b.known.state)
			continue
		}
		value := b.build()
		p.mu.Lock()
		b.known.value = value
		p.mu.Unlock()
		close(b.known.state)
	}
}
