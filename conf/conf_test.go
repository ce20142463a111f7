package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// faultsOf returns the faults in err, one per line.
func faultsOf(t *testing.T, err error) string {
	t.Helper()
	if err == nil {
		return "accepted\n"
	}
	var f *Faults
	if !errors.As(err, &f) {
		t.Fatalf("not a list of faults: %v", err)
	}
	return f.Error() + "\n"
}

func TestExamples(t *testing.T) {
	parse := func(path string) error {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		switch n := filepath.Base(path); {
		case strings.HasPrefix(n, "entry"):
			_, err = ParseEntrySettings(path, b)
		case strings.HasPrefix(n, "agent"):
			_, err = ParseAgentSettings(path, b)
		default:
			_, err = ParseObjects(b)
		}
		return err
	}
	l, err := filepath.Glob("../examples/*/*.json")
	if err != nil || len(l) != 30 {
		t.Fatalf("%d examples, error %v", len(l), err)
	}
	for _, p := range l {
		if err := parse(p); err != nil {
			t.Errorf("%s: %v", p, err)
		}
	}
}

// TestFaults parses invalid documents from testdata and compares the list of all
// their faults with the golden files, which -update rewrites.
func TestFaults(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, c := range []struct {
		name  string
		parse func([]byte) error
	}{
		{name: "objects_many_faults", parse: objectsErr},
		{name: "objects_too_much_guaranteed", parse: objectsErr},
		{name: "objects_not_json", parse: objectsErr},
		{name: "entry_many_faults", parse: func(b []byte) error {
			_, err := ParseEntrySettings("entry.json", b)
			return err
		}},
		{name: "agent_many_faults", parse: func(b []byte) error {
			_, err := ParseAgentSettings("agent.json", b)
			return err
		}},
		{name: "agent_unknown_fields", parse: func(b []byte) error {
			_, err := ParseAgentSettings("agent.json", b)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := os.ReadFile(filepath.Join("testdata", c.name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, c.name, []byte(faultsOf(t, c.parse(b))))
		})
	}
}

func objectsErr(b []byte) error {
	_, err := ParseObjects(b)
	return err
}

func TestAssignPlacesAllUnitsWithOneDomainOut(t *testing.T) {
	b, err := os.ReadFile("../examples/dalmatia/objects.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseObjects(b)
	if err != nil {
		t.Fatal(err)
	}
	for _, out := range subsets(o.domainNames(), 1) {
		a, unplaced := o.Assign(out)
		n := 0
		for d, l := range a {
			n += len(l)
			if out[d] {
				t.Errorf("%v out: units are assigned to %s", sortedKeys(out), d)
			}
		}
		if len(unplaced) > 0 || n != 3 {
			t.Errorf("%v out: %d units placed, want 3; guarantees not placed: %v", sortedKeys(out), n, unplaced)
		}
	}
}

func TestDuration(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("2.5s")); err != nil || d.Std() != 2500*time.Millisecond {
		t.Errorf("got %s, %v", d.Std(), err)
	}
	if err := d.UnmarshalText([]byte("soon")); err == nil {
		t.Error("no error for a text that is not a duration")
	}
	if Duration(0).Or(time.Second) != time.Second {
		t.Error("Or does not return its argument for zero")
	}
}
