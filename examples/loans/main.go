// Command loans shows how two entries share the slots of one upstream: each is the home
// of some slots, lends free ones to the other, and gets them back when a loan expires.
package main

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/home"
	"github.com/radishgate/radishgate/loan"
)

func main() {
	memberSet := home.MemberSet{Members: []home.Member{{ID: "a", Weight: 1}, {ID: "b", Weight: 3}}}
	a, b := loan.New(loan.Options{}), loan.New(loan.Options{})
	for id, ledger := range map[string]*loan.Ledger{"a": a, "b": b} {
		ledger.SetHomeSlots("press", memberSet.CountSlots(id, "press", 16))
		ledger.ActivateGained("press")
	}
	fmt.Println("free slots of a and b:", a.FreeSlots("press"), b.FreeSlots("press"))
	sent := time.Now()
	grant := b.Lend(loan.Request{Borrower: "a", Wanted: 4}, []loan.Offer{{Upstream: "press", Reserve: 2}}, 0)
	a.ApplyGrant("b", grant, sent)
	fmt.Println("after b has lent", len(grant.Loans), "to a:", a.FreeSlots("press"), b.FreeSlots("press"))
	for a.FreeSlots("press") > 0 {
		a.Acquire("press")
	}
	fmt.Println("a runs tasks on all of its slots; renewals are due for", len(a.LoansToRenew()["b"]), "loans")
	// Longer than the default duration of a loan, 1 s, plus the grace period of 250 ms
	// after which the lender uses the slots again.
	time.Sleep(1300 * time.Millisecond)
	b.Expire()
	fmt.Println("without renewals the loans have expired; free slots of b:", b.FreeSlots("press"))
}
