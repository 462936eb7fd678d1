// Command radishgate is a dispatcher for tasks of under a second.
package main

import (
	"os"

	"github.com/radishgate/radishgate/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
