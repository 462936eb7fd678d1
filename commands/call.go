package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/client"
)

// callerFlags are the flags shared by commands that call an entry as a tenant.
type callerFlags struct {
	Entry  string `arg:"--entry" default:"127.0.0.1:8080" help:"callers' address of an entry"`
	Tenant string `arg:"--tenant" help:"tenant to call as"`
	JSON   bool   `arg:"--json" help:"print JSON only"`
}

// readInput reads a file, or standard input if the name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return data, nil
}

type requestCommand struct {
	callerFlags
	Service string        `arg:"positional,required"`
	Body    string        `arg:"--body" default:"-" help:"file with the body, - for standard input"`
	Key     string        `arg:"--key" help:"Idempotency-Key"`
	Timeout time.Duration `arg:"--limit" help:"longest time to the answer"`
}

func (c *requestCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	body, err := readInput(c.Body)
	if err != nil {
		return err
	}
	cl := client.New(c.Tenant, c.Entry)
	defer cl.Close()
	_, data, err := cl.Request(ctx, c.Entry, c.Service, c.Key, c.Timeout, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s\n", data)
	return err
}

type jobCommand struct {
	Submit *jobSubmit `arg:"subcommand:submit" help:"submit a job, or attach to it"`
	Status *jobStatus `arg:"subcommand:status" help:"look at a job"`
	Cancel *jobCancel `arg:"subcommand:cancel" help:"cancel a job"`
}

func (c *jobCommand) run(context.Context, io.Writer, io.Writer) error {
	return &UsageError{Reason: "job: missing subcommand: submit, status or cancel"}
}

type jobSubmit struct {
	callerFlags
	File string        `arg:"positional,required" help:"file with the job (JSON), - for standard input"`
	Key  string        `arg:"--key" help:"key of the job; without one an origin key is made and printed"`
	Wait time.Duration `arg:"--wait" default:"30s"`
}

func (c *jobSubmit) run(ctx context.Context, stdout, stderr io.Writer) error {
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	var request caller.Body
	if err := json.Unmarshal(data, &request); err != nil {
		return &UsageError{Reason: fmt.Sprintf("%s: %v", c.File, err)}
	}
	cl := client.New(c.Tenant, c.Entry)
	defer cl.Close()
	if c.Key == "" {
		_, key, err := cl.NewKey(ctx, fmt.Sprintf("cli-%d", time.Now().UnixNano()))
		if err != nil {
			return err
		}
		c.Key = key
		fmt.Fprintln(stderr, "key:", key)
	}
	state, err := cl.Submit(ctx, c.Entry, c.Key, request, c.Wait)
	return printState(stdout, c.JSON, state, err)
}

type jobStatus struct {
	callerFlags
	Key  string        `arg:"positional,required"`
	Wait time.Duration `arg:"--wait"`
}

func (c *jobStatus) run(ctx context.Context, stdout, _ io.Writer) error {
	cl := client.New(c.Tenant, c.Entry)
	defer cl.Close()
	state, err := cl.Query(ctx, c.Entry, c.Key, c.Wait)
	return printState(stdout, c.JSON, state, err)
}

type jobCancel struct {
	callerFlags
	Key string `arg:"positional,required"`
}

func (c *jobCancel) run(ctx context.Context, stdout, _ io.Writer) error {
	cl := client.New(c.Tenant, c.Entry)
	defer cl.Close()
	state, err := cl.Cancel(ctx, c.Entry, c.Key)
	return printState(stdout, c.JSON, state, err)
}

func printState(out io.Writer, asJSON bool, state caller.State, err error) error {
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, state)
	}
	fmt.Fprintf(out, "job %s is %s, %d of %d tasks answered\n", state.Key, state.State, state.CompletedTasks, state.Tasks)
	for i, a := range state.Answers {
		fmt.Fprintf(out, "%d\t%d\t%s\n", i, a.Status, a.Body)
	}
	return nil
}

type statusCommand struct {
	OperatorAddress string `arg:"--operators" default:"127.0.0.1:8082" help:"operators' address of an entry"`
	JSON            bool   `arg:"--json"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	cl := client.New("", c.OperatorAddress)
	defer cl.Close()
	_, data, err := cl.Do(ctx, c.OperatorAddress, client.Call{Method: http.MethodGet, Path: "/v1/status"})
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = stdout.Write(data)
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return &client.NoAnswerError{Entry: c.OperatorAddress, Cause: err}
	}
	for _, name := range []string{"vm", "zone", "ready", "draining", "version", "bundle", "log", "backlog", "home", "lent", "borrowed", "keys", "aside", "leaving", "members", "partitions"} {
		fmt.Fprintf(stdout, "%-12s %v\n", name, fields[name])
	}
	return nil
}
