package exchange

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// testBorrower is a Borrower whose peers are functions.
type testBorrower struct {
	*Borrower
	ledger *loan.Ledger

	mu     sync.Mutex
	demand Demand
	asked  map[string]int
	wanted int
}

func newTestBorrower(zonePeers, remotePeers int, grant func(peer string, request loan.Request) (loan.Grant, error)) *testBorrower {
	b := &testBorrower{ledger: loan.New(loan.Options{}), asked: map[string]int{}}
	peers := func(kind string, count int) func() []Peer {
		return func() []Peer {
			var list []Peer
			for i := range count {
				list = append(list, Peer{ID: fmt.Sprint(kind, i), FreeSlots: i})
			}
			return list
		}
	}
	b.Borrower = New(Options{
		Ledger: b.ledger, Self: "me", ZonePeers: peers("near-", zonePeers), RemotePeers: peers("far-", remotePeers),
		Demand:       func() Demand { b.mu.Lock(); defer b.mu.Unlock(); return b.demand },
		OnBorrowed:   func() {},
		CountMessage: func(string) {},
		SendRequest: func(_ context.Context, peer string, request loan.Request, _ string) (loan.Grant, int, error) {
			b.mu.Lock()
			b.asked[peer]++
			b.wanted += request.Wanted
			b.mu.Unlock()
			g, err := grant(peer, request)
			return g, 0, err
		},
	})
	return b
}

func (b *testBorrower) run(t *testing.T, demand Demand, duration time.Duration) {
	t.Helper()
	b.mu.Lock()
	b.demand = demand
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	b.NewWork()
	time.Sleep(duration)
	cancel()
	<-done
}

// TestRequestsLimitedInLargeZone guards against a number of requests per round that
// grows with the size of the zone.
func TestRequestsLimitedInLargeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBorrower(40, 40, func(string, loan.Request) (loan.Grant, error) { return loan.Grant{Duration: time.Second}, nil })
		b.run(t, Demand{Wanted: 500, Backlog: 500, HeldSlots: 10}, 50*time.Millisecond)
		if len(b.asked) != maxZonePeers || b.asked["near-39"] != 1 {
			t.Errorf("requests by peer in a large zone: %v", b.asked)
		}
	})
}

// TestOtherZonesAskedOnlyForLargeBacklog guards against requests to other zones for a
// backlog too small to be worth the longer round trip.
func TestOtherZonesAskedOnlyForLargeBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBorrower(1, 3, func(string, loan.Request) (loan.Grant, error) { return loan.Grant{Duration: time.Second}, nil })
		b.run(t, Demand{Wanted: 500, Backlog: 500, HeldSlots: 10, DrainTime: 10 * time.Millisecond}, 50*time.Millisecond)
		if len(b.asked) != 1 {
			t.Errorf("with a small backlog, asked %v", b.asked)
		}
		b.run(t, Demand{Wanted: 500, Backlog: 500, HeldSlots: 10, DrainTime: 2 * time.Second}, 50*time.Millisecond)
		if len(b.asked) != 1+maxRemotePeers {
			t.Errorf("with a large backlog, asked %v", b.asked)
		}
	})
}

// TestUnreachablePeersAreNotRetriedAtOnce guards against a loop of requests to a dead
// peer: a failed request must be followed by a pause.
func TestUnreachablePeersAreNotRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBorrower(2, 0, func(string, loan.Request) (loan.Grant, error) { return loan.Grant{}, context.DeadlineExceeded })
		b.run(t, Demand{Wanted: 5, Backlog: 5, HeldSlots: 1}, time.Second)
		for peer, times := range b.asked {
			if times > 6 {
				t.Errorf("%s was asked %d times in a second", peer, times)
			}
		}
	})
}

// TestUnusedLoansReturnedInOneMessage guards against a separate message for each loan
// that is returned.
func TestUnusedLoansReturnedInOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returned := 0
		messages := 0
		b := newTestBorrower(1, 0, func(_ string, request loan.Request) (loan.Grant, error) {
			g := loan.Grant{Duration: time.Minute}
			if len(request.ReturnIDs) > 0 {
				messages++
				returned += len(request.ReturnIDs)
			}
			for i := range min(request.Wanted, 6) {
				g.Loans = append(g.Loans, loan.Loan{ID: uint64(i + 1), Upstream: "u"})
			}
			return g, nil
		})
		b.run(t, Demand{Wanted: 6, Backlog: 6, HeldSlots: 1}, 5*time.Millisecond)
		if returned != 6 || messages != 1 {
			t.Errorf("%d loans returned in %d messages", returned, messages)
		}
	})
}

// TestRenewalsDoNotPileUp guards against renewals that accumulate while a home does
// not answer for a second, as in a network partition: only one may be in flight.
func TestRenewalsDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var renewals atomic.Int64
		b := newTestBorrower(1, 0, func(_ string, request loan.Request) (loan.Grant, error) {
			if len(request.RenewIDs) > 0 {
				renewals.Add(1)
				time.Sleep(time.Second)
				return loan.Grant{}, context.DeadlineExceeded
			}
			return loan.Grant{}, nil
		})
		b.ledger.ApplyGrant("near-0", loan.Grant{Duration: time.Second, Loans: []loan.Loan{{ID: 1, Upstream: "u"}}}, time.Now())
		if _, ok := b.ledger.Acquire("u"); !ok {
			t.Fatal("the loan cannot be used")
		}
		b.run(t, Demand{}, 3*time.Second)
		if got := renewals.Load(); got > 4 {
			t.Errorf("%d renewals in 3 s", got)
		}
	})
}
