// Package meter defines the Prometheus metrics that daemons on the platform
// export.
//
// All methods of a nil *Meter do nothing, so tests can do without one.
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

// buckets are the bounds of all histograms, in seconds.
var buckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64}

// Meter records the metrics of one daemon.
type Meter struct {
	submitSeconds     *prometheus.HistogramVec
	jobSeconds        *prometheus.HistogramVec
	jobWaitSeconds    *prometheus.HistogramVec
	starts            *prometheus.CounterVec
	preemptions       prometheus.Counter
	workerCallSeconds *prometheus.HistogramVec
	storeCallSeconds  *prometheus.HistogramVec
	linesDropped      prometheus.Counter
	passSeconds       prometheus.Histogram
	lagSeconds        prometheus.Histogram
	settingsAge       prometheus.Gauge
	orderAgeSeconds   prometheus.Histogram
	configAgeSeconds  prometheus.Histogram
	workerCrashes     prometheus.Counter
	heartbeatsRefused prometheus.Counter
	deregistrations   *prometheus.CounterVec
	unreadableParts   *prometheus.CounterVec
	workerSpeed       *prometheus.GaugeVec
	workerUncertainty *prometheus.GaugeVec
	clientsRefused    *prometheus.CounterVec
	unaccountedAgents prometheus.Gauge
	heldBackJobs      prometheus.Gauge
	held              *heldCollector
}

// New registers a daemon's metrics.
func New(r *prometheus.Registry) *Meter {
	m := &Meter{
		submitSeconds:     histogram("submit_seconds", "Time to answer a caller's change of a job.", "outcome"),
		jobSeconds:        histogram("job_seconds", "Time from a job's acceptance to its recorded end.", "class", "state"),
		jobWaitSeconds:    histogram("job_wait_seconds", "Time from a job's acceptance to its first start.", "class"),
		workerCallSeconds: histogram("worker_call_seconds", "Time of calls to the worker.", "op", "outcome"),
		storeCallSeconds:  histogram("store_call_seconds", "Time of calls to the store.", "op", "outcome"),
		starts:            counters("starts_total", "Starts that the scheduler ordered.", "outcome"),
		preemptions:       counter("evictions_total", "Runs stopped for more urgent ones."),
		passSeconds:       plainHistogram("pass_seconds", "Time of scheduling passes, with the wait for the scheduler's lock."),
		lagSeconds:        plainHistogram("scheduler_lag_seconds", "How late the scheduler's process handles timers."),
		settingsAge:       gauge("operator_settings_age_seconds", "Age of the operators' settings at the scheduler's last pass."),
		configAgeSeconds:  plainHistogram("configuration_age_seconds", "Time since the store confirmed the configuration by which a caller's request was resolved."),
		orderAgeSeconds:   plainHistogram("start_order_age_seconds", "Age of the scheduler's start orders when the agent carries them out."),
		workerCrashes:     counter("worker_crashes_total", "Unplanned restarts of the worker."),
		heartbeatsRefused: counter("heartbeats_refused_total", "Heartbeats of other writers."),
		deregistrations:   counters("worker_deregistrations_total", "Deregistrations under the worker's id, by what has become of the worker.", "outcome"),
		unreadableParts:   counters("worker_answer_parts_unreadable_total", "Parts of the worker's answers that could not be read and were left out.", "part"),
		workerSpeed:       gauges("worker_speed", "Estimated speed of a worker, 1 for a normal one.", "agent"),
		workerUncertainty: gauges("worker_speed_uncertainty", "Standard deviation of the logarithm of a worker's estimated speed.", "agent"),
		linesDropped:      counter("log_lines_dropped_total", "Log lines beyond the budget."),
		clientsRefused:    counters("clients_refused_total", "Connections and requests that were refused or closed for want of room.", "cause"),
		unaccountedAgents: gauge("unaccounted_agents", "Agents whose workers may run tasks that the scheduler does not know, at its last pass."),
		heldBackJobs:      gauge("held_back_jobs", "Jobs with tasks that wait until these agents are accounted for."),
		held:              newHeldCollector(),
	}
	r.MustRegister(m.submitSeconds, m.jobSeconds, m.jobWaitSeconds, m.workerCallSeconds, m.storeCallSeconds, m.starts, m.preemptions, m.linesDropped, m.passSeconds, m.lagSeconds, m.settingsAge, m.configAgeSeconds, m.orderAgeSeconds, m.workerCrashes, m.heartbeatsRefused, m.deregistrations, m.unreadableParts, m.workerSpeed, m.workerUncertainty, m.clientsRefused, m.unaccountedAgents, m.heldBackJobs, m.held)
	return m
}

func counterOpts(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(counterOpts(name, help))
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(counterOpts(name, help), labels)
}

func gaugeOpts(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}
}

func gauge(name, help string) prometheus.Gauge { return prometheus.NewGauge(gaugeOpts(name, help)) }

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(gaugeOpts(name, help), labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, labels)
}

func plainHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	})
}

