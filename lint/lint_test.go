package lint_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hemlockhinge/lint"
	"hemlockhinge/policy"
)

// sound returns a configuration without findings.
func sound() *lint.Document {
	q := policy.Queue{
		Name:        "q",
		Host:        "jobs.example",
		Prefix:      "/q/",
		Service:     "svc",
		Priority:    1,
		MaxAttempts: 3,
		SlackFactor: 3,
		Target:      time.Second,
	}
	u := q
	u.Name, u.Prefix, u.Priority, u.SlackFactor = "urgent", "/urgent/", 0, 1.5
	return &lint.Document{
		Config: &policy.Config{
			Version: 3,
			Queues:  []policy.Queue{q, u},
			Customers: []policy.Customer{
				{Name: "a", APIKeys: []string{"secret-1"}, GuaranteedAccelerators: 8},
				{Name: "b", APIKeys: []string{"secret-2", "secret-3"}},
			},
			MaxBodyBytes:   262144,
			MaxHeaderBytes: 16384,
		},
		Services: []string{"svc", "other"},
	}
}

var site = lint.Site{
	Accelerators: map[string]int{"z1": 8, "z2": 8},
	MaxStopTime:  200 * time.Millisecond,
}

// TestCheck guards against entries that cannot work and are published without a word: each case
// breaks one field of a sound configuration and expects just the findings of that.
func TestCheck(t *testing.T) {
	queue := func(f func(*policy.Queue)) func(*lint.Document) {
		return func(d *lint.Document) { f(&d.Config.Queues[0]) }
	}
	customer := func(f func(*policy.Customer)) func(*lint.Document) {
		return func(d *lint.Document) { f(&d.Config.Customers[1]) }
	}
	cases := []struct {
		name string
		edit func(d *lint.Document)
		want string
	}{
		{"sound", func(*lint.Document) {}, ""},
		{"name missing", queue(func(q *policy.Queue) { q.Name = "" }), "error queues[0].name"},
		{"name used twice", queue(func(q *policy.Queue) { q.Name = "urgent" }), "error queues[1].name"},
		{"host missing", queue(func(q *policy.Queue) { q.Host = "" }), "error queues[0].host"},
		{"host with port", queue(func(q *policy.Queue) { q.Host = "jobs.example:80" }), "error queues[0].host"},
		{"host with scheme", queue(func(q *policy.Queue) { q.Host = "http://jobs.example" }), "error queues[0].host"},
		{"host in IPv6", queue(func(q *policy.Queue) { q.Host = "fd00::1" }), ""},
		{"prefix missing", queue(func(q *policy.Queue) { q.Prefix = "" }), "warning queues[0].prefix"},
		{"prefix without first slash", queue(func(q *policy.Queue) { q.Prefix = "q/" }), "error queues[0].prefix"},
		{"prefix without last slash", queue(func(q *policy.Queue) { q.Prefix = "/q" }), "warning queues[0].prefix"},
		{"prefix shadowed", queue(func(q *policy.Queue) { q.Prefix = "/urgent/" }), "error queues[1].prefix"},
		{"prefix shadowed, host in other case", queue(func(q *policy.Queue) { q.Prefix, q.Host = "/urgent/", "JOBS.example" }), "error queues[1].prefix"},
		{"same prefix at another host", queue(func(q *policy.Queue) { q.Prefix, q.Host = "/urgent/", "more.example" }), ""},
		{"prefix below another", queue(func(q *policy.Queue) { q.Prefix = "/urgent/q/" }), ""},
		{"service missing", queue(func(q *policy.Queue) { q.Service = "" }), "error queues[0].service"},
		{"service unknown", queue(func(q *policy.Queue) { q.Service = "scv" }), "error queues[0].service"},
		{"services not listed", func(d *lint.Document) { d.Services = nil }, ""},
		{"priority negative", queue(func(q *policy.Queue) { q.Priority = -1 }), "error queues[0].priority"},
		{"public", queue(func(q *policy.Queue) { q.Public = true }), ""},
		{"public and urgent", queue(func(q *policy.Queue) { q.Public, q.Priority = true, 0 }), "warning queues[0].public"},
		{"attempts negative", queue(func(q *policy.Queue) { q.MaxAttempts = -1 }), "error queues[0].max_attempts"},
		{"attempts without limit", queue(func(q *policy.Queue) { q.MaxAttempts = 0 }), "warning queues[0].max_attempts"},
		{"slack negative", queue(func(q *policy.Queue) { q.SlackFactor = -1 }), "error queues[0].slack_factor"},
		{"slack below 1", queue(func(q *policy.Queue) { q.SlackFactor = 0.5 }), "warning queues[0].slack_factor"},
		{"target negative", queue(func(q *policy.Queue) { q.Target = -1 }), "error queues[0].target"},
		{"no objective", queue(func(q *policy.Queue) { q.SlackFactor, q.Target = 0, 0 }), "error queues[0].target"},
		{"target below stop time", queue(func(q *policy.Queue) { q.SlackFactor, q.Target = 1, site.MaxStopTime-1 }), "warning queues[0].target"},
		{"target of stop time", queue(func(q *policy.Queue) { q.SlackFactor, q.Target = 1, site.MaxStopTime }), ""},
		{"customer without name", customer(func(v *policy.Customer) { v.Name = "" }), "error customers[1].name"},
		{"customer twice", customer(func(v *policy.Customer) { v.Name = "a" }), "error customers[1].name"},
		{"guarantee negative", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = -1 }), "error customers[1].guaranteed_accelerators"},
		{"guarantee of all that survives", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = 0 }), ""},
		{"guarantee that does not survive", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = 1 }), "warning guaranteed_accelerators"},
		{"guarantee of all", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = 8 }), "warning guaranteed_accelerators"},
		{"guarantee beyond all", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = 9 }), "error guaranteed_accelerators"},
		{"guarantees beyond all numbers", customer(func(v *policy.Customer) { v.GuaranteedAccelerators = math.MaxInt }), "error guaranteed_accelerators"},
		{"guarantee without urgent queue", func(d *lint.Document) { d.Config.Queues[1].Priority = 2 }, "warning customers[0].guaranteed_accelerators"},
		{"no keys", customer(func(v *policy.Customer) { v.APIKeys = nil }), "warning customers[1].keys"},
		{"key empty", customer(func(v *policy.Customer) { v.APIKeys[0] = "" }), "warning customers[1].keys"},
		{"key with white space", customer(func(v *policy.Customer) { v.APIKeys[0] = "secret-2\n" }), "error customers[1].keys"},
		{"key of another customer", customer(func(v *policy.Customer) { v.APIKeys[0] = "secret-1" }), "error customers[1].keys"},
		{"key listed twice", customer(func(v *policy.Customer) { v.APIKeys[1] = "secret-2" }), "warning customers[1].keys"},
		{"no queues", func(d *lint.Document) { d.Config.Queues, d.Config.Customers[0].GuaranteedAccelerators = nil, 0 }, "error "},
		{"no customers", func(d *lint.Document) { d.Config.Customers = nil }, "warning "},
		{"no customers, public queue", func(d *lint.Document) { d.Config.Customers, d.Config.Queues[0].Public = nil, true }, ""},
		{"body limit negative", func(d *lint.Document) { d.Config.MaxBodyBytes = -1 }, "error max_body_bytes"},
		{"header limit above body limit", func(d *lint.Document) { d.Config.MaxHeaderBytes = 262145 }, "warning max_header_bytes"},
		{"body limit by default", func(d *lint.Document) { d.Config.MaxBodyBytes = 0 }, ""},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			d := sound()
			v.edit(d)
			got := []string{}
			for _, f := range lint.Check(d, site) {
				got = append(got, string(f.Severity)+" "+f.Location)
			}
			if s := strings.Join(got, "\n"); s != v.want {
				t.Errorf("findings %q, not %q", s, v.want)
			}
		})
	}
}

