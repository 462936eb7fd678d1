// Package measure defines the Prometheus metrics of an entry.
package measure

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/radishgate/radishgate/dispatch"
	"github.com/radishgate/radishgate/job"
)

// timeBuckets are the bucket bounds of the time histograms, in seconds.
var timeBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// ratioBuckets are the bucket bounds of the histogram of response time divided by the ideal
// response time.
var ratioBuckets = []float64{1.02, 1.05, 1.1, 1.15, 1.25, 1.4, 1.6, 2, 3, 5, 10, 30}

// Metrics holds the metrics of one entry. The number of label values is bounded: tenants
// and classes come from the bundle, all others from fixed lists.
type Metrics struct {
	Registry      *prometheus.Registry
	LimitRefusals *prometheus.CounterVec // by cause
	Messages      *prometheus.CounterVec // by kind
	StateChanges  *prometheus.CounterVec // by what changed, label what
	Jobs          *prometheus.CounterVec // by tenant, class and result
	Refusals      *prometheus.CounterVec // by kind and outcome
	TaskStarts    *prometheus.CounterVec // by tenant, class and result
	ResponseTime  *prometheus.HistogramVec
	WaitTime      *prometheus.HistogramVec
	ServiceTime   *prometheus.HistogramVec
	IdealRatio    *prometheus.HistogramVec
}

// histogram returns a histogram by tenant and class.
func histogram(name, help string, bounds []float64) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: "radishgate", Name: name, Help: help, Buckets: bounds}
	return prometheus.NewHistogramVec(options, []string{"tenant", "class"})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	options := prometheus.CounterOpts{Namespace: "radishgate", Name: name, Help: help}
	return prometheus.NewCounterVec(options, labels)
}

// New returns metrics that are registered in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		Registry:      prometheus.NewRegistry(),
		LimitRefusals: counter("limit_refusals_total", "Requests and connections refused or ended at a limit, by cause.", "cause"),
		Messages:      counter("messages_total", "Messages sent, by kind; an answer counts as one of its own.", "kind"),
		StateChanges:  counter("changes_total", "Changes of state, by what changed.", "what"),
		Jobs:          counter("jobs_total", "Jobs and requests answered, by result.", "tenant", "class", "result"),
		Refusals:      counter("refusals_total", "Refusals to callers, by kind and known outcome.", "kind", "outcome"),
		TaskStarts:    counter("starts_total", "Starts of tasks on upstreams, by result.", "tenant", "class", "result"),
		ResponseTime:  histogram("response_seconds", "Arrival to whole answer.", timeBuckets),
		WaitTime:      histogram("wait_seconds", "Arrival of a job to start of a task.", timeBuckets),
		ServiceTime:   histogram("service_seconds", "Start of a task to its answer.", timeBuckets),
		IdealRatio:    histogram("ideal_ratio", "Response against the estimated ideal.", ratioBuckets),
	}
	m.Registry.MustRegister(m.LimitRefusals, m.Messages, m.StateChanges, m.Jobs, m.Refusals, m.TaskStarts, m.ResponseTime, m.WaitTime, m.ServiceTime, m.IdealRatio)
	return m
}

// ProcessGatherer returns a gatherer of the metrics of the whole process: CPU time, memory,
// open files and the Go runtime.
func ProcessGatherer() prometheus.Gatherer {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	options := prometheus.GaugeOpts{Namespace: "radishgate", Name: name, Help: help}
	m.Registry.MustRegister(prometheus.NewGaugeFunc(options, read))
}

// RecordOutcome counts the result, messages and times of one task start.
func (m *Metrics) RecordOutcome(o dispatch.RunOutcome) {
	tenant, class := o.Job.Tenant, o.Job.Service.Class
	m.TaskStarts.WithLabelValues(tenant, class, o.Result).Inc()
	m.Messages.WithLabelValues("task").Inc()
	m.WaitTime.WithLabelValues(tenant, class).Observe(o.WaitTime.Seconds())
	if o.Result == "ok" {
		m.Messages.WithLabelValues("answer").Inc()
		m.ServiceTime.WithLabelValues(tenant, class).Observe(o.ServiceTime.Seconds())
	}
	if o.Hedge {
		m.Messages.WithLabelValues("hedge").Inc()
	}
}

// RecordJob counts an ended job. If it is complete, its response time and the ratio to the
// ideal are recorded too.
func (m *Metrics) RecordJob(j *job.Job) {
	tenant, class := j.Tenant, j.Service.Class
	state, _, r := j.Result()
	result := string(state)
	if r != nil {
		result = string(r.Outcome)
	}
	m.Jobs.WithLabelValues(tenant, class, result).Inc()
	if state != job.Complete {
		return
	}
	response := j.EndedAt().Sub(j.ArrivedAt)
	m.ResponseTime.WithLabelValues(tenant, class).Observe(response.Seconds())
	if ideal := j.IdealResponse(); ideal > 0 {
		m.IdealRatio.WithLabelValues(tenant, class).Observe(float64(response) / float64(ideal))
	}
}

// MessageCounts returns the number of messages sent so far, by kind.
func (m *Metrics) MessageCounts() map[string]float64 {
	counts := map[string]float64{}
	families, err := m.Registry.Gather()
	if err != nil {
		return counts
	}
	for _, family := range families {
		if family.GetName() != "radishgate_messages_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counts
}
