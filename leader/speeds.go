package leader

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/speed"
	"hemlockhinge/wire"
)

// Rules for the speeds of workers.
const (
	// speedInterval is the time between two estimations.
	speedInterval = 500 * time.Millisecond
	// A service is uneven if at least unevenShare of its workers whose speed is known, and at
	// least unevenWorkers, are too slow for the slack of one of its queues. A single slow
	// worker is an outlier. Speeds up to slowMargin times the limit count as too slow, since a
	// run also has to wait a little and estimates tend towards the normal speed.
	unevenShare   = 0.1
	unevenWorkers = 2
	slowMargin    = 1.125
	// knownUncertainty is the uncertainty up to which a speed counts as known.
	knownUncertainty = 0.25
	// lowerQuantile is the quantile of 0.9 of the normal distribution.
	lowerQuantile = 1.28
	// loggedSpeedChange is the relative change of a worker's speed that is logged.
	loggedSpeedChange = 0.2
)

// serviceSpeeds are the speeds of the workers of one service.
type serviceSpeeds struct {
	estimator speed.Estimator
	// changed means that samples have come since the last estimation.
	changed bool
	// uneven means that some workers are too slow for the slack of one of the queues, so that
	// placement considers speeds.
	uneven bool
}

// speedsOf returns the speeds of a service; t.mu is held.
func (t *term) speedsOf(service string) *serviceSpeeds {
	v := t.speeds[service]
	if v == nil {
		v = &serviceSpeeds{}
		t.speeds[service] = v
	}
	return v
}

// uneven reports whether placement on the workers of a service considers their speeds.
func (t *term) uneven(service string) bool {
	v := t.speeds[service]
	return v != nil && v.uneven
}

// speedFactor returns the speed of a worker, 1 for a normal one. Where the workers of a service
// differ little, all are normal.
func (t *term) speedFactor(m *agentState) float64 {
	if !t.uneven(m.worker.Service) {
		return 1
	}
	return m.speed.Factor
}

// updateMachine is called when an agent reports a new incarnation of its worker. It usually runs on
// the same machine, and then keeps its speed with more uncertainty; another kind of worker is
// estimated anew. In a new term the speed comes from the store.
func (t *term) updateMachine(m *agentState, next wire.WorkerInfo) {
	v := t.speedsOf(next.Service)
	v.changed = true
	if m.worker.Born == 0 {
		t.restoreSpeed(m.addr, next)
		return
	}
	if machineOf(m.worker) == machineOf(next) {
		v.estimator.Restart(m.addr)
		return
	}
	t.speedsOf(m.worker.Service).estimator.Forget(m.addr)
	m.speed = unknownSpeed()
}

// unknownSpeed is the speed of a worker of which nothing is known.
func unknownSpeed() speed.Speed {
	var e speed.Estimator
	return e.Speed("")
}

// placementSpeed returns the speed that a worker has at least with a probability of 0.9. Urgent
// gangs thereby avoid workers of unknown speed, of which one slow one makes them late, and work
// that has time goes there and shows the speed.
func (t *term) placementSpeed(m *agentState) float64 {
	if !t.uneven(m.worker.Service) {
		return 1
	}
	return m.speed.Factor * math.Exp(-lowerQuantile*m.speed.Uncertainty)
}

// observeProgress feeds the extrapolated run time of a run to the estimator.
func (t *term) observeProgress(j *job, r *run) {
	if d, ok := r.progress.paceTotal(); ok {
		t.observeSpeed(j, r, d, true)
	}
}

// observeSpeed feeds the run time of a run to the estimator, if it tells the speed of workers. A
// gang counts once, and only while all of its members run.
func (t *term) observeSpeed(j *job, r *run, d time.Duration, partial bool) {
	s := &j.Steps[r.task.Step]
	if r.resumed || r.adopted || s.LongRunning || s.BestEffort || s.Estimate <= 0 || d <= 0 || j.crossesRacks(r.task) {
		return
	}
	k := r.task
	workers := []string{r.agent.addr}
	if s.Gang {
		k.Index = 0
		workers = j.gangWorkers(r)
		if len(workers) == 0 {
			return
		}
	}
	v := t.speedsOf(j.Service)
	v.changed = true
	v.estimator.Observe(k.String()+"#"+strconv.Itoa(r.attempt), speed.Sample{
		Step:     k.StepName(),
		Queue:    j.Queue,
		Estimate: s.Estimate,
		Workers:  workers,
		Duration: d,
		Partial:  partial,
	})
}

