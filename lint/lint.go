// Package lint checks a configuration before it is published, and tells how it differs in
// meaning from another version.
//
// It is pure. The decoder of a configuration tells where each field is written.
//
// # Usage
//
//	r := lint.Report{
//		Findings: lint.Check(d, lint.Site{MaxStopTime: 200 * time.Millisecond}),
//		Changes:  lint.Compare(inForce, d),
//	}
//	if r.Count(lint.Error) > 0 { ... }
package lint

import (
	"fmt"
	"time"

	"hemlockhinge/policy"
)

// Severity says how much a finding or a change matters.
type Severity string

// The severities. An Error is an entry that cannot work as it is written. A Warning is an entry
// that works otherwise than it seems to, or a change that takes something away. An Info is any
// other change.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
	Info    Severity = "info"
)

// Section is a list of entries in a configuration.
type Section string

// The sections. General holds the fields that belong to no list.
const (
	Queues    Section = "queues"
	Customers Section = "customers"
	Services  Section = "services"
	General   Section = ""
)

// Field is a field of an entry.
type Field string

// The fields.
const (
	Whole          Field = ""
	Name           Field = "name"
	Host           Field = "host"
	Prefix         Field = "prefix"
	Service        Field = "service"
	Priority       Field = "priority"
	MaxAttempts    Field = "max_attempts"
	SlackFactor    Field = "slack_factor"
	Target         Field = "target"
	Public         Field = "public"
	RequiresAdvice Field = "requires_advice"
	Keys           Field = "keys"
	Guarantee      Field = "guaranteed_accelerators"
	MaxBodyBytes   Field = "max_body_bytes"
	MaxHeaderBytes Field = "max_header_bytes"
	HeaderTimeout  Field = "header_timeout"
	IdleTimeout    Field = "idle_timeout"
	Version        Field = "version"
)

// Document is a configuration with what only its check needs.
type Document struct {
	Config *policy.Config
	// Services are the names of the services, nil if the configuration does not list them.
	Services []string
	// Locate returns where a field of an entry is written. If it is nil, the names of this
	// package are used.
	Locate func(s Section, index int, f Field) string
}

func (d *Document) locate(s Section, index int, f Field) string {
	if d.Locate != nil {
		return d.Locate(s, index, f)
	}
	p := string(f)
	switch {
	case s == General:
		return p
	case f == Whole:
		return fmt.Sprintf("%s[%d]", s, index)
	}
	return fmt.Sprintf("%s[%d].%s", s, index, f)
}

// Site is what is known of the deployment that the configuration is for. Rules that need a value
// that is zero are left out.
type Site struct {
	// Accelerators is the capacity of each failure domain.
	Accelerators map[string]int
	// MaxStopTime is the longest time that stopping a run takes.
	MaxStopTime time.Duration
}

// Finding is a fault of an entry. Keys of customers are secrets, so no text contains one.
type Finding struct {
	Severity Severity `json:"severity"`
	// Location is where the field is written, Entry the name of its entry.
	Location string `json:"location,omitempty"`
	Entry    string `json:"entry"`
	Text     string `json:"text"`
}

// Change is a difference in meaning between two versions.
type Change struct {
	Severity Severity `json:"severity"`
	// Location is where the field is written in the later version, empty if it is not.
	Location string `json:"location,omitempty"`
	Entry    string `json:"entry"`
	// Text says what differs, Effect what that does.
	Text   string `json:"text"`
	Effect string `json:"effect"`
}

func queueEntry(q *policy.Queue) string       { return fmt.Sprintf("queue %q", q.Name) }
func customerEntry(c *policy.Customer) string { return fmt.Sprintf("customer %q", c.Name) }

const generalEntry = "configuration"
