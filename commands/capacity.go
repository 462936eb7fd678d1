package commands

import (
	"context"
	"io"

	"github.com/radishgate/radishgate/capacity"
	"github.com/radishgate/radishgate/common/page"
)

type capacityCommand struct {
	Page string `arg:"--page" help:"page whose measured part is written anew, such as docs/CAPACITY.md"`
	JSON bool   `arg:"--json"`
}

func (c *capacityCommand) run(_ context.Context, out, problems io.Writer) error {
	result, err := capacity.Run(problems)
	if err != nil {
		return err
	}
	if c.Page != "" {
		if err := page.Update(c.Page, "radishgate capacity", result.Markdown()); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	}
	if c.JSON {
		return printJSON(out, result)
	}
	_, err = io.WriteString(out, result.Markdown())
	return err
}
