package cancellation

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/cancels"
)

const id = "00000000000000aa"

// newExchange returns an exchange for two groups that are held by others, and a list of the jobs that it has ended.
func newExchange(options Options) (*Exchange, *[]string) {
	var ended []string
	options.Context = context.Background()
	options.Table, options.Groups = cancels.New(cancels.Options{Most: 2}), []string{"a/0", "b/0"}
	options.End = func(id string) { ended = append(ended, id) }
	if options.WaitingJob == nil {
		options.WaitingJob = func(string) (string, time.Time, bool) { return "", time.Time{}, false }
	}
	options.HeldElsewhere = func() bool { return true }
	if options.AskOthers == nil {
		options.AskOthers = func(context.Context, string, time.Duration) []Reply { return nil }
	}
	if options.Alone == nil {
		options.Alone = func() bool { return false }
	}
	return New(options), &ended
}

// TestAnswerToACancel guards against a cancel that is acknowledged and undone by the loss of one process, against 410 for
// a job that an entry which is not heard may hand over again, and against 503 where the cancel holds.
func TestAnswerToACancel(t *testing.T) {
	kept, known, neither := &Reply{Kept: true}, &Reply{Known: true, Kept: true}, &Reply{}
	local, earlier := &Reply{Known: true}, &Reply{Known: true, Earlier: true}
	tests := []struct {
		name                        string
		a, b                        *Reply  // of the holders; nil if it does not answer
		others                      []Reply // of entries that hold no group
		alone, unheard, waits, full bool
		want                        Answer
		within                      time.Duration
	}{
		{name: "a holder knows it", a: known, b: kept, want: Cancelled},
		{name: "a holder knows it, the other is down", a: known, want: Cancelled},
		{name: "nobody knows it", a: kept, b: kept, want: Gone},
		{name: "nobody knows it, an entry is not heard", a: kept, b: kept, unheard: true, want: Cancelled},
		{name: "nobody knows it, a holder is down", a: kept, unheard: true, want: Unavailable, within: timeout},
		{name: "its client is here", a: known, b: kept, waits: true, want: Cancelled},
		{name: "its client is here, its holder is down", b: kept, waits: true, want: Unavailable, within: timeout},
		{name: "no other process keeps it", a: local, b: neither, want: Unavailable, within: timeout},
		{name: "held here, the other holder is cut off", a: local, others: []Reply{{Kept: true}}, want: Cancelled, within: retryDelay},
		{name: "alone", a: local, b: neither, alone: true, want: Cancelled, within: retryDelay},
		{name: "beside an earlier build", a: earlier, b: neither, want: Cancelled},
		{name: "no room", a: known, b: kept, full: true, want: Unavailable},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(timeout) // calls without a reply go on until then
				replies := map[string]*Reply{"a/0": c.a, "b/0": c.b}
				x, ended := newExchange(Options{
					Alone: func() bool { return c.alone }, Unheard: func() bool { return c.unheard },
					WaitingJob: func(string) (string, time.Time, bool) { return "a/0", time.Now().Add(time.Second), c.waits },
					AskOthers:  func(context.Context, string, time.Duration) []Reply { return c.others },
					AskHolder: func(_ context.Context, group, _ string, _ time.Duration) (Reply, error) {
						if r := replies[group]; r != nil {
							return *r, nil
						}
						return Reply{}, context.DeadlineExceeded
					},
				})
				if c.full {
					x.Table.Configure(cancels.Options{Most: -1})
				}
				began, got := time.Now(), Gone
				if isKnown, err := x.Cancel(t.Context(), id); err != nil {
					got = Unavailable
				} else if isKnown {
					got = Cancelled
				}
				if took := time.Since(began); got != c.want || took > c.within || len(*ended) != 1 || x.Cancelled(id) == c.full {
					t.Errorf("answer %d after %s, want %d within %s; ended: %v, kept: %t", got, took, c.want, c.within, *ended, x.Cancelled(id))
				}
			})
		})
	}
}

