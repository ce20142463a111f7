package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"hemlockhinge/admin"
	"hemlockhinge/refuse"
	"hemlockhinge/route"
	"hemlockhinge/sched"
	"hemlockhinge/store"
)

const publishTimeout = 10 * time.Second

// meter holds the entry's metrics.
type meter struct {
	requests      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	jobs          prometheus.Counter
	preempted     prometheus.Counter
	decide        prometheus.Histogram
	configVersion prometheus.Gauge
}

func newMeter(r *prometheus.Registry) meter {
	f := promauto.With(r)
	return meter{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "hemlockhinge_entry_requests_total",
			Help: "Requests by service and outcome.",
		}, []string{"service", "outcome"}),
		latency: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hemlockhinge_entry_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "hemlockhinge_scheduler_attempts_total",
			Help: "Attempts of jobs by outcome.",
		}, []string{"outcome"}),
		jobs: f.NewCounter(prometheus.CounterOpts{
			Name: "hemlockhinge_entry_jobs_total",
			Help: "Jobs accepted.",
		}),
		preempted: f.NewCounter(prometheus.CounterOpts{
			Name: "hemlockhinge_scheduler_preemptions_total",
			Help: "Jobs asked to checkpoint and stop.",
		}),
		decide: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "hemlockhinge_scheduler_decide_seconds",
			Help:    "Time of one pass of decisions.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		configVersion: f.NewGauge(prometheus.GaugeOpts{
			Name: "hemlockhinge_entry_config_version",
			Help: "Version of the operators' objects in force.",
		}),
	}
}

// routes builds the HTTP interface.
func (e *Entry) routes() http.Handler {
	h := admin.New(admin.Probe{
		State: func() any { return e.State() },
		Ready: e.Ready,
	}, e.registry)
	h.HTTPErrorHandler = refuse.Handler(asProblem)
	h.Use(e.drainMiddleware)
	h.Any("/s/:service", e.serve)
	h.Any("/s/:service/*", e.serve)
	h.POST("/v1/jobs", e.submitJob)
	h.GET("/v1/jobs/:id", e.getJob)
	h.DELETE("/v1/jobs/:id", e.cancelJob)
	h.GET("/v1/config", e.getConfig)
	h.PUT("/v1/config", e.putConfig)
	h.GET("/v1/status", e.status)
	return h
}

// drainMiddleware makes callers use another connection for the next request while the
// entry is draining.
func (e *Entry) drainMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.closeWhileDraining(c.Response().Header())
		return next(c)
	}
}

// etag formats a version as the value of an ETag header.
func etag(v uint64) string { return strconv.Quote(strconv.FormatUint(v, 10)) }

// ChangeStatus is the response to GET /v1/config?change=ID.
type ChangeStatus struct {
	ChangeID   string `json:"change_id"`
	TookEffect bool   `json:"took_effect"`
}

// getChange reports whether a change is among the most recent ones that took effect.
func (e *Entry) getChange(c echo.Context, id string) error {
	x, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	ok, err := e.configs.HasWrite(x, configID, id)
	var m *store.NotFoundError
	if err != nil && !errors.As(err, &m) {
		return err
	}
	return c.JSON(http.StatusOK, ChangeStatus{
		ChangeID:   id,
		TookEffect: ok,
	})
}

// getConfig answers GET /v1/config.
func (e *Entry) getConfig(c echo.Context) error {
	if id := c.QueryParam("change"); id != "" {
		return e.getChange(c, id)
	}
	e.mu.Lock()
	v, t := e.config.version, e.config.text
	e.mu.Unlock()
	c.Response().Header().Set("ETag", etag(v))
	if v == 0 {
		t = []byte("{}\n")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, t)
}

