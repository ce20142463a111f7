package sched

import (
	"slices"
	"strings"

	"github.com/google/btree"
)

// queue holds the waiting jobs of each priority and customer, ordered by age. The
// zero value is ready to use. Removing a job costs O(log n).
type queue struct {
	trees map[queueKey]*btree.BTreeG[Job]
	byID  map[string]queuedJob
}

// queueKey identifies the jobs of one priority and customer.
type queueKey struct {
	priority int
	customer string
}

type queuedJob struct {
	key queueKey
	job Job
}

const treeDegree = 16

func older(a, b Job) bool {
	if c := a.Created.Compare(b.Created); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) push(j Job, priority int) {
	if q.trees == nil {
		q.trees = map[queueKey]*btree.BTreeG[Job]{}
		q.byID = map[string]queuedJob{}
	}
	if _, ok := q.byID[j.ID]; ok {
		return
	}
	l := queueKey{
		priority: priority,
		customer: j.Customer,
	}
	t := q.trees[l]
	if t == nil {
		t = btree.NewG(treeDegree, older)
		q.trees[l] = t
	}
	t.ReplaceOrInsert(j)
	q.byID[j.ID] = queuedJob{
		key: l,
		job: j,
	}
}

func (q *queue) remove(id string) {
	p, ok := q.byID[id]
	if !ok {
		return
	}
	delete(q.byID, id)
	t := q.trees[p.key]
	t.Delete(p.job)
	if t.Len() == 0 {
		delete(q.trees, p.key)
	}
}

// priorities lists the priorities that have jobs, the most urgent first.
func (q *queue) priorities() []int {
	m := map[int]bool{}
	for l := range q.trees {
		m[l.priority] = true
	}
	p := make([]int, 0, len(m))
	for v := range m {
		p = append(p, v)
	}
	slices.Sort(p)
	return p
}

// customers lists the customers that have jobs of a priority.
func (q *queue) customers(priority int) []string {
	var c []string
	for l := range q.trees {
		if l.priority == priority {
			c = append(c, l.customer)
		}
	}
	slices.SortFunc(c, strings.Compare)
	return c
}

// jobs lists up to n jobs of a priority and customer, the oldest first.
func (q *queue) jobs(priority int, customer string, n int) []Job {
	t := q.trees[queueKey{
		priority: priority,
		customer: customer,
	}]
	if t == nil {
		return nil
	}
	l := make([]Job, 0, min(n, t.Len()))
	t.Ascend(func(j Job) bool {
		l = append(l, j)
		return len(l) < n
	})
	return l
}
