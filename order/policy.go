package order

import (
	"cmp"
	"slices"
	"time"
)

// Policy ranks units by cost of delay. The zero value is ready for use.
type Policy struct{}

const (
	// firstOrdinal is the rank of the first unit that is not guaranteed. It is far above
	// any age, which is the rank of guaranteed units.
	firstOrdinal = 1e12
	// maxOvertaken is how many younger jobs of its queue may overtake a unit.
	maxOvertaken = 50
	// urgencyFactor times its objective is the slack with which a unit counts half as much
	// as one without slack.
	urgencyFactor = 4.0
	// An on-time unit is urgent with less slack than urgentShare of its objective, and
	// patient with more than patientShare.
	urgentShare  = 0.05
	patientShare = 0.6
)

// Bands of a class, the first one first. Units are compared by score within a band only.
const (
	// aged units come first: they have been overtaken maxOvertaken times, or are reserved.
	aged = iota
	onTime
	// yielding are the last on-time units of a class if they are patient, beside the
	// urgent units of the next class that lose more by waiting.
	yielding
	late
	classBands
)

// overdueBands are above the bands of all classes.
const overdueBands = 1 << 20

// candidate is a waiting unit without a guarantee.
type candidate struct {
	*Item
	index int
	band  int
	score float64
}

// Rank returns the rank of each item, the lowest first: guaranteed units by age, then the
// classes, each with on-time before late units, and last the units whose results have no
// value any more. Within these, units rank by the value per work that is lost if they wait.
func (p *Policy) Rank(items []Item) []float64 {
	ranks := make([]float64, len(items))
	s := sharesOf(items)
	l := make([]candidate, 0, len(items))
	for n := range items {
		i := &items[n]
		switch {
		case i.Running:
		case i.Guaranteed:
			ranks[n] = i.Age
		default:
			l = append(l, candidate{
				Item:  i,
				index: n,
				band:  i.band(),
				score: i.score(s.meanWork(i)),
			})
		}
	}
	sortCandidates(l)
	for n := range l {
		l[n].score /= max(s.take(l[n].Item), 1)
	}
	sortCandidates(l)
	if exchange(l) {
		sortCandidates(l)
	}
	for n, c := range l {
		ranks[c.index] = firstOrdinal + float64(n)
	}
	return ranks
}

func sortCandidates(l []candidate) {
	slices.SortFunc(l, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.score, a.score), cmp.Compare(a.Age, b.Age), cmp.Compare(a.index, b.index))
	})
}

// band returns the band of a unit before any exchange.
func (i *Item) band() int {
	c := classBands * i.Class
	switch {
	case i.lateSlack() < 0:
		return overdueBands + i.Class
	case i.first():
		return c + aged
	case i.slack() < 0:
		return c + late
	}
	return c + onTime
}

// first reports whether the unit comes before the others of its class.
func (i *Item) first() bool { return i.Reserved || i.Overtaken >= maxOvertaken }

// score returns the value per core-second that is about to be lost. It is 0 where age decides.
func (i *Item) score(mean float64) float64 {
	if i.first() || i.lateSlack() < 0 {
		return 0
	}
	s := i.slack()
	if s < 0 {
		s = i.lateSlack()
	}
	return i.density(mean) / (1 + s.Seconds()/(urgencyFactor*max(i.Objective, time.Millisecond).Seconds()))
}

// exchange lets urgent units pass the patient units at the end of the class above that have
// a lower score, and reports whether it changed any band. Units of one class pass each other
// only where an urgent one does so.
func exchange(l []candidate) bool {
	blocked, lowest := map[int]bool{}, map[int]float64{}
	for n := len(l) - 1; n >= 0; n-- {
		c := &l[n]
		if c.band != classBands*c.Class+onTime || blocked[c.Class] {
			continue
		}
		if float64(c.slack()) <= patientShare*float64(c.Objective) {
			blocked[c.Class] = true
			continue
		}
		c.band += yielding - onTime
		if _, ok := lowest[c.Class]; !ok {
			lowest[c.Class] = c.score
		}
	}
	for n := range l {
		c := &l[n]
		v, ok := lowest[c.Class-1]
		if ok && c.band == classBands*c.Class+onTime && float64(c.slack()) < urgentShare*float64(c.Objective) && c.score > v {
			c.band = classBands*(c.Class-1) + yielding
		}
	}
	return len(lowest) > 0
}
