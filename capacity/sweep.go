package capacity

import (
	"fmt"
	"strings"

	"github.com/radishgate/radishgate/platform"
)

// SweepMarkdown returns the tables of a sweep, which runs the whole system at several
// sizes.
func SweepMarkdown(s platform.Sweep) string {
	var w strings.Builder
	w.WriteString("| VMs / workers | served in time | worth | rules |\n| --- | --- | --- | --- |\n")
	for _, d := range s.Days {
		rules := "kept"
		switch {
		case d.Aborted:
			rules = "**day given up**"
		case d.BrokenRule != "":
			rules = "**" + d.BrokenRule + " broken**"
		}
		fmt.Fprintf(&w, "| %s | %.3f | %.3f | %s |\n", d.Size, d.Served, d.Worth, rules)
	}
	first := s.Growths[0]
	w.WriteString("\n| role | figure, middle / busiest |")
	for _, size := range first.Sizes {
		fmt.Fprintf(&w, " %g VMs |", size)
	}
	fmt.Fprintf(&w, " power | busiest at %g |\n| --- | --- |%s --- | --- |\n", first.TargetSize, strings.Repeat(" --- |", len(first.Sizes)))
	for _, g := range s.Growths {
		role := g.Role
		if role == "" {
			role = "all"
		}
		fmt.Fprintf(&w, "| %s | %s |", role, g.Metric)
		for i := range g.Sizes {
			fmt.Fprintf(&w, " %s / %s |", formatShort(g.Median[i]), formatShort(g.Busiest[i]))
		}
		fmt.Fprintf(&w, " %.2f | %s |\n", g.Exponent, formatShort(g.Extrapolated))
	}
	return w.String()
}
