package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/radishgate/radishgate/internal/placement/explanation"
)

// Bounds of a call for an explanation.
const (
	explainTimeout  = 5 * time.Second
	maxExplainReply = 1 << 20
)

type explainCommand struct {
	Queue    string        `arg:"positional" help:"name of the queue; otherwise give --host and --path"`
	Metrics  string        `arg:"--metrics" default:"127.0.0.1:8083" help:"metrics address of an entry"`
	Host     string        `arg:"--host" help:"host of the job's requests"`
	Path     string        `arg:"--path" help:"path of the job's requests, with or without its ID"`
	ID       string        `arg:"--id" help:"ID of the job, which decides on the group if a zone has several"`
	Group    string        `arg:"--group" help:"group that is asked for, instead of the job's own one"`
	Moved    bool          `arg:"--moved" help:"the job has been moved from another group"`
	Deadline time.Duration `arg:"--deadline" default:"10s" help:"how long the client waits"`
	Job      string        `arg:"--job" help:"file with the body of the job, - for standard input; instead of the following"`
	Count    int           `arg:"--count" default:"1" help:"number of tasks"`
	Cores    int64         `arg:"--cores" default:"1000" help:"cores of a task, in thousandths"`
	Memory   int64         `arg:"--memory" help:"memory of a task, in MB"`
	Estimate int64         `arg:"--estimate" help:"estimated run time of a task, in milliseconds"`
	JSON     bool          `arg:"--json"`
}

// ExplainError reports that an entry has given no explanation.
type ExplainError struct {
	Address string
	Status  int // of the HTTP response, 0 without one
	Reason  string
}

// Error names the entry and the reason.
func (e *ExplainError) Error() string {
	return fmt.Sprintf("no explanation from %s, status %d: %s", e.Address, e.Status, e.Reason)
}

func (c *explainCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	if (c.Queue == "") == (c.Host == "") {
		return &UsageError{Reason: "explain: give either the name of a queue, or --host and --path"}
	}
	if c.Deadline < time.Millisecond || c.Count < 1 || c.Cores < 0 || c.Memory < 0 || c.Estimate < 0 {
		return &UsageError{Reason: "explain: --deadline and --count must be positive, --cores, --memory and --estimate not negative"}
	}
	query := explanation.Query{
		Queue: c.Queue, Host: c.Host, Path: c.Path, Job: c.ID, Group: c.Group, Moved: c.Moved, Deadline: c.Deadline.Milliseconds(),
		Count: c.Count, Cores: c.Cores, Memory: c.Memory, Estimate: c.Estimate,
	}
	if c.Job != "" {
		data, err := readInput(c.Job)
		if err != nil {
			return err
		}
		if !json.Valid(data) {
			return &UsageError{Reason: c.Job + ": not JSON"}
		}
		query.Body = data
	}
	data, err := c.ask(ctx, query)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := stdout.Write(data)
		return err
	}
	var e explanation.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return &ExplainError{c.Metrics, http.StatusOK, err.Error()}
	}
	return e.WriteText(stdout)
}

// ask posts a query to the entry and returns the body of the answer.
func (c *explainCommand) ask(ctx context.Context, query explanation.Query) ([]byte, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Metrics+explanation.Path, bytes.NewReader(body))
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &ExplainError{c.Metrics, 0, err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxExplainReply))
	if err != nil {
		return nil, &ExplainError{c.Metrics, response.StatusCode, err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &ExplainError{c.Metrics, response.StatusCode, string(data)}
	}
	return data, nil
}