// Submitted records the answer to a caller's request to submit or cancel a job.
func (m *Meter) Submitted(outcome string, d time.Duration) {
	if m != nil {
		m.submitSeconds.WithLabelValues(outcome).Observe(d.Seconds())
	}
}

// JobEnded records a job whose end has been stored.
func (m *Meter) JobEnded(class, state string, total, waited time.Duration) {
	if m != nil {
		m.jobSeconds.WithLabelValues(class, state).Observe(total.Seconds())
		m.jobWaitSeconds.WithLabelValues(class).Observe(waited.Seconds())
	}
}

// Started counts a start and its outcome.
func (m *Meter) Started(outcome string) {
	if m != nil {
		m.starts.WithLabelValues(outcome).Inc()
	}
}

// Preempted counts a run that was preempted by a more urgent one.
func (m *Meter) Preempted() {
	if m != nil {
		m.preemptions.Inc()
	}
}

// WorkerCall records a call to the worker.
func (m *Meter) WorkerCall(op string, err error, d time.Duration) {
	if m != nil {
		m.workerCallSeconds.WithLabelValues(op, outcome(err)).Observe(d.Seconds())
	}
}

// StoreCall records a call to the store.
func (m *Meter) StoreCall(op string, err error, d time.Duration) {
	if m != nil {
		m.storeCallSeconds.WithLabelValues(op, outcome(err)).Observe(d.Seconds())
	}
}

// Pass records the time of a scheduling pass and how late its process handles timers.
func (m *Meter) Pass(d, lag time.Duration) {
	if m != nil {
		m.passSeconds.Observe(d.Seconds())
		m.lagSeconds.Observe(lag.Seconds())
	}
}

// SettingsAge records how old the operators' settings are by which the scheduler decides.
func (m *Meter) SettingsAge(d time.Duration) {
	if m != nil {
		m.settingsAge.Set(d.Seconds())
	}
}

// HeldBack records how many agents are unaccounted for, and how many jobs have tasks that wait for
// them.
func (m *Meter) HeldBack(agents, jobs int) {
	if m != nil {
		m.unaccountedAgents.Set(float64(agents))
		m.heldBackJobs.Set(float64(jobs))
	}
}

// ConfigAge records how old the configuration is by which a caller's request is resolved.
func (m *Meter) ConfigAge(d time.Duration) {
	if m != nil {
		m.configAgeSeconds.Observe(d.Seconds())
	}
}

// OrderAge records how old an order to start a task is when the agent carries it out.
func (m *Meter) OrderAge(d time.Duration) {
	if m != nil {
		m.orderAgeSeconds.Observe(d.Seconds())
	}
}

// WorkerCrashed counts an unplanned restart of the worker.
func (m *Meter) WorkerCrashed() {
	if m != nil {
		m.workerCrashes.Inc()
	}
}

// HeartbeatRefused counts a heartbeat that is not from the worker.
func (m *Meter) HeartbeatRefused() {
	if m != nil {
		m.heartbeatsRefused.Inc()
	}
}

// Deregistration counts a deregistration once it is known what has become of the worker.
func (m *Meter) Deregistration(outcome string) {
	if m != nil {
		m.deregistrations.WithLabelValues(outcome).Inc()
	}
}

// UnreadablePart counts a part of a worker's answer that could not be read.
func (m *Meter) UnreadablePart(part string) {
	if m != nil {
		m.unreadableParts.WithLabelValues(part).Inc()
	}
}

// ClientRefused counts a connection or a request that was refused or closed for want of room.
func (m *Meter) ClientRefused(cause string) {
	if m != nil {
		m.clientsRefused.WithLabelValues(cause).Inc()
	}
}

// WatchHeld makes the metrics of held bytes, by kind, and connections, by port, read f when
// they are collected.
func (m *Meter) WatchHeld(f func() (bytes, connections map[string]float64)) {
	if m != nil {
		m.held.read.Store(&f)
	}
}

// LinesDropped counts dropped log lines.
func (m *Meter) LinesDropped(n int) {
	if m != nil {
		m.linesDropped.Add(float64(n))
	}
}

func outcome(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

// WorkerSpeed records the estimated speed of the worker of an agent.
func (m *Meter) WorkerSpeed(agent string, factor, uncertainty float64) {
	if m != nil {
		m.workerSpeed.WithLabelValues(agent).Set(factor)
		m.workerUncertainty.WithLabelValues(agent).Set(uncertainty)
	}
}

// ForgetWorkerSpeed removes the speed of the worker of an agent that is gone.
func (m *Meter) ForgetWorkerSpeed(agent string) {
	if m != nil {
		m.workerSpeed.DeleteLabelValues(agent)
		m.workerUncertainty.DeleteLabelValues(agent)
	}
}

// ForgetWorkerSpeeds removes all speeds, since only the scheduler exports them.
func (m *Meter) ForgetWorkerSpeeds() {
	if m != nil {
		m.workerSpeed.Reset()
		m.workerUncertainty.Reset()
	}
}
