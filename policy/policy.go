// Package policy models the configuration that operators maintain: the queues with
// their routes, and the customers with their API keys and guarantees.
//
// # Usage
//
//	q, rest, ok := c.MatchQueue(host, path)
//	customer, ok := c.CustomerByKey(key)
package policy

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Queue receives the jobs that are submitted to a host below a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is the highest; its jobs may preempt others.
	Priority int
	// MaxAttempts is the number of failed attempts of one task that fails a job.
	MaxAttempts int
	// The objective for the run time of a job, waiting included, is SlackFactor times the
	// length of its critical path, plus Target.
	SlackFactor float64
	Target      time.Duration
	// Public queues accept jobs without an API key.
	Public bool
	// RequiresAdvice restricts the jobs to workers that the adviser approves.
	RequiresAdvice bool
}

// Customer owns jobs, and may have a number of accelerators guaranteed.
type Customer struct {
	Name                   string
	APIKeys                []string
	GuaranteedAccelerators int
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version   int64
	Revision  uint64
	Queues    []Queue
	Customers []Customer
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of a request head, HeaderTimeout the maximum time
	// for it, and IdleTimeout the maximum time between two requests of a connection. 0 leaves
	// each to the process.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration

	indexOnce sync.Once
	queues    map[string]*Queue
}

// MatchQueue returns the queue of a host with the longest prefix of path, and the part
// of path after the prefix. Hosts are compared without regard to case.
func (c *Config) MatchQueue(host, path string) (q *Queue, rest string, ok bool) {
	for i := range c.Queues {
		v := &c.Queues[i]
		if !strings.EqualFold(v.Host, host) || !strings.HasPrefix(path, v.Prefix) {
			continue
		}
		if q == nil || len(v.Prefix) > len(q.Prefix) {
			q = v
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// CustomerByKey returns the name of the customer with this API key.
func (c *Config) CustomerByKey(key string) (string, bool) {
	for _, v := range c.Customers {
		for _, k := range v.APIKeys {
			if k == key && key != "" {
				return v.Name, true
			}
		}
	}
	return "", false
}

// HasCustomer reports whether there is a customer with this name.
func (c *Config) HasCustomer(name string) bool {
	return slices.ContainsFunc(c.Customers, func(v Customer) bool { return v.Name == name })
}

// Queue returns the queue with this name, the first if there are several, or nil.
func (c *Config) Queue(name string) *Queue {
	c.indexOnce.Do(func() {
		c.queues = make(map[string]*Queue, len(c.Queues))
		for i := range c.Queues {
			q := &c.Queues[i]
			if c.queues[q.Name] == nil {
				c.queues[q.Name] = q
			}
		}
	})
	return c.queues[name]
}

// QueueRef refers to a queue by its name and by where it took a job. Either may change.
type QueueRef struct {
	Name   string
	Host   string
	Prefix string
}

// isAt reports whether the queue takes jobs where r says.
func (q *Queue) isAt(r QueueRef) bool {
	return r.Prefix != "" && q.Prefix == r.Prefix && strings.EqualFold(q.Host, r.Host)
}

// Is reports whether r refers to the queue.
func (q *Queue) Is(r QueueRef) bool { return q.Name == r.Name || q.isAt(r) }

// Lookup returns the queue that r refers to, by its name if there is one of that name, or nil.
func (c *Config) Lookup(r QueueRef) *Queue {
	if q := c.Queue(r.Name); q != nil {
		return q
	}
	for i := range c.Queues {
		if q := &c.Queues[i]; q.isAt(r) {
			return q
		}
	}
	return nil
}

// GuaranteedAccelerators returns the number of accelerators guaranteed to a customer.
func (c *Config) GuaranteedAccelerators(customer string) int {
	for _, v := range c.Customers {
		if v.Name == customer {
			return v.GuaranteedAccelerators
		}
	}
	return 0
}
