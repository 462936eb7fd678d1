// The command stand3 runs the cases of review/ that start processes: with the stand-ins of a small deployment in this
// process, and the entries as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trial plays one case. It returns broken or held, or an error if it could not run.
type trial func(dir string, r *record, trouble bool) (int, error)

var trials = map[string]trial{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD TROUBLE, with 0 for TROUBLE to leave the disruption out")
		return failed
	}
	dir, err := os.MkdirTemp("", "radishgate-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Args[3] != "0"
	r.printf("case %s, trouble: %t, %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	code, err := trials[os.Args[1]](dir, r, trouble)
	if err != nil {
		r.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r.printf("%s", map[int]string{held: "the rule held", broken: "the rule is broken"}[code])
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule is broken"}[code])
	return code
}
