package lint

import (
	"fmt"
	"slices"
	"strings"

	"hemlockhinge/policy"
)

// comparer collects the changes from one document to the next.
type comparer struct {
	old, next *Document
	list      []Change
}

// Compare returns the changes from the configuration in force to the next one. Entries that are
// only written elsewhere, in another order or another notation are no change.
func Compare(old, next *Document) []Change {
	c := comparer{
		old:  old,
		next: next,
		list: []Change{},
	}
	c.compareQueues()
	c.compareCustomers()
	c.compareServices()
	c.compareLimits()
	c.compareVersion()
	return c.list
}

func (c *comparer) add(s Severity, location, entry, text, effect string) {
	c.list = append(c.list, Change{
		Severity: s,
		Location: location,
		Entry:    entry,
		Text:     text,
		Effect:   effect,
	})
}

func from(a, b any) string { return fmt.Sprintf("%v becomes %v", a, b) }

// pick returns a if ok is true, and otherwise b.
func pick[T any](ok bool, a, b T) T {
	if ok {
		return a
	}
	return b
}

// successorOf returns the index of the queue by which the jobs of a queue of the earlier version
// are scheduled, -1 if there is none. Names may be used twice, which Check reports: a queue of the
// same name and route that continues no other one comes first.
func (c *comparer) successorOf(q *policy.Queue, continued map[int]bool) int {
	l := c.next.Config.Queues
	for i := range l {
		if !continued[i] && l[i].Name == q.Name && sameRoute(&l[i], q) {
			return i
		}
	}
	n := c.next.Config.Lookup(policy.QueueRef{
		Name:   q.Name,
		Host:   q.Host,
		Prefix: q.Prefix,
	})
	for i := range l {
		if n == &l[i] {
			return i
		}
	}
	return -1
}

func sameRoute(a, b *policy.Queue) bool {
	return strings.EqualFold(a.Host, b.Host) && a.Prefix == b.Prefix
}

func (c *comparer) compareQueues() {
	continued := map[int]bool{}
	for i := range c.old.Config.Queues {
		q := &c.old.Config.Queues[i]
		n := c.successorOf(q, continued)
		if n < 0 {
			c.add(Warning, "", queueEntry(q), "removed", c.routeEffect(q)+"; tasks of its jobs that run go on, and no others are started")
			continue
		}
		continued[n] = true
		c.compareQueue(q, n)
	}
	for i := range c.next.Config.Queues {
		if q := &c.next.Config.Queues[i]; !continued[i] {
			s, effect := c.additionEffect(q)
			c.add(s, c.next.locate(Queues, i, Whole), queueEntry(q), "added", effect)
		}
	}
}

// additionEffect says which requests an added queue takes, and how much that matters.
func (c *comparer) additionEffect(q *policy.Queue) (Severity, string) {
	route := fmt.Sprintf("requests to %q", q.Host+q.Prefix)
	if p, _, _ := c.next.Config.MatchQueue(q.Host, q.Prefix); p != q {
		return Info, "takes no requests by its route"
	}
	if p, _, ok := c.old.Config.MatchQueue(q.Host, q.Prefix); ok {
		return Warning, fmt.Sprintf("takes %s, which go to %s now", route, queueEntry(p))
	}
	return Info, "takes " + route
}

// routeEffect says what becomes of requests to the earlier route of a queue.
func (c *comparer) routeEffect(q *policy.Queue) string {
	if p, _, ok := c.next.Config.MatchQueue(q.Host, q.Prefix); ok {
		return fmt.Sprintf("requests to %q go to %s", q.Host+q.Prefix, queueEntry(p))
	}
	return fmt.Sprintf("requests to %q are answered 404", q.Host+q.Prefix)
}

