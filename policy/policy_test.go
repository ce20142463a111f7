package policy_test

import (
	"testing"

	"hemlockhinge/policy"
)

func config() *policy.Config {
	return &policy.Config{
		Queues: []policy.Queue{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Customers: []policy.Customer{
			{Name: "one", APIKeys: []string{"k1", "k2"}, GuaranteedAccelerators: 8},
			{Name: "two", APIKeys: []string{"k3", ""}},
		},
	}
}

func TestMatchQueue(t *testing.T) {
	cases := []struct {
		host, path  string
		queue, rest string
	}{
		{"a.example", "/x/1", "short", "1"},
		{"a.example", "/x/y/1", "long", "1"},
		{"A.Example", "/x/y/", "long", ""},
		{"b.example", "/x/y/1", "other", "y/1"},
		{"c.example", "/x/1", "", ""},
		{"a.example", "/z", "", ""},
	}
	for _, c := range cases {
		q, rest, ok := config().MatchQueue(c.host, c.path)
		name := ""
		if ok {
			name = q.Name
		}
		if name != c.queue || rest != c.rest {
			t.Errorf("%s%s matches queue %q, rest %q", c.host, c.path, name, rest)
		}
	}
}

func TestCustomers(t *testing.T) {
	c := config()
	for key, want := range map[string]string{"k2": "one", "k3": "two", "k4": "", "": ""} {
		if n, ok := c.CustomerByKey(key); n != want || ok != (want != "") {
			t.Errorf("key %q belongs to %q, %t", key, n, ok)
		}
	}
	if c.GuaranteedAccelerators("one") != 8 || c.GuaranteedAccelerators("nobody") != 0 {
		t.Error("wrong guaranteed accelerators")
	}
	if c.Queue("long") == nil || c.Queue("none") != nil {
		t.Error("wrong queues by name")
	}
}
