package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

const (
	// absenceDelay is how long an agent is out of contact before that is stored, so that a
	// reconnection does not need the store.
	absenceDelay = time.Second
	// absenceStep is by how much the silence in a stored absence may lag behind. It bounds what a
	// change of the scheduler costs.
	absenceStep = time.Second
	// absenceInterval is how often changes of the absences are looked for.
	absenceInterval = 500 * time.Millisecond
	// absenceTimeout bounds a write of the absences, and the wait of a session for it.
	absenceTimeout = time.Second
)

// absence is the stored record of an agent that is out of contact. While it is in the store, no
// scheduler contacts the agent, so its worker's leases are not renewed and nothing is started there.
// What one term has found out about the agent therefore still holds in the next.
type absence struct {
	// Silence is how long the agent had been out of contact at least when the record was written.
	Silence time.Duration `msgpack:"s"`
	// TasksKnown means that Tasks are all that may run at the agent's worker, or have ended there
	// without that being in the store.
	TasksKnown bool     `msgpack:"k"`
	Tasks      []string `msgpack:"t"`
	// Before is the revision of the store from which on jobs cannot run at the worker, if its tasks
	// are not known.
	Before uint64 `msgpack:"b"`
}

// absences are the stored absences by the revisions of the agents' registrations, as one term knows
// them. An agent that registers again is another one for later terms, so a record of its former
// registration has no effect there.
type absences struct {
	// loaded are those that this term found, as far as they still hold.
	loaded map[uint64]absence
	// stored are those in the store, and revision is that of their key, 0 for none.
	stored   map[uint64]absence
	revision uint64
	// uncertain are the registrations in writes that may still take effect, or have, without an answer.
	uncertain map[uint64]bool
	// settled is closed and replaced once the outcome of a write is known.
	settled chan struct{}
}

// mayBeStored reports whether the store may have an absence of a registration, now or later.
func (a *absences) mayBeStored(registration uint64) bool {
	_, ok := a.stored[registration]
	return ok || a.uncertain[registration]
}

// begin records that a write is under way, and returns what was uncertain before.
func (a *absences) begin(l map[uint64]absence) map[uint64]bool {
	before := a.uncertain
	a.uncertain = map[uint64]bool{}
	for k := range l {
		a.uncertain[k] = true
	}
	for k := range before {
		a.uncertain[k] = true
	}
	return before
}

// adds reports whether a write would add agents to those that may be in the store.
func (a *absences) adds(l map[uint64]absence) bool {
	for k := range l {
		if !a.mayBeStored(k) {
			return true
		}
	}
	return false
}

// settle records what is in the store. No earlier write can take effect any more, since each
// requires the revision that the key had before.
func (a *absences) settle(l map[uint64]absence, revision uint64) {
	a.stored = l
	a.revision = revision
	a.uncertain = nil
	close(a.settled)
	a.settled = make(chan struct{})
}

// loadAbsences reads the stored absences.
func (t *term) loadAbsences(c context.Context) error {
	i, err := t.leader.ports.Store.Get(c, absencesKey)
	var none *store.NotFoundError
	if err != nil && !errors.As(err, &none) {
		return err
	}
	l := t.decodeAbsences(i)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.absences.loaded = maps.Clone(l)
	t.absences.settle(l, i.Revision)
	for _, m := range t.agents {
		t.restoreAbsence(m)
	}
	return nil
}

// decodeAbsences decodes an item with absences, which may not exist. Those that cannot be read are
// dropped: the scheduler then waits for the agents as if it knew nothing of them.
func (t *term) decodeAbsences(i store.Item) map[uint64]absence {
	if i.Revision == 0 {
		return nil
	}
	var l map[uint64]absence
	if err := codec.Unmarshal(i.Value, &l); err != nil {
		t.log.WithError(err).WithField("revision", i.Revision).Warn("absences_invalid")
		return nil
	}
	return l
}

// restoreAbsence gives an agent the absence that an earlier term has stored; t.mu is held.
func (t *term) restoreAbsence(m *agentState) {
	v, ok := t.absences.loaded[m.registration]
	if !ok {
		return
	}
	m.absence = &v
	m.absentSince = t.startedAt.Add(-v.Silence)
	m.absentTasks = map[graph.Task]bool{}
	for _, s := range v.Tasks {
		if k, err := graph.ParseTask(s); err == nil {
			m.absentTasks[k] = true
		}
	}
}

// leaseExpiry returns how long after an agent's last contact all leases of its worker have
// expired.
func (t *term) leaseExpiry() time.Duration {
	return time.Duration(float64(t.leader.settings.SilenceTolerance)*(1+fence.MaxClockDrift)) + silenceMargin
}

// silence returns for how long at least no scheduler has been in contact with an agent, this one
// or an earlier one; t.mu is held.
func (t *term) silence(m *agentState, now time.Time) time.Duration {
	switch {
	case m.peer != nil:
		return 0
	case !m.absentSince.IsZero():
		return now.Sub(m.absentSince)
	}
	return min(now.Sub(m.lastContact), now.Sub(t.startedAt)-predecessorTime)
}

// storeAbsencesLoop keeps the absences in the store current until c ends.
func (t *term) storeAbsencesLoop(c context.Context) {
	k := time.NewTicker(absenceInterval)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.absencesNow:
		case <-k.C:
		}
		t.storeAbsences(c)
	}
}

