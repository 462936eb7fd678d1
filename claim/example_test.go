package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/standin/store"
)

func ExamplePartition() {
	ctx := context.Background()
	log := store.New(store.Options{}).Log("claims-0")
	p := claim.New[string](claim.Options{Log: log, Owner: "vm-1~1", Nonce: rand.Uint64})
	if err := p.Acquire(ctx); err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		job, claimed, _ := p.Claim(ctx, "order-7", "digest", func() string { return "the job" })
		fmt.Println(job, claimed)
	}
	// Output:
	// the job true
	// the job false
}
