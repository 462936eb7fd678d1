package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// checkLogAvailable returns the error of the last append until FailureBackoff
// has passed, so that callers fail fast while the log is down.
func (p *Partition[V]) checkLogAvailable() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.Now().Before(p.logDownUntil) {
		return &LogError{Cause: p.logDownCause}
	}
	return nil
}

// recordAppendResult starts the backoff after a failed append and clears it
// after a successful one.
func (p *Partition[V]) recordAppendResult(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDownCause, p.logDownUntil = err, time.Time{}
	if err != nil {
		p.logDownUntil = p.options.Now().Add(p.options.FailureBackoff)
	}
}

// appendRecord appends a record, returns its offset and notes whether the log works. ctx must not end
// with a caller, since a caller that leaves says nothing about the log.
func (p *Partition[V]) appendRecord(ctx context.Context, r record) (int64, error) {
	offset, err := p.appendOrFind(ctx, r)
	p.recordAppendResult(err)
	return offset, err
}

// appendTimeout limits an append, including the reads that resolve a lost reply.
const appendTimeout = 3 * time.Second

// appendOrFind appends a record and returns its offset. If the reply is lost, it
// looks for the record in the log and never appends it a second time.
func (p *Partition[V]) appendOrFind(ctx context.Context, r record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	offset, err := p.options.Log.Append(ctx, data)
	var platformErr *platform.Error
	if err == nil || !errors.As(err, &platformErr) || !platformErr.Uncertain {
		return offset, err
	}
	for range p.options.ReadBackTries {
		if offset, found := p.findRecord(ctx, r.Nonce); found {
			return offset, nil
		}
		if !wait.For(ctx, p.options.ReadBackInterval) {
			break
		}
	}
	return 0, err
}

// flush appends the pending claims in batches, one record each. Only one flush
// runs at a time; claims queued meanwhile go into its next record.
func (p *Partition[V]) flush(ctx context.Context) {
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	for {
		batch, ownershipOffset, expectedOffset := p.takeBatch()
		if len(batch) == 0 {
			return
		}
		err := p.commit(ctx, batch, ownershipOffset, expectedOffset)
		p.resolve(batch, err)
	}
}

// takeBatch removes the next pending claims from the queue and returns them with
// the acquired offset and the next offset. A key that another owner has claimed
// meanwhile is left out; its claim fails with *ClaimedByOtherError.
func (p *Partition[V]) takeBatch() ([]pendingClaim[V], int64, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []pendingClaim[V]
	for len(p.pending) > 0 && len(batch) < p.options.MaxBatch {
		next := p.pending[0]
		p.pending = p.pending[1:]
		if next.state.competing == nil {
			batch = append(batch, next)
			continue
		}
		p.discard(next, &ClaimedByOtherError{Key: next.key.Key, Owner: next.state.competing.owner})
		close(next.state.decided)
	}
	return batch, p.acquiredOffset, p.nextOffset
}

// discard undoes a claim that the log did not confirm. The key passes to the
// competing claim if there is one, otherwise it is free again.
func (p *Partition[V]) discard(c pendingClaim[V], err error) {
	c.state.err = err
	if p.keys[c.key.Key] != c.state {
		return
	}
	if c.state.competing != nil {
		p.keys[c.key.Key] = c.state.competing
		return
	}
	delete(p.keys, c.key.Key)
}

// commit appends one record of claims and checks that this process still owns
// the partition at that offset. If the append returns the expected offset, no
// other record came in between and the log need not be read.
func (p *Partition[V]) commit(ctx context.Context, batch []pendingClaim[V], ownershipOffset, expectedOffset int64) error {
	if ownershipOffset < 0 {
		return &NotOwnerError{}
	}
	r := record{Kind: kindClaims, Owner: p.options.Owner, Nonce: p.options.Nonce(), OwnershipOffset: ownershipOffset}
	for _, c := range batch {
		r.Keys = append(r.Keys, c.key)
	}
	offset, err := p.appendRecord(ctx, r)
	if err != nil {
		return &LogError{Cause: err}
	}
	if offset != expectedOffset {
		if err := p.replayTo(ctx, offset); err != nil {
			return &LogError{Cause: err}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendCount++
	p.claimCount += int64(len(batch))
	if offset == expectedOffset {
		p.nextOffset = offset + 1
	}
	if p.ownershipOffset != ownershipOffset {
		p.acquiredOffset = -1
		return &NotOwnerError{Owner: p.owner}
	}
	return nil
}

// resolve ends the wait of the claims of a batch. Confirmed claims build their
// values. Unconfirmed claims are discarded, which is safe since this process has
// not started their jobs.
func (p *Partition[V]) resolve(batch []pendingClaim[V], err error) {
	for _, c := range batch {
		if err != nil {
			p.mu.Lock()
			p.discard(c, err)
			p.mu.Unlock()
			close(c.state.decided)
			continue
		}
		value := c.build()
		p.mu.Lock()
		c.state.value = value
		p.mu.Unlock()
		close(c.state.decided)
	}
}
