package leader

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/store"
)

const (
	testRetention = 2 * time.Minute
	// storeAnswerTime is how long the store takes to answer.
	storeAnswerTime = 4 * time.Millisecond
)

// countingStore holds the key of the age marks, and counts transactions. Removals are passed to a
// term, as the watch does.
type countingStore struct {
	store.Committer

	mu       sync.Mutex
	revision uint64
	marks    store.Item
	term     *term
	commits  int
	// perSecond counts the transactions of each second.
	perSecond map[int64]int
}

func (s *countingStore) Get(context.Context, string) (store.Item, error) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marks.Revision == 0 {
		return store.Item{}, &store.NotFoundError{Key: ageMarksKey}
	}
	return s.marks, nil
}

func (s *countingStore) Commit(_ context.Context, x store.Txn) (uint64, error) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	s.revision++
	s.commits++
	if s.perSecond == nil {
		s.perSecond = map[int64]int{}
	}
	s.perSecond[time.Now().Unix()]++
	for _, w := range x.Put {
		s.marks = store.Item{
			Key:      w.Key,
			Value:    w.Value,
			Revision: s.revision,
		}
	}
	rev, t := s.revision, s.term
	s.mu.Unlock()
	for _, k := range x.Remove {
		t.apply(store.Item{
			Key:      k,
			Revision: rev,
			Deleted:  true,
		})
	}
	return rev, nil
}

// mostPerSecond returns the highest number of transactions in one second.
func (s *countingStore) mostPerSecond() int {
	n := 0
	for _, v := range s.perSecond {
		n = max(n, v)
	}
	return n
}

// newExpiringTerm returns a term that removes ended jobs from a store until c ends.
func newExpiringTerm(c context.Context, s *countingStore) *term {
	t := newTestTerm()
	t.leader.ports.Store = s
	t.leader.settings.JobRetention = testRetention
	t.ctx = c
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	if err := t.loadAges(c); err != nil {
		panic(err)
	}
	close(t.ready)
	go t.expireLoop(c)
	return t
}

// addEnded adds a job that has ended and is saved in the store at the present revision.
func (t *term) addEnded(s *countingStore, id string) {
	s.mu.Lock()
	s.revision++
	rev := s.revision
	s.mu.Unlock()
	j := newJob(&graph.Job{
		ID:    id,
		Steps: []graph.Step{{Count: 4}},
	}, rev)
	j.progress.State = graph.Completed
	j.storedRevision = rev
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[id] = j
}

func (t *term) jobCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.jobs)
}

// TestEndedJobsStayBounded guards against ended jobs that pile up in the store and in the scheduler's
// memory, because they are removed more slowly than jobs are submitted: an hour at 10 jobs a second.
func TestEndedJobsStayBounded(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		hour     = time.Hour
		// slack is how late a job may be removed.
		slack = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &countingStore{}
		v := newExpiringTerm(c, s)
		most := 0
		for i := range int(hour / interval) {
			v.addEnded(s, fmt.Sprintf("%016x", i))
			time.Sleep(interval)
			most = max(most, v.jobCount())
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		t.Logf("at most %d jobs kept, %.2f transactions a second, at most %d, heap %.1f MiB", most, float64(s.commits)/hour.Seconds(), s.mostPerSecond(), float64(m.HeapAlloc)/(1<<20))
		if limit := int((testRetention + expireDelay + slack) / interval); most > limit {
			t.Errorf("%d jobs kept, more than the %d of the retention", most, limit)
		}
		if n := s.mostPerSecond(); n > maxExpireTxns+1 {
			t.Errorf("%d transactions in a second", n)
		}
		cancel()
		synctest.Wait()
	})
}

// TestFloodOfEndedJobs guards against a store that is kept busy by the removal of many ended jobs at
// once: each second takes a bounded number of calls.
func TestFloodOfEndedJobs(t *testing.T) {
	const jobs = 20_000
	synctest.Test(t, func(t *testing.T) {
		c, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &countingStore{}
		v := newExpiringTerm(c, s)
		for i := range jobs {
			v.addEnded(s, fmt.Sprintf("%016x", i))
		}
		begun := time.Now()
		for v.jobCount() > 0 && time.Since(begun) < time.Hour {
			time.Sleep(time.Second)
		}
		d := time.Since(begun) - testRetention - expireDelay
		t.Logf("%d jobs removed in %s, at most %d transactions a second", jobs, d, s.mostPerSecond())
		if limit := 2 * jobs / (maxExpireTxns * maxExpiredPerTxn) * time.Second; d > limit || s.mostPerSecond() > 2*maxExpireTxns {
			t.Errorf("took longer than %s, or more than %d transactions a second", limit, 2*maxExpireTxns)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRetentionOutlastsScheduler guards against a retention that begins anew with each scheduler, so
// that ended jobs are kept for ever where it changes often, and against a job that is removed early.
func TestRetentionOutlastsScheduler(t *testing.T) {
	for _, lasts := range []time.Duration{45 * time.Second, 70 * time.Second, 100 * time.Second} {
		t.Run(lasts.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const id = "0000000000000001"
				s := &countingStore{}
				c, cancel := context.WithCancel(context.Background())
				v := newExpiringTerm(c, s)
				v.addEnded(s, id)
				ended := time.Now()
				for terms := 0; v.jobCount() > 0 && terms < 20; terms++ {
					for begun := time.Now(); v.jobCount() > 0 && time.Since(begun) < lasts; {
						time.Sleep(time.Second)
					}
					j := v.jobs[id]
					if j == nil {
						break
					}
					cancel()
					synctest.Wait()
					c, cancel = context.WithCancel(context.Background())
					v = newExpiringTerm(c, s)
					n := newJob(j.Job, j.revision)
					n.progress.State = graph.Completed
					n.storedRevision = j.storedRevision
					v.jobs[id] = n
				}
				kept := time.Since(ended)
				cancel()
				synctest.Wait()
				t.Logf("kept for %s", kept)
				if kept < testRetention || kept > 3*(testRetention+expireDelay) {
					t.Errorf("kept for %s", kept)
				}
			})
		})
	}
}
