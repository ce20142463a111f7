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

// NoDomainError says that no failure domain can hold a job.
type NoDomainError struct {
	Shape   pack.Shape
	Domains []string
}

func (e *NoDomainError) Error() string {
	return fmt.Sprintf("no failure domain of %v can hold %d tasks of %+v with adjacency %q", e.Domains, e.Shape.Tasks, e.Shape.Size, e.Shape.Adjacency)
}

// demand is what the jobs of one failure domain use or wait for, and the
// guaranteed units that each customer claims there.
type demand struct {
	total  pack.Size
	claims map[string]int
}

// candidates lists the failure domains that could hold a job, and the names of
// all that it is allowed in. The caller holds mu.
func (e *Entry) candidates(j jobs.Job) ([]sched.Candidate, []string) {
	o := e.config.objects
	a := e.config.units
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
		if v := e.demands[d.Name]; v != nil {
			m = *v
		}
		z := m.total
		if stays(j, o) {
			z = z.Add(unclaimedSize(a[d.Name], m.claims))
		}
		l = append(l, sched.Candidate{
			Name:             d.Name,
			HasUnclaimedUnit: unclaimed(a[d.Name], m.claims, j),
			Demand:           z,
			Capacity:         d.Worker.Times(d.Workers),
		})
	}
	return l, all
}

// stays reports whether a job cannot give way to guarantees once it runs, so
// that it must find room beside all of them.
func stays(j jobs.Job, o *conf.Objects) bool {
	c, _ := o.JobClass(j.Class)
	return !j.Idempotent || c.NotPreemptible
}

// unclaimedSize is what the guaranteed units ask for that nobody claims.
func unclaimedSize(l []conf.Unit, claims map[string]int) pack.Size {
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

// unclaimed reports whether a job's customer has a unit free that fits it.
func unclaimed(l []conf.Unit, claims map[string]int, j jobs.Job) bool {
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

// chooseDomain picks a failure domain for a job; not is left out.
func (e *Entry) chooseDomain(j jobs.Job, not string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, all := e.candidates(j)
	l = slices.DeleteFunc(l, func(c sched.Candidate) bool { return c.Name == not })
	d, ok := sched.ChooseDomain(j.Shape.Total(), l)
	if !ok {
		return "", &NoDomainError{
			Shape:   j.Shape,
			Domains: all,
		}
	}
	return d, nil
}

// betterDomain finds a failure domain to which a waiting job should move. When
// it must move any other will do.
func (e *Entry) betterDomain(j jobs.Job, from string, must bool) (string, error) {
	d, err := e.chooseDomain(j, from)
	if err != nil || must {
		return d, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l, _ := e.candidates(j)
	i := slices.IndexFunc(l, func(c sched.Candidate) bool { return c.Name == from })
	k := slices.IndexFunc(l, func(c sched.Candidate) bool { return c.Name == d })
	if k < 0 || i >= 0 && !sched.ShouldMove(j.Shape.Total(), l[i], l[k]) {
		return "", wire.Refuse(wire.CodeBusy, "no failure domain has room to spare")
	}
	return d, nil
}
