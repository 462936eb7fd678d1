// Command ownership shows a partition of keys that changes its owner through
// the log. The second owner knows what the first has claimed.
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
	fmt.Println("first, which has not heard of it, claims another:", err)
}
