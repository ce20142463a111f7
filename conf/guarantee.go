package conf

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlockhinge/pack"
)

// Guarantee guarantees a customer capacity for Count gangs of Shape. The capacity
// is free within Reclaim of a request for it, even when any Survive of all
// failure domains are out of service.
type Guarantee struct {
	Name           string     `json:"name"`
	Customer       string     `json:"customer"`
	Shape          pack.Shape `json:"shape"`
	Count          int        `json:"count"`
	FailureDomains []string   `json:"failure_domains"`
	Reclaim        Duration   `json:"reclaim"`
	Survive        int        `json:"survive,omitempty"`
}

const (
	maxSurvive = 2
	maxCount   = 10_000
	maxTasks   = 256
	minReclaim = time.Second
)

func (g Guarantee) name() string { return g.Name }

func (g Guarantee) check(o *Objects, f *Faults) {
	n := objectName("guarantee", g.Name)
	if _, ok := o.Customer(g.Customer); !ok {
		f.Add(n, "customer", "customer %q does not exist", g.Customer)
	}
	f.Require(g.Count >= 1 && g.Count <= maxCount, n, "count", "must be 1 to %d, is %d", maxCount, g.Count)
	f.Require(g.Shape.Tasks >= 1 && g.Shape.Tasks <= maxTasks, n, "shape.tasks", "must be 1 to %d, is %d", maxTasks, g.Shape.Tasks)
	f.Require(g.Shape.Size.Accelerators >= 0, n, "shape.size.accelerators", "must not be negative, is %d", g.Shape.Size.Accelerators)
	f.Require(g.Shape.Size.Cores >= 0, n, "shape.size.cores", "must not be negative, is %d", g.Shape.Size.Cores)
	f.Require(g.Shape.Size.MemoryGiB >= 0, n, "shape.size.memory_gib", "must not be negative, is %d", g.Shape.Size.MemoryGiB)
	f.Require(g.Shape.Size != pack.Size{}, n, "shape.size", "must request accelerators, cores or memory")
	f.Require(g.Shape.Adjacency.Valid(), n, "shape.adjacency", "%q is not failure_domain, rack or worker", g.Shape.Adjacency)
	f.Require(g.Reclaim.Std() >= minReclaim, n, "reclaim", "must be %s or more, is %s", minReclaim, g.Reclaim.Std())
	f.Require(g.Survive >= 0 && g.Survive <= maxSurvive, n, "survive", "must be 0 to %d, is %d", maxSurvive, g.Survive)
	f.Require(len(g.FailureDomains) > 0, n, "failure_domains", "at least one is needed")
	u := map[string]bool{}
	for _, d := range g.FailureDomains {
		if _, ok := o.FailureDomain(d); !ok {
			f.Add(n, "failure_domains", "failure domain %q does not exist", d)
		}
		f.Require(!u[d], n, "failure_domains", "failure domain %q is listed twice", d)
		u[d] = true
	}
}

// Unit is the capacity for one gang of a guarantee, assigned to a failure domain.
type Unit struct {
	Guarantee string
	Customer  string
	Shape     pack.Shape
	Reclaim   time.Duration
}

// Assign distributes the units of all guarantees over the failure domains that
// are in service and not in out. It also returns the names of the guarantees that
// do not fit. The result depends only on the arguments, so that every process
// computes the same.
//
// The best assignment is a packing problem. Assign tries a few orders and takes
// the first in which every guarantee fits, or else the one that leaves out the
// fewest.
func (o *Objects) Assign(out map[string]bool) (map[string][]Unit, []string) {
	var best map[string][]Unit
	var unplaced []string
	for i, c := range placementOrders {
		a, m := o.assignInOrder(c, out)
		if i == 0 || len(m) < len(unplaced) {
			best, unplaced = a, m
		}
		if len(unplaced) == 0 {
			break
		}
	}
	return best, unplaced
}

// placementOrders are the orders in which Assign tries to place the guarantees.
var placementOrders = []func(a, b Guarantee) int{
	func(a, b Guarantee) int { return CompareDifficulty(a.Shape, b.Shape) },
	func(a, b Guarantee) int { return len(a.FailureDomains) - len(b.FailureDomains) },
	func(a, b Guarantee) int { return b.Shape.Total().Accelerators - a.Shape.Total().Accelerators },
}

func (o *Objects) assignInOrder(order func(a, b Guarantee) int, out map[string]bool) (map[string][]Unit, []string) {
	g := map[string]*pack.Grid{}
	for _, d := range o.FailureDomains {
		if !d.OutOfService && !out[d.Name] {
			g[d.Name] = d.Grid()
		}
	}
	a := map[string][]Unit{}
	var unplaced []string
	for _, v := range o.guaranteesInOrder(order) {
		if !v.assign(g, a) {
			unplaced = append(unplaced, v.Name)
		}
	}
	return a, unplaced
}

