// Package cancellation makes the cancels of clients known to all entries and decides how they are answered.
package cancellation

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/work/cancels"
)

// Receiver is one incarnation of an entry that gets records.
type Receiver struct {
	ID          string
	Incarnation uint64
}

// Reply is the answer of another entry to a cancel.
type Reply struct {
	Known   bool // it has ended the job, or cannot exclude that the job exists
	Kept    bool // it is another process, which keeps the record
	Earlier bool // it is of an earlier build, which keeps no records
}

// Options configure an Exchange. AskHolder and AskOthers may block until their context ends, the others return at once.
type Options struct {
	Context context.Context // of the entry; calls may go on after the answer to a client, but not after its end
	Table   *cancels.Table
	Groups  []string // all groups of workers of all zones
	// WaitingJob returns the group of a job that a client of this entry waits for, and when that client leaves.
	WaitingJob func(id string) (group string, expiresAt time.Time, waiting bool)
	// End ends a job in this entry: in its tracker, and in the holders that it runs.
	End func(id string)
	// AskHolder has the holder of a group record a cancel for a time. After an error it may not have.
	AskHolder func(ctx context.Context, group, id string, left time.Duration) (Reply, error)
	// AskOthers has other entries, which need not hold a group, record a cancel, and returns the replies of those that
	// answered.
	AskOthers func(ctx context.Context, id string, left time.Duration) []Reply
	// HeldElsewhere reports whether another entry holds a group, so that the record is kept there if that entry answers.
	HeldElsewhere func() bool
	Alone         func() bool // no other entry runs
	Unheard       func() bool // an entry that may have clients is not heard
}

// Exchange keeps the cancels that one entry knows and passes them on to others. It is safe for concurrent use.
type Exchange struct {
	Options

	mu        sync.Mutex
	receivers map[Receiver]progress
}

// progress is the position up to which a receiver has the records.
type progress struct {
	confirmed     uint64 // by its answers to heartbeats
	answered      uint64 // sent with answers to its own heartbeats, which it does not confirm
	answeredUntil time.Time
	forgetAt      time.Time
}

// Bounds of the exchange.
const (
	maxPerHeartbeat = 128
	maxReceivers    = 4096
	// answerRepeat is the time after which a record is sent again with an answer, unless a heartbeat of this entry to
	// the same receiver was answered meanwhile: the answer may have been lost.
	answerRepeat = time.Second
	// progressTime is how long the position of a receiver is remembered without a message. The usual records expire
	// before that.
	progressTime = 10 * time.Minute
	// maxKeep bounds the time for which another entry can have a record kept: that of the longest wait of a client.
	maxKeep = 25 * time.Hour
)

// New returns an Exchange.
func New(options Options) *Exchange {
	return &Exchange{Options: options, receivers: map[Receiver]progress{}}
}

// Cancelled reports whether a job is recorded as cancelled.
func (x *Exchange) Cancelled(id string) bool {
	number, ok := cancels.Number(id)
	return ok && x.Table.Has(number, time.Now())
}

// Learn records cancels that another entry has passed on, and ends the jobs of those that are new. A job is ended also
// if the table is full.
func (x *Exchange) Learn(records []cancels.Record, now time.Time) {
	for _, r := range records {
		x.learn(r, now)
	}
}

// Receive records a cancel that another entry has asked this one to keep for a time, and ends the job. It reports
// whether a client of this entry was waiting for the job, and whether the record is kept. left is 0 for a cancel of an
// earlier build.
func (x *Exchange) Receive(id string, left time.Duration, now time.Time) (waiting, kept bool) {
	_, _, waiting = x.WaitingJob(id)
	number, ok := cancels.Number(id)
	if !ok {
		x.End(id)
		return waiting, false
	}
	until := now.Add(left)
	if left == 0 {
		until = x.Table.KeepUntil(time.Time{}, now)
	}
	return waiting, x.learn(cancels.Record{Job: number, Until: until}, now)
}

// learn records a cancel, ends the job if the record is new or has no room, and reports whether it is kept. If a client
// of this entry waits for the job, the record is kept for longer than that.
func (x *Exchange) learn(r cancels.Record, now time.Time) (kept bool) {
	if latest := now.Add(maxKeep); r.Until.After(latest) {
		r.Until = latest
	}
	id := cancels.ID(r.Job)
	if _, expiresAt, waiting := x.WaitingJob(id); waiting {
		if until := x.Table.KeepUntil(expiresAt, now); until.After(r.Until) {
			r.Until = until
		}
	}
	isNew, err := x.Table.Add(r, now)
	if isNew || err != nil {
		x.End(id)
	}
	return err == nil
}

// ForHeartbeat returns the records that a receiver has not confirmed yet. The caller calls confirm once the heartbeat
// that brings them has been answered.
func (x *Exchange) ForHeartbeat(to Receiver, now time.Time) (records []cancels.Record, confirm func()) {
	p := x.progress(to)
	records, next := x.Table.Since(p.confirmed, maxPerHeartbeat, now)
	if next == p.confirmed {
		return nil, func() {}
	}
	return records, func() {
		x.update(to, now, func(p *progress) { p.confirmed = max(p.confirmed, next) })
	}
}

// ForAnswer returns the records for the answer to a heartbeat of a receiver.
func (x *Exchange) ForAnswer(to Receiver, now time.Time) []cancels.Record {
	p := x.progress(to)
	from := p.confirmed
	if now.Before(p.answeredUntil) {
		from = max(from, p.answered)
	}
	records, next := x.Table.Since(from, maxPerHeartbeat, now)
	if len(records) > 0 {
		x.update(to, now, func(p *progress) {
			if !now.Before(p.answeredUntil) {
				p.answeredUntil = now.Add(answerRepeat)
			}
			p.answered = next
		})
	}
	return records
}

func (x *Exchange) progress(r Receiver) progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.receivers[r]
}

// update changes the progress of a receiver. Beyond maxReceivers a new one is not remembered, and gets records again.
func (x *Exchange) update(r Receiver, now time.Time, change func(p *progress)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, known := x.receivers[r]
	if !known {
		for other, o := range x.receivers {
			if o.forgetAt.Before(now) {
				delete(x.receivers, other)
			}
		}
		if len(x.receivers) >= maxReceivers {
			return
		}
	}
	change(&p)
	p.forgetAt = now.Add(progressTime)
	x.receivers[r] = p
}
