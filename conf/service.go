package conf

import "time"

// Service is a service that targets provide and callers send requests to.
type Service struct {
	Name           string         `json:"name"`
	Idempotent     *bool          `json:"idempotent,omitempty"`
	Timeout        Duration       `json:"timeout,omitempty"`
	MaxQueued      int            `json:"max_queued,omitempty"`
	RequestClasses []RequestClass `json:"request_classes,omitempty"`
}

// RequestClass is a class of requests that wait for a slot. Requests of a class
// with a lower Priority are served first. MaxWait is the maximum time to wait.
type RequestClass struct {
	Name     string   `json:"name"`
	Priority int      `json:"priority"`
	MaxWait  Duration `json:"max_wait,omitempty"`
}

// Defaults for fields of a service that are zero.
const (
	DefaultRequestTimeout = 60 * time.Second
	DefaultMaxQueued      = 256
	DefaultMaxWait        = 5 * time.Second
)

func (s Service) name() string { return s.Name }

func (s Service) check(f *Faults) {
	n := objectName("service", s.Name)
	f.Require(s.Timeout >= 0, n, "timeout", "must not be negative, is %s", s.Timeout.Std())
	f.Require(s.MaxQueued >= 0, n, "max_queued", "must not be negative, is %d", s.MaxQueued)
	u := map[string]bool{}
	for _, c := range s.RequestClasses {
		f.Require(validName.MatchString(c.Name), n, "request_classes", "bad name %q", c.Name)
		f.Require(!u[c.Name], n, "request_classes", "class %q is listed twice", c.Name)
		f.Require(c.Priority >= 0, n, "request_classes", "class %q: priority must not be negative, is %d", c.Name, c.Priority)
		f.Require(c.MaxWait >= 0, n, "request_classes", "class %q: max_wait must not be negative", c.Name)
		u[c.Name] = true
	}
}

// Class returns the request class named n. For an unknown or empty name it
// returns the last class of the service, or a default class if the service has
// none.
func (s Service) Class(n string) RequestClass {
	for _, c := range s.RequestClasses {
		if c.Name == n {
			return c
		}
	}
	if l := len(s.RequestClasses); l > 0 {
		return s.RequestClasses[l-1]
	}
	return RequestClass{
		Name: "default",
	}
}
