package measure

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestMetricsPageNamesEveryMetric fails if a metric is added or renamed without a mention
// in docs/operating/metrics.md.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	described := make(chan *prometheus.Desc, 100)
	m.Registry.Describe(described)
	close(described)
	count := 0
	for d := range described {
		_, rest, _ := strings.Cut(d.String(), `fqName: "radishgate_`)
		name, _, _ := strings.Cut(rest, `"`)
		count++
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/operating/metrics.md does not mention %s", name)
		}
	}
	if count < 8 {
		t.Errorf("only %d metrics are registered", count)
	}
}
