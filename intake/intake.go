// Package intake answers callers: it takes jobs in, cancels them, and tells
// where they stand.
//
// A job is accepted once the store has its record, written under the condition
// that the configuration which allowed it is still the newest. So no caller is
// served under a key that was taken away, however old this process's copy of
// the configuration is. Other calls are answered under a copy that was
// confirmed within ConfirmAge.
//
// # Usage
//
//	d := intake.New(ports, settings)
//	go d.Run(ctx)
//	t, err := d.Resolve(ctx, intake.Call{Host: "h", Path: "/p/ID", Key: "k"})
//	err = d.Submit(ctx, t, job)
package intake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/meter"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Ages of the configuration's last confirmation, by the store itself, up to
// which calls are answered without asking again, and at all.
const (
	ConfirmAge = 1200 * time.Millisecond
	retryPause = 40 * time.Millisecond
)

// Limits of the wait that refused callers are told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Objects reads what operators write: Decode their configuration, and Out the
// failure domain that a key says is out.
type Objects interface {
	Decode(i store.Item) (*policy.Config, error)
	Out(key string) (domain string, ok bool)
	ConfigKey() string
	Prefix() string
}

// Ports of an intake.
type Ports struct {
	Net     wire.Network
	Store   store.Committer
	Objects Objects
	Leader  *leader.Leader
	Log     *logrus.Entry
	Meter   *meter.Meter
}

// Settings of an intake.
type Settings struct {
	// MaxAge is the age of the last confirmation of the configuration up to
	// which calls are answered.
	MaxAge time.Duration
}

// Error is a call that was not answered with success. Status says why, as an
// HTTP status; RetryAfter is when the caller may try again, if ever.
type Error struct {
	Status     int
	Detail     string
	RetryAfter time.Duration
}

func (e *Error) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

func fail(status int, format string, a ...any) *Error {
	return &Error{
		Status: status,
		Detail: fmt.Sprintf(format, a...),
	}
}

// later refuses a call that may be served once the store is back. Of an outage
// nothing is known but its age, and it is expected to last as long again.
func (d *Intake) later(detail string) *Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := fail(http.StatusServiceUnavailable, "%s", detail)
	e.RetryAfter = minRetryAfter
	if !d.failing.IsZero() {
		e.RetryAfter = min(max(time.Since(d.failing), minRetryAfter), maxRetryAfter)
	}
	return e
}

// Call is what a caller's request says: the route, or the queue by its name and
// the job, and the key.
type Call struct {
	Host  string
	Path  string
	Queue string
	Job   string
	Key   string
}

// Target is where a call goes under one configuration.
type Target struct {
	call     Call
	config   *policy.Config
	Queue    *policy.Queue
	Customer string
	// Rest is what follows the queue's prefix in the path: the job's id.
	Rest string
}

// MaxBody bounds the call's body, in bytes.
func (t *Target) MaxBody() int64 { return t.config.MaxBody }

// Intake answers callers.
type Intake struct {
	p Ports
	s Settings
	q query

	mu        sync.Mutex
	config    *policy.Config
	out       map[string]bool
	confirmed time.Time
	// failing is since when the store has not answered, zero while it does.
	failing time.Time
	// confirm is full while the configuration is being confirmed.
	confirm chan struct{}
}

// New returns an intake; Run must be called.
func New(p Ports, s Settings) *Intake {
	return &Intake{
		p:       p,
		s:       s,
		out:     map[string]bool{},
		confirm: make(chan struct{}, 1),
		q: query{
			net:  p.Net,
			role: p.Leader.Role(),
		},
	}
}

// Run follows the operators' objects until c ends.
func (d *Intake) Run(c context.Context) {
	m := mirror.Mirror{
		Store:  d.p.Store,
		Prefix: d.p.Objects.Prefix(),
		Apply:  d.apply,
		Log:    d.p.Log,
	}
	m.Run(c)
	d.q.close()
}

