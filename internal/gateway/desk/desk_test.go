package desk

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// office is a desk with holders that the test answers for.
type office struct {
	*Desk
	mu        sync.Mutex
	seats     map[string]Seat
	offers    []offer
	withdrawn []string
	held      bool
	forgotten bool // no holder knows any job
}

type offer struct {
	seat  Seat
	again bool
	away  bool
}

func newOffice(seats ...Seat) *office {
	o := &office{seats: map[string]Seat{}, held: true}
	for _, s := range seats {
		o.seats[s.Group] = s
	}
	o.Desk = New(Options{
		Self: "e1", Number: func() uint64 { return current }, Log: slog.New(slog.DiscardHandler), Ended: func(*batch.Batch, batch.Result, int) {},
		Group: func(*batch.Batch) string { return "a" },
		Seat: func(group string) (Seat, bool) {
			o.mu.Lock()
			defer o.mu.Unlock()
			s, ok := o.seats[group]
			return s, ok
		},
		Place: func(_ context.Context, to Seat, b *batch.Batch, _ []string) (bool, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.offers = append(o.offers, offer{to, b.MaybeStarted, b.SpilledOver})
			return o.held, nil
		},
		Await: func(_ context.Context, _ Seat, ids []string) ([]batch.Result, []string, bool, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.forgotten {
				return nil, ids, true, nil
			}
			return nil, nil, true, nil
		},
		Withdraw: func(_ context.Context, _ Seat, b *batch.Batch) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.withdrawn = append(o.withdrawn, b.ID)
		},
	})
	return o
}

// forget lets the holders know no job, or those that they were given.
func (o *office) forget(all bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forgotten = all
}

// turn lets the holders take jobs, or turn them down.
func (o *office) turn(take bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = take
}

func (o *office) move(s Seat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seats[s.Group] = s
}

func jobOf(span time.Duration) *batch.Batch {
	now := time.Now()
	return &batch.Batch{ID: "j", ArrivedAt: now, ExpiresAt: now.Add(span), Steps: []batch.Step{{Count: 1}}}
}

var (
	first  = Seat{Group: "a", Epoch: 1, Holder: "e1", Own: true}
	second = Seat{Group: "a", Epoch: 2, Holder: "e2", Own: true}
	away   = Seat{Group: "b", Epoch: 1, Holder: "f1", Own: true}
)

// result is what a holder says of the one request that the test's client sends.
func result(state batch.State) batch.Result {
	return batch.Result{ID: "j", State: state, Attempt: current}
}

// earlier is what a holder says of a request that the client sent before.
func earlier(state batch.State) batch.Result {
	return batch.Result{ID: "j", State: state, Attempt: current + 1}
}

// current is the number of the request in these tests.
const current = 7

// TestJobThatWasTurnedDownIsNew has a holder turn a job down before any has taken it:
// nothing can have started, and the next one need not doubt it.
func TestJobThatWasTurnedDownIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(first)
		o.turn(false)
		done := make(chan batch.Result)
		go func() { done <- o.Submit(t.Context(), jobOf(10*time.Second)) }()
		synctest.Wait()
		o.turn(true)
		o.move(second)
		o.Sweep(t.Context())
		o.Settle([]batch.Result{result(batch.Completed)})
		if got := <-done; got.State != batch.Completed {
			t.Fatalf("result %+v", got)
		}
		if want := []offer{{first, false, false}, {second, false, false}}; !slices.Equal(o.offers, want) {
			t.Fatalf("offers %+v, want %+v", o.offers, want)
		}
	})
}

