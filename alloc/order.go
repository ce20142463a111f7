package alloc

import "time"

// Timeliness says whether a job can still meet its objective if it starts now.
type Timeliness uint8

// The values of Timeliness, best first.
const (
	// OnTime jobs can still end within their objective.
	OnTime Timeliness = iota
	// Tardy jobs miss their objective, but their result still has value for the
	// caller.
	Tardy
	// Overdue jobs end so late that their result has no value any more. They rank
	// behind all others, but still run.
	Overdue
)

// TardyFactor times the objective is the latest end at which a result still has
// value.
const TardyFactor = 3

// TimelinessOf returns the timeliness of a job from how long it has waited, how
// long it still has to run, and its objective for the sum of the two.
func TimelinessOf(waited, left, objective time.Duration) Timeliness {
	switch end := waited + left; {
	case end <= objective:
		return OnTime
	case end <= TardyFactor*objective:
		return Tardy
	}
	return Overdue
}

// Order holds the properties that decide the rank of a unit.
type Order struct {
	// WithinGuarantee is set if the unit is within the guarantee of its customer.
	WithinGuarantee bool
	// Class is the priority of the queue; 0 is the highest.
	Class      int
	Timeliness Timeliness
	// Age orders units of equal class and timeliness; older units have the lower
	// value.
	Age float64
}

// Components of a rank.
const (
	// classStep separates classes; it is far above any age.
	classStep = 1e12
	// tardyStep puts tardy units behind the on-time units of their class.
	tardyStep = classStep / 2
	// overdueStep puts overdue units behind those of all classes.
	overdueStep = 1000 * classStep
)

// Rank returns the rank of a unit, the lowest first: guaranteed units by age, then
// the classes, each with on-time before tardy units, and last the overdue units of
// all classes. Under first come, first served, each unit of a burst would wait
// behind units that are already late, until all are late.
func (o Order) Rank() float64 {
	if o.WithinGuarantee {
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

// MayPreempt reports whether units of this order may preempt others.
func (o Order) MayPreempt() bool { return o.WithinGuarantee || o.Class == 0 && o.Timeliness != Overdue }
