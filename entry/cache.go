package entry

import (
	"context"
	"errors"
	"time"

	"hemlockhinge/jobs"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Times of the deletion of old records. deletePause is the pause after each
// deletion.
const (
	jobRetention    = 24 * time.Hour
	collectInterval = time.Minute
	deletePause     = 100 * time.Millisecond
)

// watchJobs keeps jobCache up to date with the job records in the store.
func (e *Entry) watchJobs(c context.Context) {
	listAndWatch(c, e, e.records, e.replaceJobs, e.cacheJobs)
}

// replaceJobs updates the cache with a complete listing: records that are not in it
// are removed from the cache.
func (e *Entry) replaceJobs(l []store.Record[jobs.Job]) {
	m := make(map[string]bool, len(l))
	for _, r := range l {
		m[r.ID] = true
	}
	e.mu.Lock()
	for id := range e.jobCache {
		if !m[id] {
			e.uncacheJob(id)
		}
	}
	e.mu.Unlock()
	e.cacheJobs(l)
}

// cacheJobs adds records to the cache, except those of which it has a later revision.
func (e *Entry) cacheJobs(l []store.Record[jobs.Job]) {
	for _, r := range l {
		e.cacheJob(r)
	}
}

// cacheJob adds a record to the cache unless it has the same or a later revision of it,
// and marks the job as changed for the schedulers of its failure domain and of the one
// it was moved from.
func (e *Entry) cacheJob(r store.Record[jobs.Job]) {
	e.mu.Lock()
	o, ok := e.jobCache[r.ID]
	if ok && o.Revision >= r.Revision {
		e.mu.Unlock()
		return
	}
	if ok {
		e.uncacheJob(r.ID)
	}
	if !r.Deleted {
		e.jobCache[r.ID] = r
		if !r.Body.State.Final() {
			e.openJobIDs(r.Body.Domain)[r.ID] = true
			e.updateTotals(r.Body, 1)
		}
	}
	l := []*scheduler{e.schedulers[r.Body.Domain]}
	if ok && o.Body.Domain != r.Body.Domain {
		l = append(l, e.schedulers[o.Body.Domain])
	}
	e.mu.Unlock()
	for _, s := range l {
		if s != nil {
			s.markChanged(r.ID)
		}
	}
}

// uncacheJob removes a record from the cache. The caller holds mu.
func (e *Entry) uncacheJob(id string) {
	j := e.jobCache[id].Body
	if !j.State.Final() {
		delete(e.openJobIDs(j.Domain), id)
		e.updateTotals(j, -1)
	}
	delete(e.jobCache, id)
}

// updateTotals adds an open job to the demand of its failure domain and to the number
// of queued jobs of its customer, or subtracts it if sign is -1. The caller holds mu.
func (e *Entry) updateTotals(j jobs.Job, sign int) {
	d := e.demandByDomain[j.Domain]
	if d == nil {
		d = &demand{
			claimedUnits: map[string]int{},
		}
		e.demandByDomain[j.Domain] = d
	}
	d.total = d.total.Add(j.Shape.Total().Times(sign))
	if j.Guarantee != "" {
		d.claimedUnits[j.Guarantee] += sign
	}
	if j.State == jobs.Accepted {
		e.queuedByCustomer[j.Customer] += sign
	}
}

// openJobIDs returns the set of ids of a failure domain's jobs that have not ended. The
// caller holds mu.
func (e *Entry) openJobIDs(domain string) map[string]bool {
	m := e.openByDomain[domain]
	if m == nil {
		m = map[string]bool{}
		e.openByDomain[domain] = m
	}
	return m
}

// cachedRecord returns the cached record of a job.
func (e *Entry) cachedRecord(id string) (store.Record[jobs.Job], bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.jobCache[id]
	return r, ok
}

// openJobs returns the records of a failure domain's jobs that have not ended.
func (e *Entry) openJobs(domain string) []store.Record[jobs.Job] {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := make([]store.Record[jobs.Job], 0, len(e.openByDomain[domain]))
	for id := range e.openByDomain[domain] {
		l = append(l, e.jobCache[id])
	}
	return l
}

// writeJob writes a record if its revision in the store is still the one it was read
// at. After a conflict it reads the record into the cache, so that the next try starts
// from the current revision.
func (e *Entry) writeJob(c context.Context, r store.Record[jobs.Job]) (store.Record[jobs.Job], error) {
	w, err := e.records.Swap(c, r, 0)
	if err == nil {
		e.cacheJob(w)
		return w, nil
	}
	var f *store.ConflictError
	if errors.As(err, &f) {
		if n, err := e.records.Get(c, r.ID); err == nil {
			e.cacheJob(n)
		}
	}
	return r, err
}

// collectGarbage deletes the records of jobs that ended more than jobRetention ago in
// the failure domains that this entry schedules.
func (e *Entry) collectGarbage(c context.Context) {
	for pause.For(c, collectInterval) {
		for _, r := range e.expiredJobs(time.Now()) {
			err := e.records.Delete(c, r.ID, r.Revision)
			if err != nil || !pause.For(c, deletePause) {
				break
			}
		}
	}
}

func (e *Entry) expiredJobs(n time.Time) []store.Record[jobs.Job] {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []store.Record[jobs.Job]
	for _, r := range e.jobCache {
		if r.Body.State.Final() && n.Sub(r.Body.Ended) > jobRetention && e.schedulers[r.Body.Domain] != nil {
			l = append(l, r)
		}
	}
	return l
}
