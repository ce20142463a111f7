package leader

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
	"hemlockhinge/store"
)

// ageMarkInterval is how often a mark of the time that has passed is stored. What has passed since
// the last one is lost with the scheduler.
const ageMarkInterval = 3 * time.Second

// ageMark says that at least Age has passed since a revision of the store. Marks carry the age of
// jobs, and of the ends of jobs, to the next scheduler without the time of day, which may jump: what
// was stored before the revision of a mark is at least as old.
type ageMark struct {
	Revision uint64        `msgpack:"r"`
	Age      time.Duration `msgpack:"a"`
}

// datedMark is a mark whose age is counted on by this process.
type datedMark struct {
	revision uint64
	// since is the latest time that the revision can have been written.
	since time.Time
}

// ageMarks are the marks of a term, the oldest first. The zero value has none.
type ageMarks struct {
	marks []datedMark
}

// load reads the marks of earlier terms. The time since they were written is not known, and does
// not count.
func (a *ageMarks) load(c context.Context, s store.Port, now time.Time) error {
	i, err := s.Get(c, ageMarksKey)
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return nil
	}
	if err != nil {
		return err
	}
	var l []ageMark
	if err := codec.Unmarshal(i.Value, &l); err != nil {
		return err
	}
	a.marks = nil
	for _, m := range l {
		a.marks = append(a.marks, datedMark{
			revision: m.Revision,
			since:    now.Add(-m.Age),
		})
	}
	a.add(i.Revision, now)
	return nil
}

// encode returns the marks as they are stored. Those that are older than the longest age that
// matters are dropped, but for one.
func (a *ageMarks) encode(now time.Time, longest time.Duration) ([]byte, error) {
	for len(a.marks) > 1 && now.Sub(a.marks[1].since) > longest {
		a.marks = a.marks[1:]
	}
	l := make([]ageMark, 0, len(a.marks))
	for _, m := range a.marks {
		l = append(l, ageMark{
			Revision: m.revision,
			Age:      now.Sub(m.since),
		})
	}
	return msgpack.Marshal(l)
}

// add adds a mark of a revision that was written before a time.
func (a *ageMarks) add(revision uint64, before time.Time) {
	a.marks = append(a.marks, datedMark{
		revision: revision,
		since:    before,
	})
}

// writtenBefore returns the latest time at which a revision can have been written, now if no mark
// tells.
func (a *ageMarks) writtenBefore(revision uint64, now time.Time) time.Time {
	for _, m := range a.marks {
		if revision > 0 && revision <= m.revision {
			return m.since
		}
	}
	return now
}

// loadAges reads the marks of earlier terms, and returns an error if the store has not answered.
// Marks that cannot be read are dropped: jobs then count as younger than they are.
func (t *term) loadAges(c context.Context) error {
	var a ageMarks
	err := a.load(c, t.leader.ports.Store, time.Now())
	var f *store.UnavailableError
	if errors.As(err, &f) {
		return err
	}
	if err != nil {
		t.log.WithError(err).Warn("age_marks_invalid")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ages = a
	return nil
}

// storeAgeMark stores a mark, on condition that this term still holds the role.
func (t *term) storeAgeMark(c context.Context) {
	t.mu.Lock()
	b, err := t.ages.encode(time.Now(), t.retention())
	t.mu.Unlock()
	if err != nil {
		t.log.WithError(err).Error("age_marks_not_encoded")
		return
	}
	rev, err := t.leader.ports.Store.Commit(c, store.Txn{
		If:  []store.Precondition{{Key: roleKey, Revision: t.leadership.epoch}},
		Put: []store.Write{{Key: ageMarksKey, Value: b}},
	})
	if err != nil {
		t.log.WithError(err).Info("age_mark_not_stored")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ages.add(rev, time.Now())
}
