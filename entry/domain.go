package entry

import (
	"fmt"
	"slices"

	"hemlockhinge/conf"
	"hemlockhinge/jobs"
	"hemlockhinge/pack"
	"hemlockhinge/sched"
	"hemlockhinge/wire"
)

// NoDomainError means that a job fits none of the failure domains that it may run in.
type NoDomainError struct {
	Shape   pack.Shape
	Domains []string
}

func (e *NoDomainError) Error() string {
	return fmt.Sprintf("no failure domain of %v can hold %d tasks of %+v with adjacency %q", e.Domains, e.Shape.Tasks, e.Shape.Size, e.Shape.Adjacency)
}

// demand is the total size of the running and queued jobs of a failure domain, and the
// number of guaranteed units in use there, by guarantee.
type demand struct {
	total        pack.Size
	claimedUnits map[string]int
}

// candidateDomains returns the failure domains in service whose declared capacity can
// hold a job, and the names of all that the job may run in. The caller holds mu.
func (e *Entry) candidateDomains(j jobs.Job) ([]sched.Candidate, []string) {
	o := e.config.objects
	a := e.config.unitsByDomain
	var l []sched.Candidate
	var all []string
	for _, d := range o.FailureDomains {
		if len(j.AllowedDomains) > 0 && !slices.Contains(j.AllowedDomains, d.Name) {
			continue
		}
		all = append(all, d.Name)
		if d.OutOfService || !e.config.fits(d, j.Shape) {
			continue
		}
		var m demand
		if v := e.demandByDomain[d.Name]; v != nil {
			m = *v
		}
		z := m.total
		if cannotBePreempted(j, o) {
			z = z.Add(unclaimedCapacity(a[d.Name], m.claimedUnits))
		}
		l = append(l, sched.Candidate{
			Name:             d.Name,
			HasUnclaimedUnit: hasUnclaimedUnit(a[d.Name], m.claimedUnits, j),
			Demand:           z,
			Capacity:         d.Worker.Times(d.Workers),
		})
	}
	return l, all
}

// cannotBePreempted reports whether a job, once it runs, cannot be preempted for
// guaranteed units. Such a job needs capacity beyond that of all guaranteed units.
func cannotBePreempted(j jobs.Job, o *conf.Objects) bool {
	c, _ := o.JobClass(j.Class)
	return !j.Idempotent || c.NotPreemptible
}

// unclaimedCapacity is the total size of the guaranteed units that no job uses.
func unclaimedCapacity(l []conf.Unit, claims map[string]int) pack.Size {
	var z pack.Size
	n := map[string]int{}
	for _, u := range l {
		n[u.Guarantee]++
		if n[u.Guarantee] > claims[u.Guarantee] {
			z = z.Add(u.Shape.Total())
		}
	}
	return z
}

// hasUnclaimedUnit reports whether the job's customer has an unused guaranteed unit that
// can hold the job.
func hasUnclaimedUnit(l []conf.Unit, claims map[string]int, j jobs.Job) bool {
	n := map[string]int{}
	for _, u := range l {
		if u.Customer != j.Customer || !j.Shape.FitsWithin(u.Shape) {
			continue
		}
		n[u.Guarantee]++
		if n[u.Guarantee] > claims[u.Guarantee] {
			return true
		}
	}
	return false
}

// chooseDomain picks a failure domain for a job, other than exclude.
func (e *Entry) chooseDomain(j jobs.Job, exclude string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, all := e.candidateDomains(j)
	l = slices.DeleteFunc(l, func(c sched.Candidate) bool { return c.Name == exclude })
	d, ok := sched.ChooseDomain(j.Shape.Total(), l)
	if !ok {
		return "", &NoDomainError{
			Shape:   j.Shape,
			Domains: all,
		}
	}
	return d, nil
}

// betterDomain returns the failure domain to which a queued job should move, as decided
// by sched.ShouldMove. If the job must move, any other that can hold it will do.
func (e *Entry) betterDomain(j jobs.Job, from string, must bool) (string, error) {
	d, err := e.chooseDomain(j, from)
	if err != nil || must {
		return d, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l, _ := e.candidateDomains(j)
	i := slices.IndexFunc(l, func(c sched.Candidate) bool { return c.Name == from })
	k := slices.IndexFunc(l, func(c sched.Candidate) bool { return c.Name == d })
	if k < 0 || i >= 0 && !sched.ShouldMove(j.Shape.Total(), l[i], l[k]) {
		return "", wire.Refuse(wire.CodeBusy, "no other failure domain has a low enough load")
	}
	return d, nil
}
