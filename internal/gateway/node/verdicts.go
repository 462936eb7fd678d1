package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/radishgate/radishgate/internal/placement/eligibility"
)

// verdictCollector counts the workers of the groups that an entry holds by verdict, when it is read.
type verdictCollector struct {
	node *Node
	desc *prometheus.Desc
}

// Describe sends the description of the metric.
func (c verdictCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.desc }

// Collect sends a gauge for each verdict that a worker has.
func (c verdictCollector) Collect(metrics chan<- prometheus.Metric) {
	total := map[eligibility.Verdict]int{}
	for _, h := range c.node.currentHolders() {
		for verdict, count := range h.Verdicts() {
			total[verdict] += count
		}
	}
	for verdict, count := range total {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(count), string(verdict))
	}
}
