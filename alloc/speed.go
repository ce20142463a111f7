package alloc

import (
	"cmp"
	"math"
	"slices"
)

// equalSpeedRatio is the ratio up to which two speeds count as equal, so that best fit
// decides between the workers: estimates are not exact.
const equalSpeedRatio = 1.15

// speedOrder says how an attempt to place a unit chooses between workers of different
// speed.
type speedOrder uint8

const (
	// ignoreSpeed chooses by fit alone.
	ignoreSpeed speedOrder = iota
	// slowestFirst leaves the faster workers free.
	slowestFirst
	// fastestFirst limits the delay of a unit that got no fast enough workers.
	fastestFirst
)

// speedLimit restricts one attempt to place a unit by the speed of the workers.
type speedLimit struct {
	order speedOrder
	// min is the slowest admitted speed; 0 admits all.
	min float64
	// inOneRack keeps a one-rack gang within a rack even if it may span racks, and
	// inDataRack keeps a unit in the rack of its data: a slow worker there delays it
	// less than a fast one elsewhere.
	inOneRack  bool
	inDataRack bool
}

// excludes reports whether the attempt may not use a worker.
func (l *speedLimit) excludes(v *Worker, u *Unit) bool {
	return l.min > 0 && (v.speed() < l.min || l.inDataRack && v.Rack != u.Step.DataRack)
}

func (v *Worker) speed() float64 {
	if v.Speed == 0 {
		return 1
	}
	return v.Speed
}

// usesSpeed reports whether the speeds of workers matter to the unit.
func (u *Unit) usesSpeed() bool { return u.Uneven || u.MinSpeed > 0 }

// waitsForSpeed reports whether the unit waits for fast enough workers rather than start on
// slower ones.
func (u *Unit) waitsForSpeed() bool { return u.WaitForSpeed && u.Slack > 0 }

// anySpeed returns the limit of an attempt that admits all speeds.
func (u *Unit) anySpeed() speedLimit {
	var l speedLimit
	switch {
	case u.MinSpeed > 0:
		l.order = fastestFirst
	case u.Uneven:
		l.order = slowestFirst
	}
	return l
}

// speeds holds what one Decide knows of the speeds of the workers.
type speeds struct {
	workers []Worker
	// slowest is the slowest speed class of each service; nil if no unit uses speeds.
	slowest map[string]float64
	// limits caches, by the requirements of units, the limit of the attempt on fast
	// enough workers; its order is ignoreSpeed if there is none.
	limits map[requirements]speedLimit
}

// newSpeeds sets the speed classes of the workers if a unit uses them.
func newSpeeds(w []Worker, u []Unit) speeds {
	s := speeds{
		workers: w,
	}
	used := false
	for i := range u {
		used = used || u[i].usesSpeed()
	}
	if !used {
		return s
	}
	s.slowest = map[string]float64{}
	s.limits = map[requirements]speedLimit{}
	order := make([]int, len(w))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(w[a].speed(), w[b].speed()) })
	class := map[string]float64{}
	for _, i := range order {
		v := &w[i]
		if c, ok := class[v.Service]; !ok || v.speed() > equalSpeedRatio*c {
			class[v.Service] = v.speed()
		}
		v.speedClass = class[v.Service]
		if _, ok := s.slowest[v.Service]; !ok {
			s.slowest[v.Service] = v.speedClass
		}
	}
	return s
}

// setNeededSpeed sets the speed above which workers are wasted on a unit.
func (s *speeds) setNeededSpeed(u *Unit) {
	u.neededSpeed = u.MinSpeed
	if u.neededSpeed == 0 {
		u.neededSpeed = s.slowest[u.Service]
	}
}

// limit sets the limit of the next attempt to place a unit, and whether the unit could then
// still run when a reservation starts.
func (c *pass) limit(u *Unit, l speedLimit, starved bool) {
	u.limit = l
	u.extraOnly = !starved && !c.backfill.endsBeforeReservations(c.preemptor.workers, u)
}

// fastLimit returns the limit of the attempt to place a unit on fast enough workers, and
// whether to make one: they could hold the unit if they were empty, without crossing racks
// that slower workers make it unnecessary to cross.
func (s *speeds) fastLimit(u *Unit) (speedLimit, bool) {
	if u.MinSpeed == 0 {
		return speedLimit{}, false
	}
	if u.boundToWorkers() {
		l := s.newFastLimit(u)
		return l, l.order != ignoreSpeed
	}
	z := requirementsOf(u)
	z.limit.min = u.MinSpeed
	l, known := s.limits[z]
	if !known {
		l = s.newFastLimit(u)
		s.limits[z] = l
	}
	return l, l.order != ignoreSpeed
}

