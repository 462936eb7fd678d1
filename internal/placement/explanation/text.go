package explanation

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// WriteText writes the explanation for people to read.
func (e *Explanation) WriteText(out io.Writer) error {
	var text bytes.Buffer
	line := func(name, format string, values ...any) {
		fmt.Fprintf(&text, "%-10s "+format+"\n", append([]any{name}, values...)...)
	}
	line("job", "%s, queue %s", e.Job, e.Queue)
	switch {
	case e.Group == "":
	case e.Holder == "":
		line("group", "%s (%s), no holder is known", e.Group, e.Route)
	case e.Address == "":
		line("group", "%s (%s), held by %s, the asked entry", e.Group, e.Route, e.Holder)
	default:
		line("group", "%s (%s), held by %s, peers' address %s: ask that entry", e.Group, e.Route, e.Holder, e.Address)
	}
	if e.Refusal != nil {
		line("refused", "%s", e.Refusal.text(e.At))
	}
	if p := e.Placement; p != nil {
		p.writeText(line, e.At)
	}
	_, err := out.Write(text.Bytes())
	return err
}

func (p *Placement) writeText(line func(name, format string, values ...any), at time.Time) {
	if p.Target != "" {
		line("moved", "from %s to %s (%s)", p.Group, p.Target, p.Route)
	}
	if p.Hold != "" {
		line("hold", "%s", p.Hold)
	}
	if p.Refusal != nil {
		line("refused", "%s", p.Refusal.text(at))
	}
	if p.Trial {
		line("trial", "it would start as a trial job")
	}
	if !p.Turn.IsZero() {
		line("turn", "in %d ms, after %d waiting jobs, with %d thousandths of a core", p.Turn.Sub(at).Milliseconds(), p.Waiting, p.Capacity)
	}
	for i, s := range p.Steps {
		name := fmt.Sprintf("step %d", i)
		if len(s.After) > 0 {
			line(name, "after the steps %v", s.After)
		}
		if s.Worker == "" {
			line(name, "waits, no worker of %d candidates", s.Candidates)
		} else {
			line(name, "%s, expected run time %d ms, %d candidates", s.Worker, s.Runtime, s.Candidates)
		}
		for _, reason := range slices.Sorted(maps.Keys(s.Excluded)) {
			line("", "%6d %s", s.Excluded[reason], reason)
		}
	}
}

func (r *Refusal) text(at time.Time) string {
	return fmt.Sprintf("%s; send again in %d ms", r.Reason, r.Retry.Sub(at).Milliseconds())
}
