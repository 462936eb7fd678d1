package loan_test

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/loan"
)

func ExampleLedger() {
	home, borrower := loan.New(loan.Options{}), loan.New(loan.Options{})
	home.SetHomeSlots("press", 8)
	home.ActivateGained("press")
	sent := time.Now()
	grant := home.Lend(loan.Request{Borrower: "holder", Wanted: 3}, []loan.Offer{{Upstream: "press"}}, 0)
	borrower.ApplyGrant("home", grant, sent)
	fmt.Println(home.FreeSlots("press"), borrower.FreeSlots("press"))
	// Output: 5 3
}
