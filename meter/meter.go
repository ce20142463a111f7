// Package meter holds the counters and histograms that daemons on the platform
// expose.
//
// A nil *Meter counts nothing, so that tests need none.
//
// # Usage
//
//	m := meter.New(prometheus.NewRegistry())
//	m.Submitted("accepted", time.Since(begun))
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "hemlockhinge"

// buckets of all times, in seconds.
var buckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64}

// Meter counts what one daemon does.
type Meter struct {
	submitted *prometheus.HistogramVec
	ended     *prometheus.HistogramVec
	waited    *prometheus.HistogramVec
	starts    *prometheus.CounterVec
	evictions prometheus.Counter
	orders    *prometheus.HistogramVec
	store     *prometheus.HistogramVec
	dropped   prometheus.Counter
}

// New registers a daemon's metrics.
func New(r *prometheus.Registry) *Meter {
	m := &Meter{
		submitted: histogram("submit_seconds", "Time to answer a caller's change of a job.", "outcome"),
		ended:     histogram("job_seconds", "Time from a job's acceptance to its recorded end.", "class", "state"),
		waited:    histogram("job_wait_seconds", "Time from a job's acceptance to its first start.", "class"),
		orders:    histogram("worker_call_seconds", "Time of calls to the worker.", "op", "outcome"),
		store:     histogram("store_call_seconds", "Time of calls to the store.", "op", "outcome"),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "starts_total",
			Help:      "Starts that the scheduler ordered.",
		}, []string{"outcome"}),
		evictions: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "evictions_total",
			Help:      "Runs stopped for more urgent ones.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "log_lines_dropped_total",
			Help:      "Log lines beyond the budget.",
		}),
	}
	r.MustRegister(m.submitted, m.ended, m.waited, m.orders, m.store, m.starts, m.evictions, m.dropped)
	return m
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, labels)
}

// Submitted counts an answer to a caller's change of a job.
func (m *Meter) Submitted(outcome string, d time.Duration) {
	if m != nil {
		m.submitted.WithLabelValues(outcome).Observe(d.Seconds())
	}
}

// JobEnded counts a job whose end is recorded.
func (m *Meter) JobEnded(class, state string, took, waited time.Duration) {
	if m != nil {
		m.ended.WithLabelValues(class, state).Observe(took.Seconds())
		m.waited.WithLabelValues(class).Observe(waited.Seconds())
	}
}

// Started counts a start and how it went.
func (m *Meter) Started(outcome string) {
	if m != nil {
		m.starts.WithLabelValues(outcome).Inc()
	}
}

// Evicted counts a run that was stopped for a more urgent one.
func (m *Meter) Evicted() {
	if m != nil {
		m.evictions.Inc()
	}
}

// WorkerCall counts a call to the worker.
func (m *Meter) WorkerCall(op string, err error, d time.Duration) {
	if m != nil {
		m.orders.WithLabelValues(op, outcome(err)).Observe(d.Seconds())
	}
}

// StoreCall counts a call to the store.
func (m *Meter) StoreCall(op string, err error, d time.Duration) {
	if m != nil {
		m.store.WithLabelValues(op, outcome(err)).Observe(d.Seconds())
	}
}

// LinesDropped counts log lines beyond the budget.
func (m *Meter) LinesDropped(n int) {
	if m != nil {
		m.dropped.Add(float64(n))
	}
}

func outcome(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
