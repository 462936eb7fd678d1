// Package commands implements the command line. Each file holds one command or a group
// of related commands.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/common/inifile"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/settings"
)

// Exit codes, documented in docs/operating/commands.md.
const (
	exitOK        = 0
	exitFailed    = 1
	exitUsage     = 2 // invalid arguments, settings, bundle or file
	exitNotRun    = 3 // the entry refused the call, and nothing was run
	exitUnknown   = 4 // the outcome of the call is unknown
	exitViolation = 5 // a guarantee of the dispatcher was violated
)

// Version is the version of this build.
const Version = "0.1.0"

type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run an entry"`
	Dispatch *dispatchCommand `arg:"subcommand:dispatch" help:"run an entry for jobs of workers with room"`
	Settings *settingsCommand `arg:"subcommand:settings" help:"check or print settings"`
	Bundle   *bundleCommand   `arg:"subcommand:bundle" help:"check, sign, publish and show bundles"`
	Keys     *keysCommand     `arg:"subcommand:keys" help:"make keys"`
	Request  *requestCommand  `arg:"subcommand:request" help:"send one request"`
	Job      *jobCommand      `arg:"subcommand:job" help:"submit, look at or cancel a job"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the state of an entry"`
	Standin  *standinCommand  `arg:"subcommand:standin" help:"run a stand-in platform or upstream"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a scenario and compare with the ideal"`
	Faults   *faultsCommand   `arg:"subcommand:faults" help:"measure what each kind of fault does to calls"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run both firms' examples in one process"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"measure the slopes behind docs/CAPACITY.md"`
	Outcomes *outcomesCommand `arg:"subcommand:outcomes" help:"count from logs how jobs ended, when and why"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"say where a job would go now, and why"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text that go-arg prints above the usage.
func (arguments) Description() string {
	return "radishgate dispatches tasks of under a second to upstreams in several availability zones."
}

// command is a parsed subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// UsageError is returned when a command cannot run because of its arguments or of a file
// that they name.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// Main runs the command line and returns the exit code. The first SIGTERM or interrupt
// cancels the context of the command; a second one ends the process at once.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "radishgate", Out: stdout}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "radishgate:", err)
		return exitUsage
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		_ = parser.WriteHelpForSubcommand(stderr, parser.SubcommandNames()...)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	defer stop()
	if err := selected.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "radishgate:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var iniErr *inifile.Error
	var settingsErr *settings.Error
	var usageErr *UsageError
	var refused *client.RefusedError
	var noAnswer *client.NoAnswerError
	var violation *demo.ViolationError
	switch {
	case errors.As(err, &iniErr), errors.As(err, &settingsErr), errors.As(err, &usageErr):
		return exitUsage
	case errors.As(err, &violation):
		return exitViolation
	case errors.As(err, &refused) && refused.Outcome == refusal.NotRun:
		return exitNotRun
	case errors.As(err, &refused) && refused.Outcome == refusal.Unknown, errors.As(err, &noAnswer):
		return exitUnknown
	}
	return exitFailed
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	return encoder.Encode(value)
}

type versionCommand struct{}

func (versionCommand) run(_ context.Context, stdout, _ io.Writer) error {
	_, err := fmt.Fprintln(stdout, "radishgate", Version)
	return err
}