// guaranteesInOrder returns the guarantees in the given order, and by name where
// that order leaves a tie.
func (o *Objects) guaranteesInOrder(order func(a, b Guarantee) int) []Guarantee {
	l := slices.Clone(o.Guarantees)
	slices.SortStableFunc(l, func(a, b Guarantee) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(l, order)
	return l
}

// CompareDifficulty compares two shapes: the one that is harder to place comes first.
func CompareDifficulty(a, b pack.Shape) int {
	if c := adjacencyRank(b.Adjacency) - adjacencyRank(a.Adjacency); c != 0 {
		return c
	}
	if c := b.Size.Accelerators - a.Size.Accelerators; c != 0 {
		return c
	}
	return b.Tasks - a.Tasks
}

func adjacencyRank(a pack.Adjacency) int {
	switch a {
	case pack.AdjacentRack:
		return 1
	case pack.AdjacentWorker:
		return 2
	}
	return 0
}

// assign places each unit of g in the listed failure domain that holds the fewest
// units of g so far, among those with enough free capacity for the unit. It reports
// whether all units fit.
func (g Guarantee) assign(m map[string]*pack.Grid, a map[string][]Unit) bool {
	n := map[string]int{}
	for range g.Count {
		b, p := "", []int(nil)
		for _, d := range g.FailureDomains {
			if m[d] == nil || (b != "" && n[d] >= n[b]) {
				continue
			}
			if q, ok := m[d].Place(g.shapeOn(m[d].Worker(0).Total), nil); ok {
				b, p = d, q
			}
		}
		if b == "" {
			return false
		}
		z := g.shapeOn(m[b].Worker(0).Total)
		m[b].Allocate(p, z.Size)
		n[b]++
		a[b] = append(a[b], Unit{
			Guarantee: g.Name,
			Customer:  g.Customer,
			Shape:     z,
			Reclaim:   g.Reclaim.Std(),
		})
	}
	return true
}

// shapeOn returns the guaranteed shape on workers of size w. Cores and memory
// that the guarantee leaves unset are added in proportion to its accelerators.
func (g Guarantee) shapeOn(w pack.Size) pack.Shape {
	s := g.Shape
	if s.Size.Accelerators == 0 || w.Accelerators == 0 {
		return s
	}
	if s.Size.Cores == 0 {
		s.Size.Cores = w.Cores * s.Size.Accelerators / w.Accelerators
	}
	if s.Size.MemoryGiB == 0 {
		s.Size.MemoryGiB = w.MemoryGiB * s.Size.Accelerators / w.Accelerators
	}
	return s
}

// checkGuarantees checks that all guarantees can be met at once, with every set
// of failure domains out of service that they must survive. Domains that
// operators have taken out of service count as part of such a set.
func (o *Objects) checkGuarantees(f *Faults) {
	for k := 0; k <= maxSurvive; k++ {
		v := &Objects{
			FailureDomains: o.allInService(),
			Guarantees:     o.guaranteesSurviving(k),
		}
		if len(v.Guarantees) == 0 {
			continue
		}
		for _, out := range subsets(o.domainNames(), k) {
			_, unplaced := v.Assign(out)
			for _, n := range unplaced {
				f.Add(objectName("guarantee", n), "count", "cannot be placed together with the other guarantees on declared capacity with failure domains %v out", sortedKeys(out))
			}
			if len(unplaced) > 0 {
				return
			}
		}
	}
}

// allInService returns the failure domains as if none were out of service.
func (o *Objects) allInService() []FailureDomain {
	l := slices.Clone(o.FailureDomains)
	for i := range l {
		l[i].OutOfService = false
	}
	return l
}

// guaranteesSurviving returns the guarantees that must survive k failure domains
// out of service.
func (o *Objects) guaranteesSurviving(k int) []Guarantee {
	var l []Guarantee
	for _, g := range o.Guarantees {
		if g.Survive >= k {
			l = append(l, g)
		}
	}
	return l
}

func (o *Objects) domainNames() []string {
	l := make([]string, 0, len(o.FailureDomains))
	for _, d := range o.FailureDomains {
		l = append(l, d.Name)
	}
	return l
}

// subsets returns all sets of k names from l.
func subsets(l []string, k int) []map[string]bool {
	if k == 0 {
		return []map[string]bool{{}}
	}
	var r []map[string]bool
	for i := range l {
		for _, s := range subsets(l[i+1:], k-1) {
			s[l[i]] = true
			r = append(r, s)
		}
	}
	return r
}

func decimal(i int) string { return strconv.Itoa(i) }
