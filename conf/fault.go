package conf

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in an object or in a settings file.
type Fault struct {
	Object string `json:"object"`
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Error implements error.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Object, f.Detail)
	}
	return fmt.Sprintf("%s: field %q: %s", f.Object, f.Field, f.Detail)
}

// Faults collects all faults of one document. The zero value is ready to use.
type Faults struct {
	list []Fault
	// decodeFaults is how many of the first faults in list come from decoding the
	// document.
	decodeFaults int
}

// List returns the faults in the order in which they were found.
func (f *Faults) List() []Fault { return f.list }

// Add records a fault of a field of an object, unless the field's value could not
// be decoded: then its zero value would be reported as a second fault, such as a
// missing value.
func (f *Faults) Add(object, field, format string, a ...any) {
	if f.undecodable(object, field) {
		return
	}
	f.list = append(f.list, Fault{
		Object: object,
		Field:  field,
		Detail: fmt.Sprintf(format, a...),
	})
}

// undecodable reports whether decoding the document found a fault in this field.
func (f *Faults) undecodable(object, field string) bool {
	return slices.ContainsFunc(f.list[:f.decodeFaults], func(v Fault) bool {
		return v.Object == object && v.Field == field
	})
}

// Require records a fault unless ok is true.
func (f *Faults) Require(ok bool, object, field, format string, a ...any) {
	if !ok {
		f.Add(object, field, format, a...)
	}
}

// Err returns f as an error, or nil if there are no faults.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error returns all faults, one per line.
func (f *Faults) Error() string {
	l := make([]string, 0, len(f.list))
	for _, v := range f.list {
		l = append(l, v.Error())
	}
	return strings.Join(l, "\n")
}
