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

// desk is an exchange whose peers are functions.
type desk struct {
	*Exchange
	ledger *loan.Ledger

	mu    sync.Mutex
	need  Need
	asked map[string]int
	wants int
}

func newDesk(near, far int, grant func(peer string, ask loan.Ask) (loan.Grant, error)) *desk {
	d := &desk{ledger: loan.New(loan.Options{}), asked: map[string]int{}}
	peers := func(kind string, count int) func() []Peer {
		return func() []Peer {
			var list []Peer
			for i := range count {
				list = append(list, Peer{ID: fmt.Sprint(kind, i), Free: i})
			}
			return list
		}
	}
	d.Exchange = New(Options{
		Ledger: d.ledger, Self: "me", Peers: peers("near-", near), Far: peers("far-", far),
		Need:  func() Need { d.mu.Lock(); defer d.mu.Unlock(); return d.need },
		Got:   func() {},
		Count: func(string) {},
		Ask: func(_ context.Context, peer string, ask loan.Ask, _ string) (loan.Grant, int, error) {
			d.mu.Lock()
			d.asked[peer]++
			d.wants += ask.Want
			d.mu.Unlock()
			g, err := grant(peer, ask)
			return g, 0, err
		},
	})
	return d
}

func (d *desk) run(t *testing.T, need Need, span time.Duration) {
	t.Helper()
	d.mu.Lock()
	d.need = need
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	d.Fresh()
	time.Sleep(span)
	cancel()
	<-done
}

func TestFewPeersAreAskedWhateverTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(40, 40, func(string, loan.Ask) (loan.Grant, error) { return loan.Grant{Life: time.Second}, nil })
		d.run(t, Need{Want: 500, Backlog: 500, Held: 10}, 50*time.Millisecond)
		if len(d.asked) != maxNear || d.asked["near-39"] != 1 {
			t.Errorf("asked %v", d.asked)
		}
	})
}

func TestOtherZonesOnlyWhenItIsWorthTheTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(1, 3, func(string, loan.Ask) (loan.Grant, error) { return loan.Grant{Life: time.Second}, nil })
		d.run(t, Need{Want: 500, Backlog: 500, Held: 10, Left: 10 * time.Millisecond}, 50*time.Millisecond)
		if len(d.asked) != 1 {
			t.Errorf("with little to do, asked %v", d.asked)
		}
		d.run(t, Need{Want: 500, Backlog: 500, Held: 10, Left: 2 * time.Second}, 50*time.Millisecond)
		if len(d.asked) != 1+maxFar {
			t.Errorf("with much to do, asked %v", d.asked)
		}
	})
}

func TestDeadPeersAreNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(2, 0, func(string, loan.Ask) (loan.Grant, error) { return loan.Grant{}, context.DeadlineExceeded })
		d.run(t, Need{Want: 5, Backlog: 5, Held: 1}, time.Second)
		for peer, times := range d.asked {
			if times > 6 {
				t.Errorf("%s was asked %d times in a second", peer, times)
			}
		}
	})
}

func TestUnusedLoansGoBackTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returned := 0
		messages := 0
		d := newDesk(1, 0, func(_ string, ask loan.Ask) (loan.Grant, error) {
			g := loan.Grant{Life: time.Minute}
			if len(ask.Return) > 0 {
				messages++
				returned += len(ask.Return)
			}
			for i := range min(ask.Want, 6) {
				g.Loans = append(g.Loans, loan.Loan{ID: uint64(i + 1), Upstream: "u"})
			}
			return g, nil
		})
		d.run(t, Need{Want: 6, Backlog: 6, Held: 1}, 5*time.Millisecond)
		if returned != 6 || messages != 1 {
			t.Errorf("%d loans came back in %d messages", returned, messages)
		}
	})
}

// TestRenewalsDoNotPileUp has a home that answers nothing for a second, as in a
// cut, while its loans run tasks.
func TestRenewalsDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var renewals atomic.Int64
		d := newDesk(1, 0, func(_ string, ask loan.Ask) (loan.Grant, error) {
			if len(ask.Renew) > 0 {
				renewals.Add(1)
				time.Sleep(time.Second)
				return loan.Grant{}, context.DeadlineExceeded
			}
			return loan.Grant{}, nil
		})
		d.ledger.Receive("near-0", loan.Grant{Life: time.Second, Loans: []loan.Loan{{ID: 1, Upstream: "u"}}}, time.Now())
		if _, ok := d.ledger.Take("u"); !ok {
			t.Fatal("the loan cannot be used")
		}
		d.run(t, Need{}, 3*time.Second)
		if got := renewals.Load(); got > 4 {
			t.Errorf("%d renewals in 3 s", got)
		}
	})
}