// TestOtherProcessesGetTheRecordAfterTheAnswer guards against a job that moves to a group whose holder has no record of the
// cancel, since its call failed before the reply of another holder decided the answer or the client left; and against a
// cancel that only this process keeps, since the holder that knows the job is of an earlier build.
func TestOtherProcessesGetTheRecordAfterTheAnswer(t *testing.T) {
	tests := []struct {
		name                  string
		a                     Reply
		clientLeaves          bool
		fails                 bool // the cancel is not answered with 200
		othersAsked, bReached bool
	}{
		{name: "the reply of one holder decides", a: Reply{Known: true, Kept: true}, bReached: true},
		{name: "the client leaves", a: Reply{Kept: true}, clientLeaves: true, fails: true, othersAsked: true, bReached: true},
		{name: "the holder that knows it is of an earlier build", a: Reply{Known: true, Earlier: true}, othersAsked: true, bReached: true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bCalls, bReached, othersAsked := 0, false, false
				x, _ := newExchange(Options{
					Unheard: func() bool { return false },
					AskOthers: func(context.Context, string, time.Duration) []Reply {
						othersAsked = true
						return []Reply{{Kept: true}}
					},
					AskHolder: func(ctx context.Context, group, _ string, _ time.Duration) (Reply, error) {
						if group == "a/0" {
							return c.a, nil
						}
						if bCalls++; bCalls < 4 || ctx.Err() != nil {
							return Reply{}, context.DeadlineExceeded
						}
						bReached = true
						return Reply{Earlier: c.a.Earlier, Kept: !c.a.Earlier}, nil
					},
				})
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if c.clientLeaves {
					time.AfterFunc(retryDelay/2, leave)
				}
				began := time.Now()
				if known, err := x.Cancel(ctx, id); known == c.fails || (err != nil) != c.fails || time.Since(began) > retryDelay/2 {
					t.Errorf("known: %t, error %v, after %s", known, err, time.Since(began))
				}
				time.Sleep(timeout)
				synctest.Wait()
				if bReached != c.bReached || othersAsked != c.othersAsked {
					t.Errorf("the other holder has the record: %t, want %t; other entries asked: %t, want %t", bReached, c.bReached, othersAsked, c.othersAsked)
				}
			})
		})
	}
}

// TestRecordsReachEachReceiver guards against records that are lost with a heartbeat, or sent again and again: to an entry
// that was frozen, and to one that only sends heartbeats and so confirms nothing.
func TestRecordsReachEachReceiver(t *testing.T) {
	x, _ := newExchange(Options{})
	x.Table.Configure(cancels.Options{Most: 1000})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for job := range uint64(maxPerHeartbeat + 10) {
		x.Learn([]cancels.Record{{Job: job, Until: now.Add(time.Minute)}}, now)
	}
	to, other := Receiver{"e1", 7}, Receiver{"e1", 8}
	tests := []struct {
		name   string
		send   func() []cancels.Record
		amount int
	}{
		{"first, lost", func() []cancels.Record { r, _ := x.ForHeartbeat(to, now); return r }, maxPerHeartbeat},
		{"again", func() []cancels.Record { r, confirm := x.ForHeartbeat(to, now); confirm(); return r }, maxPerHeartbeat},
		{"the rest", func() []cancels.Record { r, confirm := x.ForHeartbeat(to, now); confirm(); return r }, 10},
		{"all confirmed", func() []cancels.Record { r, _ := x.ForHeartbeat(to, now); return r }, 0},
		{"answer to the same", func() []cancels.Record { return x.ForAnswer(to, now) }, 0},
		{"answer to the next incarnation", func() []cancels.Record { return x.ForAnswer(other, now) }, maxPerHeartbeat},
		{"answer with the rest", func() []cancels.Record { return x.ForAnswer(other, now) }, 10},
		{"further answer", func() []cancels.Record { return x.ForAnswer(other, now) }, 0},
		{"answer after the repeat time", func() []cancels.Record { return x.ForAnswer(other, now.Add(answerRepeat)) }, maxPerHeartbeat},
	}
	for _, c := range tests {
		if sent := c.send(); len(sent) != c.amount {
			t.Errorf("%s: %d records, want %d", c.name, len(sent), c.amount)
		}
	}
}

// TestLearnedTimeIsBounded guards against a table that stays full since another entry has stated wrong times.
func TestLearnedTimeIsBounded(t *testing.T) {
	x, _ := newExchange(Options{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x.Learn([]cancels.Record{{Job: 1, Until: now.Add(math.MaxUint32 * time.Millisecond)}}, now)
	x.Receive(id, math.MaxUint32*time.Millisecond, now)
	for _, job := range []uint64{1, 0xaa} {
		if !x.Table.Has(job, now.Add(maxKeep-time.Second)) || x.Table.Has(job, now.Add(maxKeep)) {
			t.Errorf("job %x is not kept for %s", job, maxKeep)
		}
	}
}

// TestLearnedCancelEndsTheJob guards against an entry that knows a cancel and goes on with the job, and against a record that
// expires while the job's client still waits here.
func TestLearnedCancelEndsTheJob(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x, ended := newExchange(Options{WaitingJob: func(string) (string, time.Time, bool) { return "a/0", now.Add(time.Minute), true }})
	x.Learn([]cancels.Record{{Job: 0xaa, Until: now.Add(time.Second)}}, now)
	x.Learn([]cancels.Record{{Job: 0xaa, Until: now.Add(time.Second)}}, now)
	if waiting, kept := x.Receive("00000000000000bb", 0, now); !waiting || !kept {
		t.Errorf("a cancel of an earlier build: its client waits: %t, kept: %t", waiting, kept)
	}
	if len(*ended) != 2 || !x.Table.Has(0xaa, now.Add(62*time.Second)) {
		t.Errorf("ended: %v, kept for the client's time: %t", *ended, x.Table.Has(0xaa, now.Add(62*time.Second)))
	}
	if _, kept := x.Receive("00000000000000cc", time.Second, now); kept || len(*ended) != 3 {
		t.Errorf("no room: kept: %t, ended %v", kept, *ended)
	}
}
