// Package intake handles callers' requests: it accepts jobs, cancels them, and
// reports their state.
//
// A job is accepted once the store has its record. That write is conditional on
// the configuration which allowed the job still being the newest one, so a
// revoked API key cannot submit a job, however old this process's copy of the
// configuration is. Other requests are answered from a copy that was confirmed
// within ConfirmAge, or within Settings.MaxAge while the store does not answer: a change
// is in force everywhere after that time, whatever becomes of the store and the network.
//
// # Usage
//
//	d := intake.New(ports, settings)
//	go d.Run(ctx)
//	t, err := d.Resolve(ctx, intake.Request{Host: "h", Path: "/p/ID", APIKey: "k"})
//	err = d.Submit(ctx, t, job)
package intake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/meter"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// retryPause is the pause between tries of a write.
const retryPause = 40 * time.Millisecond

// Bounds of the Retry-After that refused callers are sent.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Objects reads the objects that operators write to the store. Decode decodes
// their configuration. OutOfService returns the failure domain that a key marks
// as out of service; ok is false for any other key.
type Objects interface {
	Decode(i store.Item) (*policy.Config, error)
	OutOfService(key string) (domain string, ok bool)
	ConfigKey() string
	Prefix() string
}

// Ports are the dependencies of an Intake.
type Ports struct {
	Net     wire.Network
	Store   store.Committer
	Objects Objects
	Leader  *leader.Leader
	Log     *logrus.Entry
	Meter   *meter.Meter
	// Clock dates what the store has confirmed.
	Clock clock.Clock
}

// Settings of an Intake.
type Settings struct {
	// MaxAge is how long after the store last confirmed the configuration requests are
	// still answered while the store does not answer. It must not exceed the time within
	// which a change of the configuration must be in force.
	MaxAge time.Duration
	// MaxObjectsAge is how long after the store last confirmed the operators' objects
	// the scheduler in this process still starts tasks; 0 means that there is no limit.
	MaxObjectsAge time.Duration
}

// Error is returned for a request that failed. Status is the HTTP status to
// answer with; RetryAfter is how long the caller should wait before it tries
// again, or zero when there is no point in that.
type Error struct {
	Status     int
	Detail     string
	RetryAfter time.Duration
}

func (e *Error) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

// isNoSuchJob reports whether the caller has no such job.
func (e *Error) isNoSuchJob() bool { return e.Status == http.StatusGone }

func errorf(status int, format string, a ...any) *Error {
	return &Error{
		Status: status,
		Detail: fmt.Sprintf(format, a...),
	}
}

// unavailable returns an error of status 503 for a request that can be served
// once the store answers again. All that is known about an outage is how long it
// has lasted; it is expected to last as long again, so callers are told to wait
// that long, within bounds.
func (d *Intake) unavailable(detail string) *Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := errorf(http.StatusServiceUnavailable, "%s", detail)
	e.RetryAfter = minRetryAfter
	if !d.storeDownSince.IsZero() {
		e.RetryAfter = min(max(d.ports.Clock.Since(d.storeDownSince), minRetryAfter), maxRetryAfter)
	}
	return e
}

// Request is what a caller's request contains: a host and path, or the name of a
// queue and the id of a job; and the caller's API key.
type Request struct {
	Host   string
	Path   string
	Queue  string
	JobID  string
	APIKey string
}

// ResolvedRequest is a request whose queue and customer were looked up in one
// version of the configuration.
type ResolvedRequest struct {
	request  Request
	config   *policy.Config
	Queue    *policy.Queue
	Customer string
	// JobID is the job's id: what follows the queue's prefix in the path. It is
	// empty in a request about the queue itself.
	JobID string
}

// mayActFor reports whether the caller may ask for the jobs of a customer, and cancel them: its own,
// all in a public queue, and those of customers that the configuration does not name any more.
func (t *ResolvedRequest) mayActFor(customer string) bool {
	return t.Queue.Public || customer == t.Customer || !t.config.HasCustomer(customer)
}

// MaxBody returns the maximum size of the request's body, in bytes.
func (t *ResolvedRequest) MaxBody() int64 { return t.config.MaxBodyBytes }

// Intake handles callers' requests.
type Intake struct {
	ports       Ports
	settings    Settings
	scheduler   schedulerClient
	withdrawals withdrawals
	// objects follows the operators' objects.
	objects mirror.Mirror

	// publishing is held while what is known is passed on to the scheduler, so that the
	// newest is passed on last. It is locked before mu.
	publishing sync.Mutex

	mu           sync.Mutex
	config       *policy.Config
	outOfService map[string]bool
	// confirmedAt is when the configuration was last known to be the newest, and
	// objectsConfirmedAt is the same for all objects of the operators.
	confirmedAt        clock.Time
	objectsConfirmedAt clock.Time
	// storeDownSince is when the first of the store's present run of unanswered
	// or refused calls was made; zero while the store answers.
	storeDownSince clock.Time
	// attempt is the attempt to confirm the configuration that is in progress, or nil.
	attempt *confirmAttempt
	group   pause.Group
}

