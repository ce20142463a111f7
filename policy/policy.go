// Package policy holds the operators' configuration as the daemons use it: the
// queues with their routes, and the customers with their keys and guarantees.
//
// # Usage
//
//	q, rest, ok := c.Match(host, path)
//	n, ok := c.CustomerOf(key)
package policy

import (
	"strings"
	"time"
)

// Queue takes the jobs of one route.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first, and may preempt others.
	Priority    int
	MaxAttempts int
	// Slack times a job's chain of work, and Target more, is its objective.
	Slack  float64
	Target time.Duration
	Public bool
	// Advised queues may use only workers that the adviser approves.
	Advised bool
}

// Customer owns jobs, and may have accelerators guaranteed.
type Customer struct {
	Name       string
	Keys       []string
	Guaranteed int
}

// Config is one version of the configuration. It is not changed once made.
type Config struct {
	Version   int64
	Revision  uint64
	Queues    []Queue
	Customers []Customer
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
}

// Match finds the queue with the longest prefix of path at a host, and returns
// what follows the prefix.
func (c *Config) Match(host, path string) (q *Queue, rest string, ok bool) {
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

// CustomerOf returns the name of the customer that a key belongs to.
func (c *Config) CustomerOf(key string) (string, bool) {
	for _, v := range c.Customers {
		for _, k := range v.Keys {
			if k == key && key != "" {
				return v.Name, true
			}
		}
	}
	return "", false
}

// Queue returns a queue by its name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Guaranteed returns how many accelerators belong to a customer.
func (c *Config) Guaranteed(customer string) int {
	for _, v := range c.Customers {
		if v.Name == customer {
			return v.Guaranteed
		}
	}
	return 0
}
