// Package conf defines the operators' objects and the daemons' settings.
//
// Both are JSON with comments. Each document is checked as a whole: the error is
// a *Faults that lists every fault with its object and field, and a document with
// any fault is rejected. Objects refer to one another by name; the check resolves
// each name and verifies that all guarantees can be met at once.
//
// # Usage
//
//	o, err := conf.ParseObjects(text)
//	var f *conf.Faults
//	if errors.As(err, &f) {
//		for _, v := range f.List() { ... }
//	}
package conf

import (
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
)

// Objects is the configuration that operators write, as a single document.
type Objects struct {
	FailureDomains []FailureDomain `json:"failure_domains"`
	Customers      []Customer      `json:"customers"`
	Guarantees     []Guarantee     `json:"guarantees"`
	Services       []Service       `json:"services"`
	JobClasses     []JobClass      `json:"job_classes"`
}

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ParseObjects decodes and checks a document. Its error is a *Faults.
func ParseObjects(b []byte) (*Objects, error) {
	var f Faults
	o := &Objects{}
	if Decode("objects", b, o, &f) {
		o.check(&f)
	}
	if f.Err() != nil {
		return nil, f.Err()
	}
	return o, nil
}

// check adds all faults of the objects to f.
func (o *Objects) check(f *Faults) {
	checkNames("failure_domain", o.FailureDomains, FailureDomain.name, f)
	checkNames("customer", o.Customers, Customer.name, f)
	checkNames("guarantee", o.Guarantees, Guarantee.name, f)
	checkNames("service", o.Services, Service.name, f)
	checkNames("job_class", o.JobClasses, JobClass.name, f)
	f.Require(len(o.FailureDomains) > 0, "objects", "failure_domains", "at least one is needed")
	f.Require(len(o.JobClasses) > 0, "objects", "job_classes", "at least one is needed")
	for _, v := range o.FailureDomains {
		v.check(f)
	}
	for _, v := range o.Customers {
		v.check(f)
	}
	for _, v := range o.Guarantees {
		v.check(o, f)
	}
	for _, v := range o.Services {
		v.check(f)
	}
	for _, v := range o.JobClasses {
		v.check(f)
	}
	if f.Err() == nil {
		o.checkGuarantees(f)
	}
}

// checkNames checks that the names in l are valid and unique.
func checkNames[T any](kind string, l []T, name func(T) string, f *Faults) {
	s := map[string]bool{}
	for i, v := range l {
		n := name(v)
		if !validName.MatchString(n) {
			f.Add(fmt.Sprintf("%s[%d]", kind, i), "name", "%q must be 1 to 63 of a-z, 0-9 and hyphen", n)
		}
		if s[n] {
			f.Add(objectName(kind, n), "name", "used twice")
		}
		s[n] = true
	}
}

func objectName(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// SameGuarantees reports whether o and p have equal guarantees and failure
// domains, so that Assign returns the same for both.
func (o *Objects) SameGuarantees(p *Objects) bool {
	return slices.Equal(o.FailureDomains, p.FailureDomains) &&
		slices.EqualFunc(o.Guarantees, p.Guarantees, func(a, b Guarantee) bool { return reflect.DeepEqual(a, b) })
}

// FailureDomain returns the failure domain named n.
func (o *Objects) FailureDomain(n string) (FailureDomain, bool) {
	return findByName(o.FailureDomains, n, FailureDomain.name)
}

// Customer returns the customer named n.
func (o *Objects) Customer(n string) (Customer, bool) {
	return findByName(o.Customers, n, Customer.name)
}

// Service returns the service named n.
func (o *Objects) Service(n string) (Service, bool) { return findByName(o.Services, n, Service.name) }

// JobClass returns the job class named n.
func (o *Objects) JobClass(n string) (JobClass, bool) {
	return findByName(o.JobClasses, n, JobClass.name)
}

func findByName[T any](l []T, n string, name func(T) string) (T, bool) {
	i := slices.IndexFunc(l, func(v T) bool { return name(v) == n })
	if i < 0 {
		var z T
		return z, false
	}
	return l[i], true
}
