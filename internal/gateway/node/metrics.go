package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// responseBuckets are the histogram buckets of response times, in seconds.
var responseBuckets = []float64{.025, .05, .1, .15, .2, .3, .5, .75, 1, 1.5, 2, 3, 5}

// instruments holds the metrics of a node.
type instruments struct {
	registry     *prometheus.Registry
	messages     *prometheus.CounterVec
	orders       *prometheus.CounterVec
	jobs         *prometheus.CounterVec
	cancels      *prometheus.CounterVec
	response     *prometheus.HistogramVec
	dependencies *prometheus.GaugeVec
	refused      *prometheus.CounterVec

	mu       sync.Mutex
	counters map[string]prometheus.Counter
}

// newInstruments registers the metrics of a node. droppedLogLines returns the number of
// log lines that were dropped.
func newInstruments(n *Node, droppedLogLines func() int64) *instruments {
	name := func(what string) string { return "radishgate_dispatch_" + what }
	counter := func(what, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name(what), Help: help}, []string{label})
	}
	m := &instruments{
		registry: prometheus.NewRegistry(), counters: map[string]prometheus.Counter{},
		messages: counter("messages_total", "Messages to other entries, by kind.", "kind"),
		orders:   counter("orders_total", "Orders to workers and ends that they list, by kind and answer.", "what"),
		jobs:     counter("jobs_total", "Jobs of clients of this entry, by result.", "result"),
		cancels:  counter("cancels_total", "Cancels of clients of this entry, by answer.", "answer"),
		refused:  counter("refused_total", "Requests and connections refused or ended at a limit, by cause.", "cause"),
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: name("response_seconds"), Help: "Arrival to result, by queue.", Buckets: responseBuckets,
		}, []string{"queue"}),
		dependencies: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: name("dependency"), Help: "1 while a dependency answers.",
		}, []string{"name"}),
	}
	gauge := func(what, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name(what), Help: help}, read)
	}
	m.registry.MustRegister(
		m.messages, m.orders, m.jobs, m.cancels, m.response, m.dependencies, m.refused,
		gauge("log_lines_dropped", "Log lines beyond the bounds.", func() float64 { return float64(droppedLogLines()) }),
		gauge("configuration_version", "Version in force.", func() float64 { return float64(n.routes.Version()) }),
		gauge("tasks_waiting", "Tasks without a worker in the groups of this entry.", func() float64 { return float64(n.load().Waiting) }),
		gauge("tasks_running", "Tasks on the workers of the groups of this entry.", func() float64 { return float64(n.load().Running) }),
		gauge("workers_aside", "Workers of these groups that get no ordinary work.", func() float64 { return float64(n.load().Ejected) }),
		gauge("zones_evacuated", "Availability zones whose workers get no tasks.", func() float64 { return float64(len(n.evacuations.State().Zones)) }),
		gauge("tasks_running_evacuated", "Tasks that run in evacuated zones, in the groups of this entry.", func() float64 { return float64(n.runningInEvacuatedZones()) }),
		verdictCollector{node: n, desc: prometheus.NewDesc(name("workers"), "Workers of these groups, by whether they may get a task or what keeps them from it.", []string{"verdict"}, nil)},
		gauge("cancels_kept", "Cancels of clients that this entry keeps, some of which may have expired.", func() float64 { return float64(n.cancels.Table.Len()) }),
		gauge("jobs_waiting", "Jobs that clients wait for.", func() float64 { return float64(n.tracker.Len()) }),
	)
	return m
}

// handler serves the metrics.
func (m *instruments) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// increment adds one to the counter with the given label value. It caches counters
// because looking one up costs more than incrementing it. The cache is keyed by label
// value alone, so no two vectors may share one.
func (m *instruments) increment(vector *prometheus.CounterVec, label string) {
	m.mu.Lock()
	c, known := m.counters[label]
	if !known {
		c = vector.WithLabelValues(label)
		m.counters[label] = c
	}
	m.mu.Unlock()
	c.Inc()
}

// countMessage counts a message to another entry.
func (m *instruments) countMessage(kind string) { m.increment(m.messages, kind) }

// countOrder counts an order to a worker or its answer.
func (m *instruments) countOrder(what string) { m.increment(m.orders, what) }

// countRefused counts a request or connection that was refused or ended at a limit.
func (m *instruments) countRefused(cause string) { m.refused.WithLabelValues(cause).Inc() }

// setDependency records whether a dependency answers.
func (m *instruments) setDependency(name string, up bool) {
	value := 0.0
	if up {
		value = 1
	}
	m.dependencies.WithLabelValues(name).Set(value)
}

// jobEnded counts and logs the result of a job.
func (n *Node) jobEnded(b *batch.Batch, r batch.Result, tries int) {
	if r.Reason == plan.ReasonMemory {
		n.noteCrowd()
	}
	took := time.Since(b.ArrivedAt)
	n.instruments.jobs.WithLabelValues(string(r.State)).Inc()
	n.instruments.response.WithLabelValues(b.Queue).Observe(took.Seconds())
	n.log.Info("job ended", "job", b.ID, "queue", b.Queue, "version", b.Version, "state", string(r.State), "reason", r.Reason,
		"ms", took.Milliseconds(), "left_ms", time.Until(b.ExpiresAt).Milliseconds(), "tasks", b.Tasks(), "tries", tries)
}