// PublishResult is the response to PUT /v1/config when the change has taken effect.
type PublishResult struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// putConfig answers PUT /v1/config.
func (e *Entry) putConfig(c echo.Context) error {
	m := c.Request().Header.Get("If-Match")
	if m == "" {
		return refuse.NotRun(http.StatusPreconditionRequired, "no_version", "If-Match must name the version that the change is based on")
	}
	v, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(m, "W/"), `"`), 10, 64)
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, "bad_version", fmt.Sprintf("If-Match %q is not a version", m))
	}
	b, err := refuse.ReadBody(c, maxConfigBytes, "the objects are")
	if err != nil {
		return err
	}
	x, cancel := context.WithTimeout(c.Request().Context(), publishTimeout)
	defer cancel()
	id := rand.Text()
	n, err := e.publish(x, b, v, id)
	if err != nil {
		p := asProblem(err)
		p.ChangeID = id
		return p
	}
	e.ports.Log.WithField("version", n).WithField("change", id).Info("config_published")
	c.Response().Header().Set("ETag", etag(n))
	return c.JSON(http.StatusOK, PublishResult{
		Version:  n,
		ChangeID: id,
	})
}

// Status is the response to GET /v1/status.
type Status struct {
	Entry          string         `json:"entry"`
	ConfigVersion  uint64         `json:"config_version"`
	Entries        []string       `json:"entries"`
	FailureDomains []DomainStatus `json:"failure_domains"`
	Agents         int            `json:"agents"`
	OpenJobs       int            `json:"open_jobs"`
	RequestsQueued map[string]int `json:"requests_queued"`
}

// DomainStatus is one failure domain in a Status. View is set only by the entry that
// schedules the failure domain.
type DomainStatus struct {
	Name         string      `json:"name"`
	OutOfService bool        `json:"out"`
	Scheduler    string      `json:"scheduler"`
	Epoch        uint64      `json:"epoch"`
	Agents       int         `json:"agents"`
	View         *sched.View `json:"view,omitempty"`
}

func (e *Entry) status(c echo.Context) error { return c.JSON(http.StatusOK, e.Status()) }

// Status returns a summary of what this entry knows.
func (e *Entry) Status() Status {
	_, q := e.dispatcher.views()
	e.mu.Lock()
	s := Status{
		Entry:          e.settings.ID,
		ConfigVersion:  e.config.version,
		Agents:         len(e.sessions),
		RequestsQueued: q,
	}
	for n := range e.entries {
		s.Entries = append(s.Entries, n)
	}
	n := map[string]int{}
	for _, v := range e.sessions {
		n[v.agent.Domain]++
	}
	for _, m := range e.openByDomain {
		s.OpenJobs += len(m)
	}
	var h []*scheduler
	for _, d := range e.config.objects.FailureDomains {
		s.FailureDomains = append(s.FailureDomains, DomainStatus{
			Name:         d.Name,
			OutOfService: d.OutOfService,
			Scheduler:    e.roleHolders[d.Name].Body.Entry,
			Epoch:        e.roleHolders[d.Name].Revision,
			Agents:       n[d.Name],
		})
		h = append(h, e.schedulers[d.Name])
	}
	e.mu.Unlock()
	slices.Sort(s.Entries)
	for i, v := range h {
		if v != nil {
			w := v.status()
			s.FailureDomains[i].View = &w
		}
	}
	return s
}

// Dump is the entry's state, as returned by GET /v1/state.
type Dump struct {
	Status
	Draining          bool           `json:"draining"`
	LeaseUntil        time.Time      `json:"lease_until"`
	ConfigConfirmedAt time.Time      `json:"config_confirmed_at"`
	Targets           []route.View   `json:"targets"`
	CachedJobs        int            `json:"cached_jobs"`
	EntryAddresses    []registration `json:"entry_addresses"`
}

// State returns the current Dump.
func (e *Entry) State() Dump {
	t, _ := e.dispatcher.views()
	d := Dump{
		Status:  e.Status(),
		Targets: t,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Draining = e.draining
	d.LeaseUntil = e.lease.until
	d.ConfigConfirmedAt = e.config.confirmedAt
	d.CachedJobs = len(e.jobCache)
	for _, v := range e.entries {
		d.EntryAddresses = append(d.EntryAddresses, v)
	}
	return d
}