// apply takes in a change of an operator's object.
func (d *Intake) apply(i store.Item) {
	if i.Key == d.p.Objects.ConfigKey() && !i.Deleted {
		d.adopt(i)
		return
	}
	z, ok := d.p.Objects.Out(i.Key)
	if !ok {
		return
	}
	d.mu.Lock()
	out := map[string]bool{}
	for k := range d.out {
		out[k] = true
	}
	delete(out, z)
	if !i.Deleted {
		out[z] = true
	}
	d.out = out
	d.mu.Unlock()
	d.p.Log.WithFields(logrus.Fields{"domain": z, "out": !i.Deleted, "revision": i.Revision}).Info("failure_domain_changed")
	d.publish()
}

// adopt takes a configuration in, unless a newer one is known.
func (d *Intake) adopt(i store.Item) {
	v, err := d.p.Objects.Decode(i)
	if err != nil {
		d.p.Log.WithError(err).WithField("revision", i.Revision).Error("configuration_unreadable")
		return
	}
	d.mu.Lock()
	newer := d.config == nil || v.Revision > d.config.Revision
	if newer {
		d.config = v
	}
	d.mu.Unlock()
	if newer {
		d.p.Log.WithFields(logrus.Fields{"version": v.Version, "revision": v.Revision, "queues": len(v.Queues)}).Info("configuration_adopted")
		d.publish()
	}
}

// publish tells the scheduler of this process what operators ask for.
func (d *Intake) publish() {
	d.mu.Lock()
	o := leader.Objects{
		Config: d.config,
		Out:    d.out,
	}
	d.mu.Unlock()
	d.p.Leader.SetObjects(o)
}

// Ready returns nil when calls can be answered.
func (d *Intake) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.config == nil:
		return fmt.Errorf("no configuration yet")
	case time.Since(d.confirmed) > readyAge:
		return fmt.Errorf("configuration last confirmed %s ago", time.Since(d.confirmed).Round(time.Millisecond))
	}
	return nil
}

// readyAge is the age of the last confirmation up to which a process is ready:
// beyond it callers are better served by another.
const readyAge = 2 * time.Second

// ConfirmLoop confirms the configuration whenever no caller's request has done
// so, until c ends.
func (d *Intake) ConfirmLoop(c context.Context) {
	for pause.For(c, ConfirmAge) {
		if err := d.ask(c, ConfirmAge); err != nil {
			d.p.Log.WithError(err).Debug("configuration_unconfirmed")
		}
	}
}

func (d *Intake) fresh(age time.Duration) (*policy.Config, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config, d.config != nil && time.Since(d.confirmed) <= age
}

// newest returns a configuration that the store confirmed within ConfirmAge, or
// within MaxAge while the store does not answer.
func (d *Intake) newest(c context.Context) (*policy.Config, *Error) {
	if v, ok := d.fresh(ConfirmAge); ok {
		return v, nil
	}
	err := d.ask(c, ConfirmAge)
	v, ok := d.fresh(d.s.MaxAge)
	switch {
	case ok:
		return v, nil
	case v == nil:
		return nil, d.later("there is no configuration yet")
	}
	d.p.Log.WithError(err).Debug("configuration_unconfirmed")
	return nil, d.later("the configuration could not be confirmed")
}

// ask confirms the configuration by a read that must be current, unless another
// call has done so within age.
func (d *Intake) ask(c context.Context, age time.Duration) error {
	select {
	case d.confirm <- struct{}{}:
		defer func() { <-d.confirm }()
	case <-c.Done():
		return c.Err()
	}
	if _, ok := d.fresh(age); ok {
		return nil
	}
	asked := time.Now()
	i, err := d.p.Store.Get(c, d.p.Objects.ConfigKey())
	if err != nil {
		d.missed(c, asked, err)
		return err
	}
	d.adopt(i)
	d.sure(asked)
	return nil
}

