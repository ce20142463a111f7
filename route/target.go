// Package route decides which target serves a request, and which failed requests
// may be tried again.
//
// Table has the targets, their load and their recent failures. Queue has the
// requests that wait for a slot, by priority. RetryBudget limits retries. The
// package reads no clock: each call is given the time, and the caller supplies the
// source of random numbers.
//
// # Usage
//
//	t.Set(route.Target{ID: "w1", Services: []string{"raspored"}, Slots: 8}, now)
//	v, ok := t.Pick("raspored", nil, now, rng)
//	... // send the request to v.Address
//	t.ReleaseSlot(v.ID, route.Succeeded, now)
package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of ejection and slow start.
const (
	// ejectAfter is how many failures in a row eject a target.
	ejectAfter = 3
	// Length of the first ejection, and upper bound.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// slowStart is the time over which the usable slots of a new target rise
	// to its full number.
	slowStart = 10 * time.Second
	// At most 1/maxEjectedDivisor of a service's targets are ejected at a time.
	maxEjectedDivisor = 2
)

// Target is one agent as a target of requests, as it announced itself.
type Target struct {
	ID          string
	Address     string
	Incarnation uint64
	Domain      string
	Services    []string
	Slots       int
	Leaving     bool
}

// Result is how a request ended at a target.
type Result uint8

// The results of a request.
const (
	// Succeeded means that the target answered the request.
	Succeeded Result = iota
	// Busy means that the target refused the request for lack of a free slot.
	Busy
	// Failed means that the target failed. Such results in a row eject it.
	Failed
)

// target is a Target with its load and recent failures.
type target struct {
	Target
	// Requests in flight from this entry, and those from other entries.
	ownInFlight   int
	otherInFlight int
	// addedAt is when the target was added or changed its incarnation.
	addedAt             time.Time
	consecutiveFailures int
	// ejectedUntil is when the current ejection ends, and ejectionTime how long
	// the last one took.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probeInFlight means that a target with ejectAfter failures has a request
	// in flight, the only one that it gets until one succeeds.
	probeInFlight bool
	// heartbeatLost marks a target whose heartbeats are missing.
	heartbeatLost bool
}

// Table has the targets that an entry knows. The zero value is ready to use.
type Table struct {
	targets      map[string]*target
	byService    map[string][]string
	outOfService map[string]bool
}

// Set adds or changes a target. A new incarnation goes through slow start and has
// no failures, as a new target.
func (t *Table) Set(v Target, now time.Time) {
	if t.targets == nil {
		t.targets = map[string]*target{}
	}
	o := t.targets[v.ID]
	if o == nil {
		o = &target{
			addedAt: now,
		}
		t.targets[v.ID] = o
	}
	if o.Incarnation != v.Incarnation {
		o.addedAt = now
		o.consecutiveFailures = 0
		o.ejectedUntil = time.Time{}
	}
	o.heartbeatLost = false
	o.Target = v
	t.index()
}

// Remove removes a target.
func (t *Table) Remove(id string) {
	delete(t.targets, id)
	t.index()
}

// MarkLost marks a target whose heartbeats are missing. It then gets requests only
// when no other target can take them.
func (t *Table) MarkLost(id string) {
	if o := t.targets[id]; o != nil {
		o.heartbeatLost = true
	}
}

// index lists the targets of each service.
func (t *Table) index() {
	t.byService = map[string][]string{}
	for _, v := range t.targets {
		for _, s := range v.Services {
			t.byService[s] = append(t.byService[s], v.ID)
		}
	}
	for _, l := range t.byService {
		slices.Sort(l)
	}
}

// SetOutOfService replaces the set of failure domains that are out of service.
func (t *Table) SetOutOfService(out map[string]bool) { t.outOfService = out }

// SetLoad records the number of requests in flight from all entries that a target
// reported.
func (t *Table) SetLoad(id string, inFlight int, leaving bool) {
	o := t.targets[id]
	if o == nil {
		return
	}
	o.otherInFlight = max(0, inFlight-o.ownInFlight)
	o.Leaving = leaving
}

// Get returns a target by its id.
func (t *Table) Get(id string) (Target, bool) {
	o := t.targets[id]
	if o == nil {
		return Target{}, false
	}
	return o.Target, true
}

// Len returns the number of targets of a service.
func (t *Table) Len(service string) int { return len(t.byService[service]) }

