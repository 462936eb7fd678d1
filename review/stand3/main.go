// The command stand3 runs the cases of review/ that start processes: with the stand-ins of a small deployment in this
// process, and the entries as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
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
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
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
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
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