// TestCheckWithoutSite guards against findings that rest on figures which nobody gave.
func TestCheckWithoutSite(t *testing.T) {
	d := sound()
	d.Config.Customers[0].GuaranteedAccelerators = math.MaxInt
	d.Config.Queues[0].SlackFactor, d.Config.Queues[0].Target = 1, 1
	if l := lint.Check(d, lint.Site{}); len(l) != 0 {
		t.Errorf("findings %v", l)
	}
}

// TestCompareEqual guards against changes that are none: other order, other case of a host.
func TestCompareEqual(t *testing.T) {
	d := sound()
	q, c := d.Config.Queues, d.Config.Customers
	q[0], q[1] = q[1], q[0]
	c[0], c[1] = c[1], c[0]
	c[0].APIKeys[0], c[0].APIKeys[1] = c[0].APIKeys[1], c[0].APIKeys[0]
	q[0].Host = "Jobs.Example"
	if l := lint.Compare(sound(), d); len(l) != 0 {
		t.Errorf("changes %v", l)
	}
}

// TestReports guards against a finding or a change that is lost or reworded by mistake, and against
// a report that shows a key; -update rewrites the golden files.
func TestReports(t *testing.T) {
	cases := []struct {
		name string
		edit func(d *lint.Document)
	}{
		{"clean", func(*lint.Document) {}},
		{"removed", func(d *lint.Document) {
			d.Config.Version = 4
			d.Config.Queues = d.Config.Queues[1:]
			d.Config.Customers = d.Config.Customers[:1]
			d.Services = d.Services[:1]
		}},
		{"moved", func(d *lint.Document) {
			d.Config.Version = 4
			d.Config.Queues[0].Name = "batch"
			d.Config.Queues[1].Prefix = "/now/"
			c := d.Config.Customers
			c[0].APIKeys, c[1].APIKeys = append(c[0].APIKeys, "secret-2"), c[1].APIKeys[1:]
		}},
		{"taken_over", func(d *lint.Document) {
			d.Config.Version = 4
			d.Config.Queues = d.Config.Queues[1:]
			d.Config.Queues[0].Prefix = "/"
		}},
		{"changed", func(d *lint.Document) {
			q := d.Config.Queues
			q[0].Priority, q[0].MaxAttempts, q[0].SlackFactor, q[0].Target = 0, 0, 1, 100*time.Millisecond
			q[0].Public, q[0].Service, q[0].RequiresAdvice = true, "other", true
			q[1].Priority, q[1].MaxAttempts, q[1].SlackFactor, q[1].Target = 1, 5, 2, 2*time.Second
			d.Config.Customers[0].GuaranteedAccelerators = 4
			d.Config.Customers[1].GuaranteedAccelerators = 20
			d.Config.MaxBodyBytes = 1024
			d.Config.MaxHeaderBytes = 2048
		}},
		{"added", func(d *lint.Document) {
			d.Config.Version = 4
			q := d.Config.Queues[0]
			q.Name, q.Prefix = "night", "/night/"
			d.Config.Queues = append(d.Config.Queues, q)
			q.Name, q.Prefix = "nested", "/q/nested/"
			d.Config.Queues = append(d.Config.Queues, q)
			d.Config.Customers = append(d.Config.Customers, policy.Customer{
				Name:    "c",
				APIKeys: []string{"secret-4", "secret-1"},
			})
			d.Config.Customers[0].APIKeys = append(d.Config.Customers[0].APIKeys, "secret-5")
			d.Services = append(d.Services, "third")
		}},
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			d := sound()
			v.edit(d)
			r := lint.Report{
				Findings: lint.Check(d, site),
				Changes:  lint.Compare(sound(), d),
			}
			var b bytes.Buffer
			if err := r.WriteTable(&b); err != nil {
				t.Fatal(err)
			}
			j, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(b.String()+string(j), "secret") {
				t.Error("the report shows a key")
			}
			g.Assert(t, v.name, b.Bytes())
		})
	}
}