func (s *speeds) newFastLimit(u *Unit) speedLimit {
	l := speedLimit{
		order: slowestFirst,
		min:   u.MinSpeed,
	}
	v := *u
	v.limit = speedLimit{}
	whole, _ := emptyCapacity(s.workers, &v)
	v.limit = l
	fast, total := emptyCapacity(s.workers, &v)
	n := len(u.Tasks)
	var fits bool
	switch {
	case u.Step.DataRack != "" && whole[u.Step.DataRack] >= n:
		l.inDataRack = true
		fits = fast[u.Step.DataRack] >= n
	case u.inRack() && largest(whole) >= n:
		l.inOneRack = true
		fits = largest(fast) >= n
	default:
		fits = total >= n
	}
	if !fits {
		return speedLimit{}
	}
	return l
}

// emptyCapacity returns how many tasks of a unit each rack, and all of them, could hold if
// nothing but other tasks of its step ran there.
func emptyCapacity(w []Worker, u *Unit) (racks map[string]int, total int) {
	racks = map[string]int{}
	for i := range w {
		if eligible(w, i, u) {
			n := taskCapacity(w[i].Total, u, u.RunningPerWorker[i])
			racks[w[i].Rack] += n
			total += n
		}
	}
	return racks, total
}

func largest(m map[string]int) int {
	n := 0
	for _, v := range m {
		n = max(n, v)
	}
	return n
}

// slowestSpeed returns the slowest speed at which the unit may run in this attempt.
func (u *Unit) slowestSpeed(w []Worker) float64 {
	if !u.usesSpeed() {
		return 1
	}
	f := math.Inf(1)
	for i := range w {
		if eligible(w, i, u) {
			f = min(f, w[i].speed())
		}
	}
	if math.IsInf(f, 1) {
		return 1
	}
	return f
}

// compareSpeed orders workers by their speed class, the slowest first, if speeds matter in
// the attempt.
func (u *Unit) compareSpeed(a, b *Worker) int {
	if u.limit.order == ignoreSpeed {
		return 0
	}
	return cmp.Compare(a.speedClass, b.speedClass)
}

// speedCost compares placements of a unit by the speed of their workers; the lowest is
// best.
type speedCost struct {
	first  float64
	second float64
}

func (c speedCost) compare(d speedCost) int {
	return cmp.Or(cmp.Compare(c.first, d.first), cmp.Compare(c.second, d.second))
}

// costOf returns the cost of a placement. Slowest first, this is the speed beyond what the
// unit needs times how long it is occupied, which rises as the slowest member delays the
// others. Fastest first, the pace counts before the occupied speed.
func (u *Unit) costOf(w []Worker, at []int) speedCost {
	pace := math.Inf(1)
	total := 0.0
	for _, k := range at {
		pace = min(pace, w[k].speedClass)
		total += w[k].speedClass
	}
	if u.limit.order == fastestFirst {
		return speedCost{
			first:  -pace,
			second: total,
		}
	}
	waste := 0.0
	for _, k := range at {
		waste += max(0, w[k].speedClass-u.neededSpeed) / pace
	}
	return speedCost{
		first:  waste,
		second: total,
	}
}

// placeInRack places a one-rack gang on the free capacity of one rack: the first that holds
// it or, if speeds matter, the one where that costs least. The rack of its data comes first.
func placeInRack(w []Worker, u *Unit) ([]int, bool) {
	var best []int
	var cost speedCost
	for _, r := range rackOrder(w, u) {
		at, ok := assign(w, u, func(v *Worker) bool { return v.Rack == r })
		if !ok {
			continue
		}
		if u.limit.order == ignoreSpeed || r == u.Step.DataRack {
			return at, true
		}
		if c := u.costOf(w, at); best == nil || c.compare(cost) < 0 {
			best, cost = at, c
		}
	}
	return best, best != nil
}

// takeBySpeed assigns the tasks to candidates, which are sorted by failures, speed and fit.
// It compares the placements with no worker below each speed class: taking the very slowest
// could delay the other members of a gang. Fewer failures come first.
func takeBySpeed(w []Worker, u *Unit, l []candidate) []int {
	var classes []float64
	for _, c := range l {
		classes = append(classes, w[c.worker].speedClass)
	}
	slices.Sort(classes)
	var best []int
	var cost speedCost
	failures := 0
	for _, f := range slices.Compact(classes) {
		at := take(u, l, func(c candidate) bool { return w[c.worker].speedClass >= f })
		if len(at) < len(u.Tasks) {
			break
		}
		n := 0
		for _, k := range at {
			n += w[k].FailureScore
		}
		c := u.costOf(w, at)
		if best == nil || cmp.Or(cmp.Compare(n, failures), c.compare(cost)) < 0 {
			best, cost, failures = at, c, n
		}
	}
	return best
}

// sortOptions orders the options for preemption by speed, which decides between those of
// equal cost.
func (u *Unit) sortOptions(w []Worker, l []option) {
	if u.limit.order == ignoreSpeed {
		return
	}
	slices.SortStableFunc(l, func(a, b option) int {
		n := cmp.Compare(w[a.worker].speedClass, w[b.worker].speedClass)
		if u.limit.order == fastestFirst {
			return -n
		}
		return n
	})
}