// sure notes that the configuration was the newest at a moment.
func (d *Intake) sure(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.confirmed) {
		d.confirmed = at
	}
	if !d.failing.IsZero() {
		d.p.Log.WithFields(logrus.Fields{"reached": true, "ms": time.Since(d.failing).Milliseconds()}).Info("store_reach_changed")
	}
	d.failing = time.Time{}
}

// missed notes that the store gave no answer to a call made at a moment.
func (d *Intake) missed(c context.Context, at time.Time, err error) {
	var u *store.UnavailableError
	if c.Err() != nil || !errors.As(err, &u) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing.IsZero() {
		d.failing = at
		d.p.Log.WithError(err).WithField("reached", false).Warn("store_reach_changed")
	}
}

// Resolve finds the queue and the customer of a call, or returns *Error.
func (d *Intake) Resolve(c context.Context, v Call) (*Target, error) {
	g, e := d.newest(c)
	if e != nil {
		return nil, e
	}
	return resolve(g, v)
}

func resolve(g *policy.Config, v Call) (*Target, error) {
	q, rest, err := v.queue(g)
	if err != nil {
		return nil, err
	}
	n, ok := g.CustomerOf(v.Key)
	if !ok && !q.Public {
		return nil, fail(http.StatusUnauthorized, "the key is not known")
	}
	return &Target{
		call:     v,
		config:   g,
		Queue:    q,
		Customer: n,
		Rest:     rest,
	}, nil
}

// queue returns the queue that a call names, and what follows its prefix.
func (v Call) queue(g *policy.Config) (*policy.Queue, string, error) {
	if v.Queue != "" {
		q := g.Queue(v.Queue)
		if q == nil {
			return nil, "", fail(http.StatusNotFound, "queue %q does not exist", v.Queue)
		}
		return q, v.Job, nil
	}
	q, rest, ok := g.Match(v.Host, v.Path)
	if !ok {
		return nil, "", fail(http.StatusNotFound, "no queue at %s%s", v.Host, v.Path)
	}
	return q, rest, nil
}

// Find returns where a job stands, and its queue, for a caller who knows only its
// id. It returns *Error.
func (d *Intake) Find(c context.Context, id, key string) (*Target, graph.State, error) {
	g, e := d.newest(c)
	if e != nil {
		return nil, "", e
	}
	s, q, err := d.locate(c, id)
	if err != nil {
		return nil, "", err
	}
	t, err := resolve(g, Call{
		Queue: q,
		Job:   id,
		Key:   key,
	})
	return t, s, err
}

// Pending returns how many jobs of a queue have not begun.
func (d *Intake) Pending(c context.Context, t *Target) (int, error) {
	n, err := d.p.Leader.Pending(t.Queue.Name)
	if err == nil {
		return n, nil
	}
	n, err = d.q.pending(c, t.Queue.Name)
	if err != nil {
		d.p.Log.WithError(err).WithField("queue", t.Queue.Name).Info("pending_unknown")
		return 0, d.later("the scheduler cannot be reached")
	}
	return n, nil
}

// State returns where a job of the target's queue stands.
func (d *Intake) State(c context.Context, t *Target) (graph.State, error) {
	s, q, err := d.locate(c, t.Rest)
	if err != nil {
		return "", err
	}
	if q != t.Queue.Name {
		return "", noJob(t.Rest)
	}
	return s, nil
}

// locate returns where a job stands and its queue, or *Error.
func (d *Intake) locate(c context.Context, id string) (graph.State, string, error) {
	s, q, err := d.stateOf(c, id)
	if err != nil {
		d.p.Log.WithError(err).WithField("job", id).Info("state_unknown")
		return "", "", d.later("neither the scheduler nor the store can be reached")
	}
	if s == "" {
		return "", "", noJob(id)
	}
	return s, q, nil
}

func noJob(id string) *Error { return fail(http.StatusGone, "job %q does not exist", id) }
