// Command stand2 plays the cases of the second review: it starts entries of `radishgate dispatch` as separate
// processes, with stand-ins for the platform's store, the runners and the clients, and checks one rule by what
// these have seen.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitKept   = 0 // the rule was kept
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// caseLimit bounds a case, which may take 120 s.
const caseLimit = 100 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/radishgate", "program of the entries")
	template := flag.String("template", "deploy/entry.ini", "template of the settings of an entry")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	logs := flag.String("logs", "", "directory in which to keep the logs of the entries")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "stand2: no case %q\n", *name)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	record, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand2:", err)
		return exitFailed
	}
	defer record.close()
	w, err := newWorld(ctx, record, *program, *template, *logs)
	if err != nil {
		record.note("the case could not run: %v", err)
		return exitFailed
	}
	defer w.close()
	broken, err := play(ctx, w, *trouble)
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return exitFailed
	case len(broken) > 0:
		for _, text := range broken {
			record.note("BROKEN %s", text)
		}
		return exitBroken
	}
	record.note("the rule was kept")
	return exitKept
}
