// Command ownership shows how the ownership of a partition of keys passes from one
// process to another through the log. The new owner learns which keys the first one
// claimed, and the first one can claim no more keys, even if it has not heard of the new
// owner.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/standin/store"
)

func main() {
	ctx := context.Background()
	log := store.New(store.Options{}).Log("claims-0")
	first := claim.New[string](claim.Options{Log: log, Owner: "first~1", Nonce: rand.Uint64})
	second := claim.New[string](claim.Options{Log: log, Owner: "second~1", Nonce: rand.Uint64})
	if err := first.Acquire(ctx); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	value, created, err := first.Claim(ctx, "order-7", "digest", func() string { return "started by first" })
	fmt.Println("first claims:", value, created, err)
	if err := second.Acquire(ctx); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	_, _, err = second.Claim(ctx, "order-7", "digest", func() string { return "started by second" })
	fmt.Println("second claims the same key:", err)
	_, _, err = first.Claim(ctx, "order-8", "digest", func() string { return "started by first" })
	fmt.Println("first, not yet aware of the new owner, claims another key:", err)
}
