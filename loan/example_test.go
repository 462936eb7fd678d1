package loan_test

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/loan"
)

func ExampleLedger() {
	home, holder := loan.New(loan.Options{}), loan.New(loan.Options{})
	home.SetHomeSlots("press", 8)
	home.ActivateGained("press")
	sent := time.Now()
	grant := home.Lend(loan.Request{Holder: "holder", Wanted: 3}, []loan.Offer{{Upstream: "press"}}, 0)
	holder.ApplyGrant("home", grant, sent)
	fmt.Println(home.FreeSlots("press"), holder.FreeSlots("press"))
	// Output: 5 3
}