// TestDesk steps through what holders say, with the last result as the client's.
func TestDesk(t *testing.T) {
	moved := batch.Result{ID: "j", State: batch.Moved, TargetGroup: "b", Attempt: current}
	tests := []struct {
		name   string
		seats  []Seat
		steps  func(o *office)
		want   batch.State
		offers []offer
	}{
		{"completed", []Seat{first}, func(o *office) { o.Settle([]batch.Result{result(batch.Completed)}) }, batch.Completed, []offer{{first, false, false}}},
		{"refused", []Seat{first}, func(o *office) { o.Settle([]batch.Result{result(batch.Refused)}) }, batch.Refused, []offer{{first, false, false}}},
		{"the holder changes", []Seat{first}, func(o *office) {
			o.move(second)
			o.Sweep(context.Background())
			o.Settle([]batch.Result{result(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}, {second, true, false}}},
		{"an earlier holder refuses what a later one may have started", []Seat{first}, func(o *office) {
			o.move(second)
			o.Sweep(context.Background())
			o.Settle([]batch.Result{result(batch.Refused)})
			o.Settle([]batch.Result{result(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}, {second, true, false}}},
		{"another zone has room", []Seat{first, away}, func(o *office) {
			o.Settle([]batch.Result{moved})
			o.Settle([]batch.Result{moved})
			o.Settle([]batch.Result{result(batch.Refused)})
		}, batch.Refused, []offer{{first, false, false}, {away, false, true}}},
		{"an earlier holder sends away what a later one may have started", []Seat{first, away}, func(o *office) {
			o.move(second)
			o.Sweep(context.Background())
			o.Settle([]batch.Result{moved})
			o.Settle([]batch.Result{result(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}, {second, true, false}}},
		{"a refusal of an earlier request comes late", []Seat{first}, func(o *office) {
			o.Settle([]batch.Result{earlier(batch.Refused)})
			o.Settle([]batch.Result{result(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}}},
		{"a good end of an earlier request comes late", []Seat{first}, func(o *office) {
			o.Settle([]batch.Result{earlier(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}}},
		{"its holder has dropped and forgotten it while it was cut off", []Seat{first}, func(o *office) {
			o.forget(true)
			time.Sleep(2 * awaitSpan)
			o.Sweep(context.Background())
			o.forget(false)
			o.Sweep(context.Background())
			o.Settle([]batch.Result{result(batch.Unknown)})
		}, batch.Unknown, []offer{{first, false, false}, {first, true, false}}},
		{"its holder has turned it down", []Seat{first}, func(o *office) {
			o.forget(true)
			time.Sleep(2 * awaitSpan)
			o.Sweep(context.Background())
			o.forget(false)
			o.turn(false)
			o.Sweep(context.Background())
			o.turn(true)
			o.Sweep(context.Background())
			o.Settle([]batch.Result{result(batch.Completed)})
		}, batch.Completed, []offer{{first, false, false}, {first, true, false}, {first, true, false}}},
		{"nobody holds the group", nil, func(o *office) {
			time.Sleep(2 * time.Second)
			o.Sweep(context.Background())
		}, batch.Refused, nil},
		{"no end in the client's time", []Seat{first}, func(*office) {}, batch.Unknown, []offer{{first, false, false}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOffice(c.seats...)
				var got batch.Result
				go func() { got = o.Submit(context.Background(), jobOf(5*time.Second)) }()
				synctest.Wait()
				c.steps(o)
				time.Sleep(6 * time.Second)
				synctest.Wait()
				if got.State != c.want {
					t.Errorf("state %s, want %s", got.State, c.want)
				}
				if len(o.offers) != len(c.offers) {
					t.Fatalf("offers %+v, want %+v", o.offers, c.offers)
				}
				for i, want := range c.offers {
					if o.offers[i] != want {
						t.Errorf("offer %+v, want %+v", o.offers[i], want)
					}
				}
				if o.Len() != 0 {
					t.Error("a job is left on the desk")
				}
			})
		})
	}
}

// TestClientLeaves withdraws the job once its last client has left.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(first)
		ctx, leave := context.WithCancel(context.Background())
		b := jobOf(5 * time.Second)
		go o.Submit(ctx, b)
		synctest.Wait()
		other, leaveOther := context.WithCancel(context.Background())
		go o.Submit(other, b)
		synctest.Wait()
		leave()
		synctest.Wait()
		if len(o.withdrawn) != 0 {
			t.Fatal("withdrawn while a client waits")
		}
		leaveOther()
		synctest.Wait()
		if len(o.withdrawn) != 1 || len(o.offers) != 1 {
			t.Fatalf("withdrawn %v, offers %v", o.withdrawn, o.offers)
		}
	})
}

// TestStrandedEntryRefusesAtOnce hands a job in where no holder is known: it waits for
// a takeover, but not where none is to be expected.
func TestStrandedEntryRefusesAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		stranded bool
		most     time.Duration
	}{{"a holder may come", false, vacancySpan + 2*sweepSpan}, {"none is to be expected", true, 2 * sweepSpan}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOffice()
				o.options.Stranded = func() bool { return c.stranded }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go o.Run(ctx)
				began := time.Now()
				r := o.Submit(ctx, &batch.Batch{ID: "0000000000000001", ArrivedAt: began, ExpiresAt: began.Add(10 * time.Second)})
				if took := time.Since(began); r.State != batch.Refused || !r.RetryAt.After(time.Now()) || took > c.most {
					t.Fatalf("%s after %v, again at %v; want a refusal within %v", r.State, took, r.RetryAt, c.most)
				}
			})
		})
	}
}
