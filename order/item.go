// Package order ranks units that wait for capacity by what callers lose while the units
// wait, weighs preemptions by the same measure, and forecasts when a new job would begin.
// It reads no clock and does no I/O.
//
// # Usage
//
//	var p order.Policy
//	for n, r := range p.Rank(items) { units[n].Rank = r }
package order

import (
	"math"
	"time"

	"hemlockhinge/alloc"
)

// Item is a unit that waits, or the running part of a job.
type Item struct {
	Customer string
	Queue    string
	// Class is the priority of the queue; 0 is the highest.
	Class int
	// Guaranteed is set if the unit is within the guarantee of its customer.
	Guaranteed bool
	// Running is set for capacity in use. It counts towards the share of its customer.
	Running bool
	// Age orders units of equal standing; older units have the lower value.
	Age float64
	// Objective is the time from the submission to the end of the job within which it
	// is on time.
	Objective time.Duration
	// Waited is the time since the submission, and Remaining the time that the job still
	// needs from the start of the unit on, or that a running part still runs.
	Waited    time.Duration
	Remaining time.Duration
	// Size is the capacity of the unit in core equivalents.
	Size float64
	// Work is that of the whole job in core-seconds, 0 if unknown, and Left is its part
	// that has not been done.
	Work float64
	Left float64
	// Reserved means that capacity is withheld for the unit until others have stopped. If it
	// moved back, others would take that capacity, and more would be stopped.
	Reserved bool
	// Overtaken is how many younger jobs of its queue began while the unit waited.
	Overtaken int
}

const (
	// lateShare is the share of its value that a late result still has. How much that is
	// differs between callers, so it is an assumption.
	lateShare = 0.5
	// fixedShare is the part of a job's value that does not depend on its work: a caller waits
	// for the result of a small job as for that of a large one. The rest is in proportion to
	// the work, so that large jobs do not always come last.
	fixedShare = 0.5
	// minLeftShare bounds from below the share of its work that a job is taken to need
	// still, since estimates are wrong.
	minLeftShare = 0.1
)

// classFactor is how many times as much a result counts as one of the next class.
const classFactor = 2.0

func (i *Item) weight() float64 { return math.Pow(classFactor, -float64(max(i.Class, 0))) }

// slack returns how long the unit can wait without being late.
func (i *Item) slack() time.Duration { return i.Objective - i.Waited - i.Remaining }

// lateSlack returns how long the unit can wait until its result has no value.
func (i *Item) lateSlack() time.Duration {
	return alloc.TardyFactor*i.Objective - i.Waited - i.Remaining
}

// value returns what the result is worth on time, in weighted core-seconds, for the mean
// work of the queue's jobs.
func (i *Item) value(mean float64) float64 {
	return i.weight() * (fixedShare*mean + (1-fixedShare)*i.Work)
}

// density returns the value per core-second that the job still needs.
func (i *Item) density(mean float64) float64 {
	if i.Work <= 0 || mean <= 0 {
		return i.weight()
	}
	return i.value(mean) / max(i.Left, minLeftShare*i.Work)
}

// unevenFactor times the mean is the guarantee above which guarantees are very uneven.
const unevenFactor = 2.5

// Uneven reports whether the guarantees of a configuration's customers are very uneven, so that
// bursts of the largest one crowd out the others.
func Uneven(guarantees []int) bool {
	largest, sum := 0, 0
	for _, g := range guarantees {
		largest = max(largest, g)
		sum += g
	}
	return float64(largest)*float64(len(guarantees)) > unevenFactor*float64(sum)
}
