package conf

import (
	"net/netip"
	"os"
	"strings"

	"hemlockhinge/pack"
)

// EntrySettings are the settings of an entry. Addresses have the form IP:port.
type EntrySettings struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	HTTPListen    string   `json:"http_listen"`
	WireListen    string   `json:"wire_listen"`
	HTTPAddress   string   `json:"http_address,omitempty"`
	WireAddress   string   `json:"wire_address,omitempty"`
	Store         string   `json:"store"`
	NoScheduler   bool     `json:"no_scheduler,omitempty"`
	DrainDelay    Duration `json:"drain_delay,omitempty"`
	StopTimeout   Duration `json:"stop_timeout,omitempty"`
	LogLevel      string   `json:"log_level,omitempty"`
}

// AgentSettings are the settings of an agent, which runs next to one worker.
type AgentSettings struct {
	ID            string    `json:"id"`
	FailureDomain string    `json:"failure_domain"`
	Rack          string    `json:"rack"`
	WireListen    string    `json:"wire_listen"`
	HTTPListen    string    `json:"http_listen"`
	WireAddress   string    `json:"wire_address,omitempty"`
	Worker        string    `json:"worker"`
	Entries       []string  `json:"entries"`
	Services      []string  `json:"services"`
	Slots         int       `json:"slots"`
	Connections   int       `json:"connections"`
	Capacity      pack.Size `json:"capacity"`
	StopTimeout   Duration  `json:"stop_timeout,omitempty"`
	LogLevel      string    `json:"log_level,omitempty"`
}

// ParseEntrySettings decodes and checks the settings of an entry.
func ParseEntrySettings(name string, b []byte) (*EntrySettings, error) {
	var f Faults
	s := &EntrySettings{}
	if !Decode(name, b, s, &f) {
		return nil, f.Err()
	}
	checkCommon(name, s.ID, s.FailureDomain, s.LogLevel, &f)
	checkAddress(name, "http_listen", s.HTTPListen, true, &f)
	checkAddress(name, "wire_listen", s.WireListen, true, &f)
	checkAddress(name, "http_address", s.HTTPAddress, false, &f)
	checkAddress(name, "wire_address", s.WireAddress, false, &f)
	checkAddress(name, "store", s.Store, true, &f)
	f.Require(s.DrainDelay >= 0, name, "drain_delay", "must not be negative")
	f.Require(s.StopTimeout >= 0, name, "stop_timeout", "must not be negative")
	return s, f.Err()
}

// ParseAgentSettings decodes and checks the settings of an agent.
func ParseAgentSettings(name string, b []byte) (*AgentSettings, error) {
	var f Faults
	s := &AgentSettings{}
	if !Decode(name, b, s, &f) {
		return nil, f.Err()
	}
	checkCommon(name, s.ID, s.FailureDomain, s.LogLevel, &f)
	f.Require(s.Rack != "", name, "rack", "missing")
	checkAddress(name, "wire_listen", s.WireListen, true, &f)
	checkAddress(name, "http_listen", s.HTTPListen, true, &f)
	checkAddress(name, "wire_address", s.WireAddress, false, &f)
	checkAddress(name, "worker", s.Worker, true, &f)
	f.Require(len(s.Entries) > 0, name, "entries", "at least one is needed")
	for _, e := range s.Entries {
		checkAddress(name, "entries", e, true, &f)
	}
	f.Require(s.Slots >= 0, name, "slots", "must not be negative, is %d", s.Slots)
	f.Require(s.Connections >= s.Slots, name, "connections", "must be at least slots (%d), is %d", s.Slots, s.Connections)
	f.Require(s.Capacity.Cores > 0, name, "capacity.cores", "must be 1 or more, is %d", s.Capacity.Cores)
	f.Require(s.Capacity.MemoryGiB > 0, name, "capacity.memory_gib", "must be 1 or more, is %d", s.Capacity.MemoryGiB)
	f.Require(s.Capacity.Accelerators >= 0, name, "capacity.accelerators", "must not be negative, is %d", s.Capacity.Accelerators)
	f.Require(s.StopTimeout >= 0, name, "stop_timeout", "must not be negative")
	return s, f.Err()
}

// ReadFile reads a file and parses it with p, which gets the path for its error
// messages.
func ReadFile[T any](path string, p func(string, []byte) (*T, error)) (*T, error) {
	b, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return p(path, b)
}

var logLevels = []string{"", "debug", "info", "warn", "error"}

func checkCommon(name, id, domain, level string, f *Faults) {
	f.Require(validName.MatchString(id), name, "id", "%q must be 1 to 63 of a-z, 0-9 and hyphen", id)
	f.Require(validName.MatchString(domain), name, "failure_domain", "%q must be 1 to 63 of a-z, 0-9 and hyphen", domain)
	for _, l := range logLevels {
		if l == level {
			return
		}
	}
	f.Add(name, "log_level", "%q is none of %s", level, strings.Join(logLevels[1:], ", "))
}

func checkAddress(name, field, v string, required bool, f *Faults) {
	if v == "" {
		f.Require(!required, name, field, "missing")
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		f.Add(name, field, "%q is not an address such as 10.0.0.1:7070", v)
	}
}
