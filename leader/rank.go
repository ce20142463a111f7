package leader

import (
	"hemlockhinge/alloc"
	"hemlockhinge/order"
	"hemlockhinge/policy"
)

// itemOf returns a unit as package order takes it.
func itemOf(j *job, q *policy.Queue, u *alloc.Unit, v timing) order.Item {
	work := j.work()
	return order.Item{
		Customer:   j.Customer,
		Queue:      j.Queue,
		Class:      q.Priority,
		Guaranteed: j.withinGuarantee,
		Age:        float64(j.revision),
		Objective:  v.objective,
		Waited:     v.waited,
		Remaining:  v.remaining,
		Size:       coreEquivalents(u.Step.Size) * float64(len(u.Tasks)),
		Work:       work,
		Left:       work * j.shareLeft(),
		Reserved:   len(u.Room) > 0,
		Overtaken:  j.overtaken,
	}
}

// work returns the work of one occurrence of the job in core-seconds, by the estimates.
func (j *job) work() float64 {
	w := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		w += s.Estimate.Seconds() * float64(s.Count) * coreEquivalents(s.Size)
	}
	return w
}

// shareLeft returns the share of the job's tasks that are not done.
func (j *job) shareLeft() float64 {
	all := j.TasksPerOccurrence() * j.Occurrences()
	done := 0
	for _, v := range j.progress.Tasks {
		if v.Done {
			done++
		}
	}
	return 1 - float64(done)/float64(max(all, 1))
}

// rankByCost ranks the units by the cost of their delay.
func (l *unitLister) rankByCost() {
	items := l.items
	for _, j := range l.term.jobs {
		if len(j.runs) == 0 {
			continue
		}
		q := l.term.queue(j)
		if q == nil {
			continue
		}
		size := 0.0
		for _, r := range j.runs {
			size += coreEquivalents(r.size)
		}
		items = append(items, order.Item{
			Customer:   j.Customer,
			Queue:      j.Queue,
			Class:      q.Priority,
			Guaranteed: j.withinGuarantee,
			Running:    true,
			Size:       size,
			Work:       j.work(),
		})
	}
	var p order.Policy
	for i, r := range p.Rank(items)[:len(l.units)] {
		l.units[i].Rank = r
	}
}

// countOvertaken counts the first start of j at the older jobs of its queue that still wait.
func (t *term) countOvertaken(j *job) {
	for _, o := range t.jobs {
		if o.revision < j.revision && o.startCount == 0 && !o.progress.Started && o.Queue == j.Queue && o.schedulable() {
			o.overtaken++
		}
	}
}