// New returns an Intake. The caller must call Run.
func New(p Ports, s Settings) *Intake {
	d := &Intake{
		ports:        p,
		settings:     s,
		outOfService: map[string]bool{},
		scheduler: schedulerClient{
			net:  p.Net,
			role: p.Leader.Role(),
		},
	}
	d.objects = mirror.Mirror{
		Store:  p.Store,
		Prefix: p.Objects.Prefix(),
		Apply:  d.apply,
		Log:    p.Log,

		OnConfirmed: d.confirmObjects,
		Clock:       p.Clock,
	}
	return d
}

// Run follows changes of the operators' objects in the store until c ends.
func (d *Intake) Run(c context.Context) {
	d.objects.Run(c)
	d.scheduler.close()
	d.group.Close()
}

// apply applies a change of one of the operators' objects.
func (d *Intake) apply(i store.Item) {
	if i.Key == d.ports.Objects.ConfigKey() && !i.Deleted {
		d.adopt(i)
		return
	}
	z, ok := d.ports.Objects.OutOfService(i.Key)
	if !ok {
		return
	}
	d.mu.Lock()
	out := map[string]bool{}
	for k := range d.outOfService {
		out[k] = true
	}
	delete(out, z)
	if !i.Deleted {
		out[z] = true
	}
	d.outOfService = out
	d.mu.Unlock()
	d.ports.Log.WithFields(logrus.Fields{"domain": z, "out": !i.Deleted, "revision": i.Revision}).Info("failure_domain_changed")
	d.publish()
}

// confirmObjects records that all changes of the operators' objects that were made before a
// time are applied.
func (d *Intake) confirmObjects(at clock.Time) {
	d.mu.Lock()
	if at.After(d.objectsConfirmedAt) {
		d.objectsConfirmedAt = at
	}
	d.mu.Unlock()
	d.publish()
}

// adopt replaces the current configuration by the one in i if that is newer.
func (d *Intake) adopt(i store.Item) {
	if v, _ := d.configConfirmedWithin(0); v != nil && v.Revision >= i.Revision {
		return
	}
	v, err := d.ports.Objects.Decode(i)
	if err != nil {
		d.ports.Log.WithError(err).WithField("revision", i.Revision).Error("configuration_unreadable")
		return
	}
	d.mu.Lock()
	newer := d.config == nil || v.Revision > d.config.Revision
	if newer {
		d.config = v
	}
	d.mu.Unlock()
	if newer {
		d.ports.Log.WithFields(logrus.Fields{"version": v.Version, "revision": v.Revision, "queues": len(v.Queues)}).Info("configuration_adopted")
		d.publish()
	}
}

// publish passes the configuration and the failure domains that are out of
// service to the scheduler in this process.
func (d *Intake) publish() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	o := leader.OperatorSettings{
		Config:       d.config,
		OutOfService: d.outOfService,
		ConfirmedAt:  d.objectsConfirmedAt,
	}
	d.mu.Unlock()
	d.ports.Leader.SetOperatorSettings(o)
}

// Resolve looks up the queue and the customer of a request. Its error is an
// *Error.
func (d *Intake) Resolve(c context.Context, v Request) (*ResolvedRequest, error) {
	g, e := d.currentConfig(c)
	if e != nil {
		return nil, e
	}
	t, err := resolve(g, v)
	d.recordDecision(v, g, err)
	return t, err
}

// recordDecision records by which configuration a request was resolved, in the log if it was
// refused or if the store had not confirmed that configuration recently.
func (d *Intake) recordDecision(v Request, g *policy.Config, err error) {
	age := d.configAge()
	d.ports.Meter.ConfigAge(age)
	if err == nil && age <= d.confirmAge() {
		return
	}
	d.ports.Log.WithError(err).WithFields(logrus.Fields{
		"host":     v.Host,
		"path":     v.Path,
		"queue":    v.Queue,
		"version":  g.Version,
		"revision": g.Revision,
		"age_ms":   age.Milliseconds(),
	}).Info("request_resolved")
}

