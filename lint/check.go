package lint

import (
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"hemlockhinge/policy"
)

// checker collects the findings of one document.
type checker struct {
	doc  *Document
	site Site
	list []Finding
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(d *Document, s Site) []Finding {
	c := checker{
		doc:  d,
		site: s,
		list: []Finding{},
	}
	c.checkGeneral()
	for i := range d.Config.Queues {
		c.checkRoute(i)
		c.checkScheduling(i)
	}
	for i := range d.Config.Customers {
		c.checkCustomer(i)
		c.checkKeys(i)
	}
	c.checkCapacity()
	return c.list
}

func (c *checker) add(v Severity, s Section, i int, f Field, format string, a ...any) {
	e := generalEntry
	switch s {
	case Queues:
		e = queueEntry(&c.doc.Config.Queues[i])
	case Customers:
		e = customerEntry(&c.doc.Config.Customers[i])
	default:
	}
	c.list = append(c.list, Finding{
		Severity: v,
		Location: c.doc.locate(s, i, f),
		Entry:    e,
		Text:     fmt.Sprintf(format, a...),
	})
}

func (c *checker) checkGeneral() {
	g := c.doc.Config
	if len(g.Queues) == 0 {
		c.add(Error, General, 0, Whole, "there is no queue: no job is accepted")
	}
	public := slices.ContainsFunc(g.Queues, func(q policy.Queue) bool { return q.Public })
	if len(g.Customers) == 0 && len(g.Queues) > 0 && !public {
		c.add(Warning, General, 0, Whole, "there is no customer and no public queue: every request is answered 401")
	}
	if g.MaxBodyBytes < 0 {
		c.add(Error, General, 0, MaxBodyBytes, "must not be negative, is %d", g.MaxBodyBytes)
	}
	if h := g.MaxHeaderBytes; g.MaxBodyBytes > 0 && h > g.MaxBodyBytes {
		c.add(Warning, General, 0, MaxHeaderBytes, "headers may have %d bytes, more than bodies, which may have %d", h, g.MaxBodyBytes)
	}
}

// checkRoute checks whether requests can reach a queue.
func (c *checker) checkRoute(i int) {
	l := c.doc.Config.Queues
	q := &l[i]
	if q.Name == "" {
		c.add(Error, Queues, i, Name, "missing")
	}
	if n := slices.IndexFunc(l[:i], func(v policy.Queue) bool { return v.Name == q.Name }); n >= 0 && q.Name != "" {
		c.add(Error, Queues, i, Name, "%s has this name too: jobs of both are scheduled by its rules", c.doc.locate(Queues, n, Whole))
	}
	switch _, _, err := net.SplitHostPort(q.Host); {
	case q.Host == "":
		c.add(Error, Queues, i, Host, "missing: no request matches")
	case err == nil, strings.ContainsAny(q.Host, "/ \t"):
		c.add(Error, Queues, i, Host, "%q never matches: it must be a host without scheme, port and path", q.Host)
	}
	switch {
	case q.Prefix == "":
		c.add(Warning, Queues, i, Prefix, "missing: every path of host %q matches", q.Host)
	case !strings.HasPrefix(q.Prefix, "/"):
		c.add(Error, Queues, i, Prefix, "%q never matches: paths begin with a slash", q.Prefix)
	case !strings.HasSuffix(q.Prefix, "/"):
		c.add(Warning, Queues, i, Prefix, "%q also matches paths such as %q: end it with a slash", q.Prefix, q.Prefix+"x")
	}
	n := slices.IndexFunc(l[:i], func(v policy.Queue) bool {
		return v.Prefix == q.Prefix && strings.EqualFold(v.Host, q.Host)
	})
	if n >= 0 {
		c.add(Error, Queues, i, Prefix, "never matches: %s takes the requests to this host and prefix", c.doc.locate(Queues, n, Whole))
	}
}

// checkScheduling checks how the jobs of a queue are to be run.
func (c *checker) checkScheduling(i int) {
	q := &c.doc.Config.Queues[i]
	switch {
	case q.Service == "":
		c.add(Error, Queues, i, Service, "missing: no worker runs the jobs")
	case c.doc.Services != nil && !slices.Contains(c.doc.Services, q.Service):
		c.add(Error, Queues, i, Service, "service %q does not exist: no worker runs the jobs", q.Service)
	}
	if q.Priority < 0 {
		c.add(Error, Queues, i, Priority, "must not be negative, is %d", q.Priority)
	}
	if q.Public && q.Priority == 0 {
		c.add(Warning, Queues, i, Public, "callers without an API key may preempt others: the queue has priority 0")
	}
	switch {
	case q.MaxAttempts < 0:
		c.add(Error, Queues, i, MaxAttempts, "must not be negative, is %d", q.MaxAttempts)
	case q.MaxAttempts == 0:
		c.add(Warning, Queues, i, MaxAttempts, "0 means no limit: a task that always fails is started again without end")
	}
	c.checkObjective(i)
}

// checkObjective checks the objective for the run time of a queue's jobs. At SlackFactor 1 a job
// of any length has just Target to spare, and a preemption takes up to the stop time.
func (c *checker) checkObjective(i int) {
	q := &c.doc.Config.Queues[i]
	switch {
	case q.SlackFactor < 0:
		c.add(Error, Queues, i, SlackFactor, "must not be negative, is %g", q.SlackFactor)
	case q.Target < 0:
		c.add(Error, Queues, i, Target, "must not be negative, is %s", q.Target)
	case q.SlackFactor == 0 && q.Target == 0:
		c.add(Error, Queues, i, Target, "the objective is 0: every job is overdue from its submission on")
	case q.SlackFactor < 1:
		c.add(Warning, Queues, i, SlackFactor, "%g: a job with a critical path above %s cannot meet its objective", q.SlackFactor, longestOnTime(q))
	case q.SlackFactor == 1 && q.Target < c.site.MaxStopTime:
		c.add(Warning, Queues, i, Target, "jobs have %s to spare, and stopping others for them takes up to %s", q.Target, c.site.MaxStopTime)
	}
}

// longestOnTime returns the longest critical path that meets the objective of a queue whose slack
// factor is below 1.
func longestOnTime(q *policy.Queue) time.Duration {
	return time.Duration(math.Min(float64(q.Target)/(1-q.SlackFactor), math.MaxInt64/2)).Round(time.Millisecond)
}

func (c *checker) checkCustomer(i int) {
	l := c.doc.Config.Customers
	v := &l[i]
	if v.Name == "" {
		c.add(Error, Customers, i, Name, "missing: callers without an API key share its guarantee")
	}
	if n := slices.IndexFunc(l[:i], func(w policy.Customer) bool { return w.Name == v.Name }); n >= 0 && v.Name != "" {
		c.add(Error, Customers, i, Name, "%s has this name too: only its guarantee counts", c.doc.locate(Customers, n, Whole))
	}
	if v.GuaranteedAccelerators < 0 {
		c.add(Error, Customers, i, Guarantee, "must not be negative, is %d", v.GuaranteedAccelerators)
	}
	urgent := slices.ContainsFunc(c.doc.Config.Queues, func(q policy.Queue) bool { return q.Priority == 0 })
	if v.GuaranteedAccelerators > 0 && !urgent {
		c.add(Warning, Customers, i, Guarantee, "has no effect: guarantees are for queues of priority 0, and there is none")
	}
}

// checkKeys checks the API keys of a customer. They are named by their index.
func (c *checker) checkKeys(i int) {
	l := c.doc.Config.Customers
	if len(l[i].APIKeys) == 0 {
		c.add(Warning, Customers, i, Keys, "there is no key: nobody can submit jobs as this customer")
	}
	for k, key := range l[i].APIKeys {
		n := slices.IndexFunc(l[:i], func(w policy.Customer) bool { return slices.Contains(w.APIKeys, key) })
		switch {
		case key == "":
			c.add(Warning, Customers, i, Keys, "key %d is empty and never matches", k)
		case strings.TrimRight(key, " \t") != key || strings.ContainsAny(key, "\r\n\x00"):
			c.add(Error, Customers, i, Keys, "key %d never matches: no header can carry its white space", k)
		case n >= 0:
			c.add(Error, Customers, i, Keys, "key %d never matches: %s has it too, and its callers count as that customer's", k, c.doc.locate(Customers, n, Whole))
		case slices.Contains(l[i].APIKeys[:k], key):
			c.add(Warning, Customers, i, Keys, "key %d is listed twice", k)
		}
	}
}

// checkCapacity checks whether all guarantees can be met at once, also without the largest failure
// domain.
func (c *checker) checkCapacity() {
	if len(c.site.Accelerators) == 0 {
		return
	}
	guaranteed := 0
	for _, v := range c.doc.Config.Customers {
		guaranteed = addUpTo(guaranteed, v.GuaranteedAccelerators)
	}
	total, largest := 0, ""
	for _, d := range slices.Sorted(maps.Keys(c.site.Accelerators)) {
		total = addUpTo(total, c.site.Accelerators[d])
		if largest == "" || c.site.Accelerators[d] > c.site.Accelerators[largest] {
			largest = d
		}
	}
	rest := total - max(c.site.Accelerators[largest], 0)
	switch {
	case guaranteed > total:
		c.add(Error, General, 0, Guarantee, "%d accelerators are guaranteed, and there are %d", guaranteed, total)
	case guaranteed > rest:
		c.add(Warning, General, 0, Guarantee, "%d accelerators are guaranteed, and %d are left if failure domain %q is out of service", guaranteed, rest, largest)
	}
}

// addUpTo adds b, if it is positive, to a. The sum is at most math.MaxInt.
func addUpTo(a, b int) int {
	b = max(b, 0)
	if a > math.MaxInt-b {
		return math.MaxInt
	}
	return a + b
}