// View describes one target for status pages.
type View struct {
	ID                string `json:"id"`
	Domain            string `json:"failure_domain"`
	InFlight          int    `json:"in_flight"`
	InFlightElsewhere int    `json:"in_flight_elsewhere"`
	Slots             int    `json:"slots"`
	Leaving           bool   `json:"leaving"`
	Lost              bool   `json:"lost"`
	Ejected           bool   `json:"ejected"`
}

// Views describes all targets, ordered by id.
func (t *Table) Views(now time.Time) []View {
	l := make([]View, 0, len(t.targets))
	for _, o := range t.targets {
		l = append(l, View{
			ID:                o.ID,
			Domain:            o.Domain,
			InFlight:          o.ownInFlight,
			InFlightElsewhere: o.otherInFlight,
			Slots:             o.Slots,
			Leaving:           o.Leaving,
			Lost:              o.heartbeatLost,
			Ejected:           now.Before(o.ejectedUntil),
		})
	}
	slices.SortFunc(l, func(a, b View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l
}

// load is the share of a target's usable slots that is known to be in use.
func (o *target) load(now time.Time) float64 {
	return float64(o.ownInFlight+o.otherInFlight) / float64(o.slotLimit(now))
}

// slotLimit is the number of slots that may be used. It rises during slow start.
func (o *target) slotLimit(now time.Time) int {
	a := now.Sub(o.addedAt)
	if a >= slowStart {
		return max(o.Slots, 1)
	}
	return max(1, int(float64(o.Slots)*float64(a)/float64(slowStart)))
}

// usable reports whether a target may get a request now. A target whose ejection
// is over gets one request at a time until one succeeds.
func (t *Table) usable(o *target, now time.Time) bool {
	if o.Slots == 0 || o.Leaving || t.outOfService[o.Domain] || now.Before(o.ejectedUntil) {
		return false
	}
	if o.consecutiveFailures >= ejectAfter && o.probeInFlight {
		return false
	}
	return o.ownInFlight+o.otherInFlight < o.slotLimit(now)
}

// Pick chooses a target with a free slot for a service: the less loaded of two
// drawn at random. Targets in avoid are left out. The caller must call ReleaseSlot.
func (t *Table) Pick(service string, avoid map[string]bool, now time.Time, r *rand.Rand) (Target, bool) {
	var c, last []*target
	for _, id := range t.byService[service] {
		o := t.targets[id]
		switch {
		case avoid[id] || !t.usable(o, now):
		case o.heartbeatLost:
			last = append(last, o)
		default:
			c = append(c, o)
		}
	}
	if len(c) == 0 {
		c = last
	}
	if len(c) == 0 {
		return Target{}, false
	}
	a := c[r.IntN(len(c))]
	b := c[r.IntN(len(c))]
	if b.load(now) < a.load(now) {
		a = b
	}
	t.occupySlot(a)
	return a.Target, true
}

// TakeSlot takes a slot of the given target, whatever its load. It reports whether the
// target is known.
func (t *Table) TakeSlot(id string) bool {
	o := t.targets[id]
	if o == nil {
		return false
	}
	t.occupySlot(o)
	return true
}

func (t *Table) occupySlot(o *target) {
	o.ownInFlight++
	o.probeInFlight = o.consecutiveFailures >= ejectAfter
}

// ReleaseSlot records the result of a request and frees its slot.
func (t *Table) ReleaseSlot(id string, r Result, now time.Time) {
	o := t.targets[id]
	if o == nil {
		return
	}
	o.ownInFlight = max(0, o.ownInFlight-1)
	o.probeInFlight = false
	switch r {
	case Succeeded:
		o.consecutiveFailures = 0
		o.ejectionTime = 0
	case Busy:
		o.otherInFlight = max(o.otherInFlight, o.Slots-o.ownInFlight)
	case Failed:
		o.consecutiveFailures++
		t.eject(o, now)
	}
}

// eject takes a target out of use for a while after ejectAfter failures in a row,
// twice as long each time, unless more than half of the targets of one of its
// services would then be ejected.
func (t *Table) eject(o *target, now time.Time) {
	if o.consecutiveFailures < ejectAfter {
		return
	}
	for _, s := range o.Services {
		n := 0
		for _, id := range t.byService[s] {
			if now.Before(t.targets[id].ejectedUntil) {
				n++
			}
		}
		if (n+1)*maxEjectedDivisor > len(t.byService[s]) {
			return
		}
	}
	o.ejectionTime = min(max(ejectBase, 2*o.ejectionTime), ejectMax)
	o.ejectedUntil = now.Add(o.ejectionTime)
}