func (c *comparer) compareQueue(q *policy.Queue, n int) {
	p := &c.next.Config.Queues[n]
	e := queueEntry(q)
	add := func(s Severity, f Field, text, effect string) {
		c.add(s, c.next.locate(Queues, n, f), e, text, effect)
	}
	if q.Name != p.Name {
		add(Warning, Name, fmt.Sprintf("%q becomes %q", q.Name, p.Name), "its jobs stay; callers of /v1/jobs that name it are answered 404")
	}
	if !sameRoute(q, p) {
		add(Warning, Prefix, fmt.Sprintf("%q becomes %q", q.Host+q.Prefix, p.Host+p.Prefix), "its jobs stay; "+c.routeEffect(q))
	}
	if q.Service != p.Service {
		add(Warning, Service, fmt.Sprintf("%q becomes %q", q.Service, p.Service), "tasks that start from now on, of accepted jobs too, do so at workers of the later service")
	}
	c.compareScheduling(q, p, add)
	if q.Public != p.Public {
		add(Warning, Public, from(q.Public, p.Public),
			pick(p.Public, "anyone may submit jobs and see their state", "requests without an API key are answered 401"))
	}
	if q.RequiresAdvice != p.RequiresAdvice {
		add(pick(p.RequiresAdvice, Warning, Info), RequiresAdvice, from(q.RequiresAdvice, p.RequiresAdvice),
			pick(p.RequiresAdvice, "tasks start only at workers that the adviser approves", "tasks start without asking the adviser"))
	}
}

func (c *comparer) compareScheduling(q, p *policy.Queue, add func(Severity, Field, string, string)) {
	if q.Priority != p.Priority {
		effect := "accepted jobs too rank " + pick(p.Priority < q.Priority, "higher", "lower")
		switch {
		case p.Priority == 0:
			effect += ", may preempt others, and use guarantees"
		case q.Priority == 0:
			effect += ", no longer preempt others, and lose their guarantees"
		}
		add(pick(q.Priority == 0 || p.Priority > q.Priority, Warning, Info), Priority, from(q.Priority, p.Priority), effect)
	}
	if q.MaxAttempts != p.MaxAttempts {
		fewer := p.MaxAttempts > 0 && (q.MaxAttempts == 0 || p.MaxAttempts < q.MaxAttempts)
		add(pick(fewer, Warning, Info), MaxAttempts, from(q.MaxAttempts, p.MaxAttempts), "holds for the next failure, in accepted jobs too")
	}
	if q.SlackFactor != p.SlackFactor {
		add(Info, SlackFactor, from(q.SlackFactor, p.SlackFactor), objectiveEffect(p.SlackFactor < q.SlackFactor))
	}
	if q.Target != p.Target {
		add(Info, Target, from(q.Target, p.Target), objectiveEffect(p.Target < q.Target))
	}
}

func objectiveEffect(shorter bool) string {
	return pick(shorter, "the objective is shorter", "the objective is longer") + ", for accepted jobs too"
}

func (c *comparer) compareCustomers() {
	a, b := c.old.Config, c.next.Config
	seen := map[string]bool{}
	for i := range a.Customers {
		v := &a.Customers[i]
		if seen[v.Name] {
			continue
		}
		seen[v.Name] = true
		n := slices.IndexFunc(b.Customers, func(w policy.Customer) bool { return w.Name == v.Name })
		if n < 0 {
			c.add(Warning, "", customerEntry(v), "removed",
				fmt.Sprintf("%s; its jobs go on, without its guarantee of %d", c.keysEffect(v.Name), a.GuaranteedAccelerators(v.Name)))
			continue
		}
		c.compareCustomer(v, n)
	}
	for i := range b.Customers {
		if v := &b.Customers[i]; !seen[v.Name] {
			seen[v.Name] = true
			c.add(Info, c.next.locate(Customers, i, Whole), customerEntry(v), "added",
				fmt.Sprintf("keys: %d, guaranteed accelerators: %d", len(keysOf(b, v.Name)), v.GuaranteedAccelerators))
		}
	}
}

