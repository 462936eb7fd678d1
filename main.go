// Command radishgate runs a dispatcher for tasks that take less than a second, and
// the tools to operate and measure it.
package main

import (
	"os"

	"github.com/radishgate/radishgate/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