func resolve(g *policy.Config, v Request) (*ResolvedRequest, error) {
	q, rest, err := v.lookUpQueue(g)
	if err != nil {
		return nil, err
	}
	n, ok := g.CustomerByKey(v.APIKey)
	if !ok && !q.Public {
		return nil, errorf(http.StatusUnauthorized, "unknown API key")
	}
	return &ResolvedRequest{
		request:  v,
		config:   g,
		Queue:    q,
		Customer: n,
		JobID:    rest,
	}, nil
}

// resolveCaller resolves a request that names no queue: it only looks up the customer.
func resolveCaller(g *policy.Config, v Request) *ResolvedRequest {
	n, _ := g.CustomerByKey(v.APIKey)
	return &ResolvedRequest{
		request:  v,
		config:   g,
		Customer: n,
		JobID:    v.JobID,
	}
}

// resolveAgain resolves the request in another version of the configuration.
func (t *ResolvedRequest) resolveAgain(g *policy.Config) (*ResolvedRequest, error) {
	if t.Queue == nil {
		return resolveCaller(g, t.request), nil
	}
	return resolve(g, t.request)
}

// jobKey returns the key of the record of the job that the request names.
func (t *ResolvedRequest) jobKey() string { return leader.JobKey(t.JobID) }

// lookUpQueue returns the queue that a request names, and the id of the job.
func (v Request) lookUpQueue(g *policy.Config) (*policy.Queue, string, error) {
	if v.Queue != "" {
		q := g.Queue(v.Queue)
		if q == nil {
			return nil, "", errorf(http.StatusNotFound, "queue %q does not exist", v.Queue)
		}
		return q, v.JobID, nil
	}
	q, rest, ok := g.MatchQueue(v.Host, v.Path)
	if !ok {
		return nil, "", errorf(http.StatusNotFound, "no queue at %s%s", v.Host, v.Path)
	}
	return q, rest, nil
}

// Find returns the state of a job and the request resolved to its queue, for a
// caller who knows only the job's id. Its error is an *Error.
func (d *Intake) Find(c context.Context, id, key string) (*ResolvedRequest, graph.State, error) {
	g, e := d.currentConfig(c)
	if e != nil {
		return nil, "", e
	}
	i, err := d.job(c, id)
	if err != nil {
		return nil, "", err
	}
	t, err := resolveJob(g, id, key, i)
	if err != nil {
		return nil, "", err
	}
	return t, i.State, nil
}

// resolveJob returns the request with which a caller acts for a job, or an *Error.
func resolveJob(g *policy.Config, id, key string, i leader.JobInfo) (*ResolvedRequest, error) {
	name := i.Queue.Name
	if v := g.Lookup(i.Queue); v != nil {
		name = v.Name
	}
	t, err := resolve(g, Request{
		Queue:  name,
		JobID:  id,
		APIKey: key,
	})
	if err == nil && !t.mayActFor(i.Customer) {
		return nil, noSuchJob(id)
	}
	return t, err
}

// Pending returns how many jobs of the request's queue have not started.
func (d *Intake) Pending(c context.Context, t *ResolvedRequest) (int, error) {
	n, err := d.ports.Leader.Pending(t.Queue.Name)
	if err == nil {
		return n, nil
	}
	n, err = d.scheduler.pending(c, t.Queue.Name)
	if err != nil {
		d.ports.Log.WithError(err).WithField("queue", t.Queue.Name).Info("pending_count_unavailable")
		return 0, d.unavailable("the scheduler cannot be reached")
	}
	return n, nil
}

// State returns the state of the job that the request names, which must be in the request's queue
// and of its customer.
func (d *Intake) State(c context.Context, t *ResolvedRequest) (graph.State, error) {
	i, err := d.job(c, t.JobID)
	if err != nil {
		return "", err
	}
	if !t.Queue.Is(i.Queue) || !t.mayActFor(i.Customer) {
		return "", noSuchJob(t.JobID)
	}
	return i.State, nil
}

// job returns what is known of a job. Its error is an *Error.
func (d *Intake) job(c context.Context, id string) (leader.JobInfo, error) {
	i, err := d.queryJob(c, id)
	if err != nil {
		return leader.JobInfo{}, d.jobUnavailable(id, err)
	}
	if i.State == "" {
		return leader.JobInfo{}, noSuchJob(id)
	}
	return i, nil
}

// jobUnavailable returns the error for a job of which nothing could be learnt.
func (d *Intake) jobUnavailable(id string, err error) *Error {
	d.ports.Log.WithError(err).WithField("job", id).Info("job_state_unavailable")
	return d.unavailable("the scheduler and the store cannot be reached")
}

func noSuchJob(id string) *Error { return errorf(http.StatusGone, "job %q does not exist", id) }
