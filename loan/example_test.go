package loan_test

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/loan"
)

func ExampleLedger() {
	home, holder := loan.New(loan.Options{}), loan.New(loan.Options{})
	home.Set("press", 8)
	home.Settle("press")
	sent := time.Now()
	grant := home.Lend(loan.Ask{Holder: "holder", Want: 3}, []loan.Offer{{Upstream: "press"}}, 0)
	holder.Receive("home", grant, sent)
	fmt.Println(home.Free("press"), holder.Free("press"))
	// Output: 5 3
}
