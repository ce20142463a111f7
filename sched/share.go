package sched

import (
	"time"

	"hemlockhinge/conf"
)

// customerQueue has a customer's next jobs of one priority. effectiveCreated is
// the time by which the first of them is ordered among those of other customers.
type customerQueue struct {
	customer         string
	jobs             []Job
	effectiveCreated time.Time
}

// customerHeap is a heap of customer queues, the earliest effectiveCreated first.
type customerHeap []customerQueue

func (h customerHeap) Len() int { return len(h) }

func (h customerHeap) Less(i, j int) bool {
	if c := h[i].effectiveCreated.Compare(h[j].effectiveCreated); c != 0 {
		return c < 0
	}
	return h[i].customer < h[j].customer
}

func (h customerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *customerHeap) Push(v any) {
	t, _ := v.(customerQueue)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *customerHeap) Pop() any {
	o := *h
	t := o[len(o)-1]
	*h = o[:len(o)-1]
	return t
}

// newCustomerQueue returns a customer's queue. The first job's creation time is
// postponed by up to twice fairShareDelay, depending on the customer's usage.
func (s *State) newCustomerQueue(customer string, l []Job) customerQueue {
	return customerQueue{
		customer:         customer,
		jobs:             l,
		effectiveCreated: l[0].Created.Add(time.Duration(s.relativeUsage(customer) * float64(fairShareDelay))),
	}
}

// relativeUsage is the ratio of a customer's weighted usage to the mean of all
// customers that use something, at most 2.
func (s *State) relativeUsage(customer string) float64 {
	if s.shareSum <= 0 || s.activeCustomers == 0 {
		return 0
	}
	return min(s.weightedUsage(customer)*float64(s.activeCustomers)/s.shareSum, 2)
}

// weightedUsage is what a customer uses, in core equivalents, divided by its
// weight.
func (s *State) weightedUsage(customer string) float64 {
	u := s.usage[customer]
	return float64(u.Accelerators*coresPerAccelerator+u.Cores) / float64(max(s.customers[customer].Weight, 1))
}

// updateUsage adds a run to its customer's usage, or subtracts it if sign is -1.
func (s *State) updateUsage(r *run, sign int) {
	o := s.weightedUsage(r.Customer)
	s.usage[r.Customer] = s.usage[r.Customer].Add(r.Shape.Total().Times(sign))
	s.runningTasks[r.Customer] += sign * r.Shape.Tasks
	n := s.weightedUsage(r.Customer)
	s.shareSum += n - o
	switch {
	case o == 0 && n > 0:
		s.activeCustomers++
	case o > 0 && n == 0:
		s.activeCustomers--
	}
}

// recomputeShares sums up the weighted usage again after a change of weights.
func (s *State) recomputeShares() {
	s.shareSum = 0
	s.activeCustomers = 0
	for n := range s.usage {
		if v := s.weightedUsage(n); v > 0 {
			s.shareSum += v
			s.activeCustomers++
		}
	}
}

// indexObjects indexes the job classes and customers by name.
func (s *State) indexObjects(o *conf.Objects) {
	s.objects = o
	s.classes = make(map[string]conf.JobClass, len(o.JobClasses))
	for _, c := range o.JobClasses {
		s.classes[c.Name] = c
	}
	s.customers = make(map[string]conf.Customer, len(o.Customers))
	for _, c := range o.Customers {
		s.customers[c.Name] = c
	}
	s.recomputeShares()
}

// class returns a job's class. A class that no longer exists has defaults.
func (s *State) class(j Job) conf.JobClass {
	c := s.classes[j.Class]
	c.Name = j.Class
	return c
}
