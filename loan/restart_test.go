package loan

import "testing"

// TestLoanOfALostHomeIsNotRenewedByTheNext restarts the home of a slot while a task runs on a loan from
// it. The next incarnation numbers its loans from 1 again, so that it renews one that it has
// granted itself, and the borrower takes the loan of the lost incarnation for renewed as well.
func TestLoanOfALostHomeIsNotRenewedByTheNext(t *testing.T) {
	s := newSimulation()
	home, borrower := s.ledgers[0], s.ledgers[2]
	borrower.ApplyGrant(names[0], home.Lend(Request{Borrower: names[2], Wanted: 1}, []Offer{{Upstream: "u"}}, 0), s.now)
	running, ok := borrower.Acquire("u")
	if !ok {
		t.Fatal("nothing was borrowed")
	}
	next := New(home.options)
	next.SetHomeSlots("u", 2)
	s.now = s.now.Add(loanDuration + gracePeriod)
	next.Expire()
	borrower.Expire()
	borrower.ApplyGrant(names[0], next.Lend(Request{Borrower: names[2], Wanted: 1}, []Offer{{Upstream: "u"}}, 0), s.now)
	if _, ok := borrower.Acquire("u"); !ok {
		t.Fatal("nothing was borrowed from the next incarnation")
	}
	renewal := Request{Borrower: names[2], RenewIDs: borrower.LoansToRenew()[names[0]]}
	borrower.ApplyGrant(names[0], next.Lend(renewal, nil, 0), s.now)
	borrower.Release(running, 0)
	if free := borrower.FreeSlots("u"); free != 0 {
		t.Errorf("%d more slots to use at the borrower of one loan that runs a task", free)
	}
}
