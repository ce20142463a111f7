package guard

import (
	"sync"
	"time"
)

// bodyCopies is how many times a body is held at most while it is handled: as text, decoded,
// as a record and in the call to the store.
const bodyCopies = 4

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// deadliner is the part of a connection by which a claim ends the read of its body.
type deadliner interface {
	SetReadDeadline(t time.Time) error
}

// budget is an amount of bytes that bodies and heads claim. Only bodies that are still being
// received lose their claim to others; what is being handled keeps it.
type budget struct {
	limit int64
	// yieldTime is the time without progress after which a claim gives way to any other.
	yieldTime time.Duration

	mu        sync.Mutex
	held      int64
	claims    map[*claim]struct{}
	customers map[string]int64
}

// claim is the part of a budget that one request holds.
type claim struct {
	budget *budget
	conn   deadliner

	// The fields below are guarded by budget.mu.
	customer   string
	bytes      int64
	progressAt time.Time
	// displaced is set when the claim was given to others, and settled when the body is
	// complete.
	displaced bool
	settled   bool
}

// claim returns an empty claim.
func (b *budget) claim(c deadliner) *claim {
	v := &claim{
		budget:     b,
		conn:       c,
		progressAt: time.Now(),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims == nil {
		b.claims = map[*claim]struct{}{}
		b.customers = map[string]int64{}
	}
	b.claims[v] = struct{}{}
	return v
}

// Held returns the bytes that are claimed.
func (b *budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// grow claims n more bytes, and reports whether it got them.
func (c *claim) grow(n int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.displaced || c.bytes+n > b.limit {
		return false
	}
	for b.held+n > b.limit {
		v := b.victim(c, n)
		if v == nil {
			return false
		}
		v.displace()
	}
	c.bytes += n
	b.held += n
	b.customers[c.customer] += n
	return true
}

// victim returns the claim that gives way to n more bytes of c, or nil: one that stands still,
// or that is larger than c will be, or whose customer holds more than that of c will. Of
// several, it is the one whose customer holds most, and the largest of these.
func (b *budget) victim(c *claim, n int64) *claim {
	var best *claim
	now := time.Now()
	for v := range b.claims {
		if v == c || v.settled || v.bytes == 0 {
			continue
		}
		foreign := v.customer != c.customer && b.customers[v.customer] > b.customers[c.customer]+n
		if !foreign && v.bytes <= c.bytes+n && !v.stalled(now) {
			continue
		}
		if best == nil || v.yieldsBefore(best, now) {
			best = v
		}
	}
	return best
}

func (c *claim) stalled(now time.Time) bool { return now.Sub(c.progressAt) > c.budget.yieldTime }

// yieldsBefore reports whether c gives way before v.
func (c *claim) yieldsBefore(v *claim, now time.Time) bool {
	if a, b := c.stalled(now), v.stalled(now); a != b {
		return a
	}
	if a, b := c.budget.customers[c.customer], c.budget.customers[v.customer]; a != b {
		return a > b
	}
	return c.bytes > v.bytes
}

// displace gives the claim's bytes back and ends the read of its body; budget.mu is held. The
// bytes are freed a little later, when its goroutine notices.
func (c *claim) displace() {
	c.displaced = true
	c.drop()
	_ = c.conn.SetReadDeadline(past)
}

// drop gives the claim's bytes back; budget.mu is held.
func (c *claim) drop() {
	b := c.budget
	b.held -= c.bytes
	b.customers[c.customer] -= c.bytes
	if b.customers[c.customer] == 0 {
		delete(b.customers, c.customer)
	}
	c.bytes = 0
}

// progress records that bytes arrived, and sets the deadline of the next read. It returns
// false if the claim was displaced.
func (c *claim) progress(now, deadline time.Time) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progressAt = now
	if !c.displaced {
		_ = c.conn.SetReadDeadline(deadline)
	}
	return !c.displaced
}

// touch records that bytes arrived.
func (c *claim) touch() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progressAt = time.Now()
}

// settle records that the body is complete, so that the claim is kept until release, and
// removes the deadline. It returns false if the claim was displaced.
func (c *claim) settle() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.displaced {
		return false
	}
	c.settled = true
	_ = c.conn.SetReadDeadline(time.Time{})
	return true
}

// attribute assigns the claim to a customer.
func (c *claim) attribute(customer string) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n := c.bytes
	c.drop()
	c.customer = customer
	c.bytes = n
	b.held += n
	b.customers[customer] += n
}

// release ends the claim.
func (c *claim) release() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.drop()
	c.settled = true
	delete(c.budget.claims, c)
}
