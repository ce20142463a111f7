package alloc

import "time"

// Timeliness says what a unit's job can still earn if it starts now.
type Timeliness uint8

// How timely a job can be, the best first.
const (
	// OnTime jobs can still end within their objective.
	OnTime Timeliness = iota
	// Tardy jobs are still worth something to their callers.
	Tardy
	// Overdue jobs are worth nothing any more. They give way to all others, and
	// are done all the same.
	Overdue
)

// tardyFactor times its objective is how long a job's end is worth anything.
const tardyFactor = 3

// TimelinessOf returns the timeliness of a job that has waited, has so much left to
// run, and is in time within its objective.
func TimelinessOf(waited, left, objective time.Duration) Timeliness {
	switch end := waited + left; {
	case end <= objective:
		return OnTime
	case end <= tardyFactor*objective:
		return Tardy
	}
	return Overdue
}

// Order is what decides the turn of a unit.
type Order struct {
	// Claim units are within what their customer is guaranteed.
	Claim bool
	// Class is the priority of the queue; 0 comes first.
	Class      int
	Timeliness Timeliness
	// Age orders units of one class and timeliness; the older has the lower one.
	Age float64
}

// Steps of a rank.
const (
	// classStep sets classes apart; ages are far below it.
	classStep = 1e12
	// tardyStep sets tardy units behind those of their class that are in time.
	tardyStep = classStep / 2
	// overdueStep sets overdue units behind those of all classes.
	overdueStep = 1000 * classStep
)

// Rank returns the rank of a unit: claims, then by class, in each those that can
// be in time before those that cannot, and then the overdue ones of all classes.
// First come, first served would have each unit in a burst wait behind others that
// are late already, until all are.
func (o Order) Rank() float64 {
	if o.Claim {
		return o.Age
	}
	r := classStep*float64(o.Class+1) + o.Age
	switch o.Timeliness {
	case Tardy:
		r += tardyStep
	case Overdue:
		r += overdueStep
	case OnTime:
	}
	return r
}

// Preempts reports whether units of this order may have others stopped.
func (o Order) Preempts() bool { return o.Claim || o.Class == 0 && o.Timeliness != Overdue }