func (c *comparer) compareCustomer(v *policy.Customer, n int) {
	a, b := c.old.Config, c.next.Config
	e := customerEntry(v)
	lost, gained := 0, 0
	for k := range keysOf(a, v.Name) {
		if w, ok := b.CustomerByKey(k); !ok || w != v.Name {
			lost++
		}
	}
	for k := range keysOf(b, v.Name) {
		if w, ok := a.CustomerByKey(k); !ok || w != v.Name {
			gained++
		}
	}
	l := c.next.locate(Customers, n, Keys)
	if lost > 0 {
		c.add(Warning, l, e, fmt.Sprintf("keys removed: %d of %d", lost, len(keysOf(a, v.Name))), c.keysEffect(v.Name))
	}
	if gained > 0 {
		c.add(Info, l, e, fmt.Sprintf("keys added: %d", gained), "callers with them count as this customer's")
	}
	g, h := a.GuaranteedAccelerators(v.Name), b.GuaranteedAccelerators(v.Name)
	if g != h {
		c.add(pick(h < g, Warning, Info), c.next.locate(Customers, n, Guarantee), e, from(g, h)+" guaranteed accelerators",
			pick(h < g, "fewer of its urgent jobs are within the guarantee; the others can be preempted", "more of its urgent jobs are within the guarantee; others may be preempted for them"))
	}
}

// keysEffect says what becomes of the callers whose keys a customer loses.
func (c *comparer) keysEffect(customer string) string {
	refused, moved := 0, 0
	for k := range keysOf(c.old.Config, customer) {
		switch w, ok := c.next.Config.CustomerByKey(k); {
		case !ok:
			refused++
		case w != customer:
			moved++
		}
	}
	return fmt.Sprintf("keys whose callers are answered 401: %d, whose callers count as another customer's: %d", refused, moved)
}

// keysOf returns the keys with which callers count as a customer's.
func keysOf(g *policy.Config, customer string) map[string]bool {
	m := map[string]bool{}
	for _, v := range g.Customers {
		for _, k := range v.APIKeys {
			if n, ok := g.CustomerByKey(k); ok && n == customer {
				m[k] = true
			}
		}
	}
	return m
}

func (c *comparer) compareServices() {
	if c.old.Services == nil || c.next.Services == nil {
		return
	}
	for _, n := range c.old.Services {
		if !slices.Contains(c.next.Services, n) {
			c.add(Warning, "", fmt.Sprintf("service %q", n), "removed", "queues may no longer name it")
		}
	}
	for i, n := range c.next.Services {
		if !slices.Contains(c.old.Services, n) {
			c.add(Info, c.next.locate(Services, i, Whole), fmt.Sprintf("service %q", n), "added", "queues may name it")
		}
	}
}

func (c *comparer) compareLimits() {
	if a, b := c.old.Config.MaxBodyBytes, c.next.Config.MaxBodyBytes; a != b {
		c.add(pick(b < a, Warning, Info), c.next.locate(General, 0, MaxBodyBytes), generalEntry, from(a, b),
			pick(b == 0, "the default limit holds for submissions", fmt.Sprintf("submissions with more than %d bytes are refused", b)))
	}
	o, n := c.old.Config, c.next.Config
	if a, b := o.MaxHeaderBytes, n.MaxHeaderBytes; a != b {
		c.add(pick(b < a, Warning, Info), c.next.locate(General, 0, MaxHeaderBytes), generalEntry, from(a, b),
			pick(b == 0, "the default limit holds for request heads", fmt.Sprintf("request heads with more than %d bytes are refused", b)))
	}
	if a, b := o.HeaderTimeout, n.HeaderTimeout; a != b {
		c.add(Info, c.next.locate(General, 0, HeaderTimeout), generalEntry, from(a, b), "requests whose heads take longer are refused")
	}
	if a, b := o.IdleTimeout, n.IdleTimeout; a != b {
		c.add(Info, c.next.locate(General, 0, IdleTimeout), generalEntry, from(a, b), "connections that are idle for longer are closed")
	}
}

// compareVersion warns of changes that logs and dumps cannot tell from the configuration in force.
func (c *comparer) compareVersion() {
	a, b := c.old.Config.Version, c.next.Config.Version
	if len(c.list) > 0 && b <= a {
		c.add(Warning, c.next.locate(General, 0, Version), generalEntry, fmt.Sprintf("version %d is not above %d, the one in force", b, a),
			"logs and dumps name configurations by their version")
	}
}