// storeAbsences writes the absences, if they differ from what is in the store, on condition that
// this term still holds the role. A write that failed is repeated by a later call.
func (t *term) storeAbsences(c context.Context) {
	c, cancel := context.WithTimeout(c, absenceTimeout)
	defer cancel()
	t.mu.Lock()
	l := t.currentAbsences(time.Now())
	due, adds := t.absencesDiffer(l), t.absences.adds(l)
	t.mu.Unlock()
	// Agents in a write without an answer are not contacted until the store answers again. A read
	// without an answer does no harm.
	if !due || adds && !t.leader.role.storeAnswers(c) {
		return
	}
	t.mu.Lock()
	l = t.currentAbsences(time.Now())
	revision := t.absences.revision
	uncertain := t.absences.begin(l)
	t.mu.Unlock()
	b, err := msgpack.Marshal(l)
	if err != nil {
		t.log.WithError(err).Error("absences_not_encoded")
		return
	}
	rev, err := t.leader.ports.Store.Commit(c, store.Txn{
		If: []store.Precondition{
			{Key: roleKey, Revision: t.leadership.epoch},
			{Key: absencesKey, Revision: revision},
		},
		Put: []store.Write{{Key: absencesKey, Value: b}},
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	var u *store.UnavailableError
	if errors.As(err, &u) && u.Refused {
		t.absences.uncertain = uncertain
	}
	t.absencesWritten(l, rev, err)
}

// absencesWritten records the outcome of a write of the absences; t.mu is held.
func (t *term) absencesWritten(l map[uint64]absence, revision uint64, err error) {
	var f *store.TxnConflictError
	switch {
	case err == nil:
		t.absences.settle(l, revision)
		t.log.WithField("agents", len(l)).Info("absences_stored")
	case errors.As(err, &f):
		if r, ok := f.Item(roleKey); !ok || r.Revision != t.leadership.epoch {
			return
		}
		// An earlier write without an answer has taken effect.
		i, _ := f.Item(absencesKey)
		t.absences.settle(t.decodeAbsences(i), i.Revision)
		pause.Wake(t.absencesNow)
	default:
		t.log.WithError(err).WithField("agents", len(l)).Info("absences_not_stored")
	}
}

// currentAbsences returns the absences as they are now; t.mu is held.
func (t *term) currentAbsences(now time.Time) map[uint64]absence {
	l := map[uint64]absence{}
	for _, m := range t.agents {
		if d := t.silence(m, now); d >= absenceDelay && !m.returning {
			l[m.registration] = t.absenceOf(m, min(d, t.leaseExpiry()+absenceStep))
		}
	}
	return l
}

// absenceOf describes the absence of an agent; t.mu is held.
func (t *term) absenceOf(m *agentState, silence time.Duration) absence {
	v := absence{
		Silence: silence,
		Before:  t.leadership.epoch,
	}
	switch {
	case m.accountedFor:
		v.TasksKnown = true
		v.Tasks = m.taskNames()
	case m.absence != nil:
		v = *m.absence
		v.Silence = silence
	}
	return v
}

// taskNames returns the names of all tasks that may run at the worker of an agent that is
// accounted for, and of those whose ends it has reported and the store may not have, sorted: the
// worker lists these ends until they are acknowledged.
func (m *agentState) taskNames() []string {
	l := map[string]bool{}
	for k := range m.runs {
		l[k.String()] = true
	}
	for k := range m.unexpected {
		l[k.String()] = true
	}
	for _, e := range m.pendingEnds {
		if e.job != nil {
			l[e.task.String()] = true
		}
	}
	return slices.Sorted(maps.Keys(l))
}

// absencesDiffer reports whether what is in the store must be replaced: because it names other
// agents, or because its silences lag behind. What runs at an absent worker can only become less,
// and does not matter once its leases have expired.
func (t *term) absencesDiffer(l map[uint64]absence) bool {
	if !t.restored || t.roleLost {
		return false
	}
	if len(l) != len(t.absences.stored) || len(t.absences.uncertain) > 0 {
		return true
	}
	expired := t.leaseExpiry()
	for k, v := range l {
		o, ok := t.absences.stored[k]
		if !ok || o.Silence <= expired && (v.Silence > expired || v.Silence-o.Silence >= absenceStep) {
			return true
		}
	}
	return false
}

// endAbsence returns once the store certainly has no absence of an agent that has answered, so
// that the agent may be contacted. The caller calls leftContact later.
func (t *term) endAbsence(c context.Context, m *agentState) error {
	c, cancel := context.WithTimeout(c, absenceTimeout)
	defer cancel()
	begun := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	m.returning = true
	for t.absences.mayBeStored(m.registration) {
		settled := t.absences.settled
		t.mu.Unlock()
		pause.Wake(t.absencesNow)
		select {
		case <-settled:
		case <-c.Done():
		}
		t.mu.Lock()
		if c.Err() != nil {
			return c.Err()
		}
	}
	if !m.absentSince.IsZero() {
		t.log.WithFields(logrus.Fields{
			"agent":     m.addr,
			"absent_ms": t.silence(m, begun).Milliseconds(),
			"waited_ms": time.Since(begun).Milliseconds(),
		}).Info("agent_returned")
	}
	return nil
}

// leftContact records that an agent is no longer contacted.
func (t *term) leftContact(m *agentState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.returning = false
}

// endSilence forgets since when an agent has been out of contact, once it is in session. What may
// run at its worker stays known until the agent is accounted for; t.mu is held.
func (t *term) endSilence(m *agentState) {
	delete(t.absences.loaded, m.registration)
	m.absentSince = time.Time{}
}
