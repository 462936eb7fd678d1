// Command stand plays one case of the review. It starts entries as processes of their own, and stand-ins for the
// platform's store, the runners and the clients in this process. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the plays by name. Each reports whether the rule was broken.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) (bool, error){
	"resend-to-restarted": resendToRestarted,
	"resend-elsewhere":    resendElsewhere,
	"cancel":              cancelJob,
	"change-job":          changeJob,
	"lose-all":            loseAll,
}

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return failed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	r.note("case %s, with the disruption: %t", *name, trouble)
	status := held
	switch isBroken, err := play(ctx, r, trouble); {
	case err != nil:
		r.note("the case could not run: %v", err)
		status = failed
	case isBroken:
		r.note("the rule was broken")
		status = broken
	default:
		r.note("the rule held")
	}
	if err := r.save(*file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return status
}