// gangWorkers returns the workers of the gang of a run, or nil if not all of its members run.
func (j *job) gangWorkers(r *run) []string {
	n := j.Steps[r.task.Step].Count
	l := make([]string, 0, n)
	k := r.task
	for k.Index = range n {
		v := j.runs[k]
		if v == nil || v.attempt != r.attempt || v.resumed {
			return nil
		}
		if !slices.Contains(l, v.agent.addr) {
			l = append(l, v.agent.addr)
		}
	}
	return l
}

// updateSpeeds estimates the speeds of the workers anew, and decides for each service whether
// placement considers them; t.mu is held.
func (t *term) updateSpeeds(now time.Time) {
	if now.Sub(t.speedsUpdatedAt) < speedInterval {
		return
	}
	t.speedsUpdatedAt = now
	for name, v := range t.speeds {
		if v.changed {
			v.changed = false
			v.estimator.Update()
			t.adoptSpeeds(name, v)
		}
	}
}

// adoptSpeeds takes over the speeds that were estimated for the workers of a service.
func (t *term) adoptSpeeds(service string, v *serviceSpeeds) {
	known, slow := 0, 0
	limit := slowMargin * t.slowestSufficient(service)
	for _, m := range t.agents {
		if m.worker.Service != service {
			continue
		}
		m.speed = v.estimator.Speed(m.addr)
		t.leader.ports.Meter.WorkerSpeed(m.addr, m.speed.Factor, m.speed.Uncertainty)
		t.logSpeed(m)
		if m.speed.Uncertainty > knownUncertainty {
			continue
		}
		known++
		if m.speed.Factor < limit {
			slow++
		}
	}
	// Once uneven, a service stays so for the term: the estimates get better with time, and
	// placement by speed keeps urgent runs away from the slow workers.
	if !v.uneven && slow >= unevenWorkers && float64(slow) >= unevenShare*float64(known) {
		v.uneven = true
		t.log.WithFields(logrus.Fields{"service": service, "slow": slow, "known": known, "limit": limit}).Info("service_uneven")
	}
}

// logSpeed logs the speed of a worker when it is known and has changed by much.
func (t *term) logSpeed(m *agentState) {
	if m.speed.Uncertainty > knownUncertainty {
		return
	}
	if c := m.speed.Factor / m.loggedSpeed; c > 1-loggedSpeedChange && c < 1+loggedSpeedChange {
		return
	}
	m.loggedSpeed = m.speed.Factor
	t.log.WithFields(logrus.Fields{
		"agent":       m.addr,
		"worker":      m.worker.ID,
		"speed":       math.Round(m.speed.Factor*100) / 100,
		"uncertainty": math.Round(m.speed.Uncertainty*100) / 100,
	}).Info("worker_speed_changed")
}

// slowestSufficient returns the speed below which a worker is too slow for the slack of some queue
// of a service, by the slack factor alone; the target of the queue is not counted.
func (t *term) slowestSufficient(service string) float64 {
	o := t.leader.currentOperatorSettings()
	if o.Config == nil {
		return 0
	}
	limit := 0.0
	for i := range o.Config.Queues {
		if q := &o.Config.Queues[i]; q.Service == service && q.SlackFactor > 1 {
			limit = max(limit, 1/q.SlackFactor)
		}
	}
	return limit
}

// maxUsefulSpeed is the highest speed that is looked for: a step that needs more is late.
const maxUsefulSpeed = 1.5

// minSpeed returns the speed at which the step still ends within the objective, or, if it is late
// already, while its result has a value; 0, which admits any worker, if even
// maxUsefulSpeed is not enough.
func (v timing) minSpeed() float64 {
	for _, end := range []time.Duration{v.objective, alloc.TardyFactor * v.objective} {
		left := end - v.waited - slackMargin
		if left <= 0 {
			continue
		}
		if f := float64(v.remaining) / float64(left); f <= maxUsefulSpeed {
			return f
		}
	}
	return 0
}

// runSpeed returns the speed at which a run progresses: that of its worker, or of the slowest worker
// of its gang.
func (t *term) runSpeed(j *job, r *run) float64 {
	if !t.uneven(j.Service) {
		return 1
	}
	if !j.Steps[r.task.Step].Gang {
		return t.speedFactor(r.agent)
	}
	slowest := t.speedFactor(r.agent)
	for k, v := range j.runs {
		if k.Step == r.task.Step && k.Occurrence == r.task.Occurrence {
			slowest = min(slowest, t.speedFactor(v.agent))
		}
	}
	return slowest
}
