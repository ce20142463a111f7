package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"hemlockhinge/lint"
)

// testConfig returns a configuration of the users' platform, whose format only package platform
// knows.
func testConfig(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("../../platform/testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestCheckStatus guards against a check that a script takes for passed: an error must give status
// 2, and with --strict a warning 1.
func TestCheckStatus(t *testing.T) {
	dir := t.TempDir()
	for _, n := range []string{"sound", "warned", "invalid", "broken"} {
		if err := os.WriteFile(filepath.Join(dir, n), testConfig(t, "check_"+n+".json"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	examples, err := filepath.Abs("../../examples/dalmatia/objects.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		args   []string
		status int
	}{
		{"clean", []string{"--platform", "sound"}, 0},
		{"clean, strict", []string{"--platform", "--strict", "sound"}, 0},
		{"warnings", []string{"--platform", "warned"}, 0},
		{"warnings, strict", []string{"--platform", "--strict", "warned"}, exitFailed},
		{"errors", []string{"--platform", "invalid"}, exitUsage},
		{"not JSON", []string{"--platform", "broken"}, exitUsage},
		{"no such file", []string{"--platform", "absent"}, exitUsage},
		{"same as in force, strict", []string{"--platform", "--strict", "sound", "--against", "sound"}, 0},
		{"difference that warns, strict", []string{"--platform", "--strict", "sound", "--against", "warned"}, exitFailed},
		{"difference that warns", []string{"--platform", "sound", "--against", "warned"}, 0},
		{"in force not JSON", []string{"--platform", "sound", "--against", "broken"}, exitUsage},
		{"capacity", []string{"--platform", "sound", "--capacity", "z1:8", "--capacity", "z2:8", "--stop-time", "200ms"}, 0},
		{"capacity negative", []string{"--platform", "sound", "--capacity", "z1:-1"}, exitUsage},
		{"flags without --platform", []string{"--strict", "sound"}, exitUsage},
		{"objects", []string{examples}, 0},
		{"objects with faults", []string{"sound"}, exitUsage},
	}
	t.Chdir(dir)
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			var o checkOptions
			p := flags.NewParser(&o, flags.None)
			_, err := p.ParseArgs(v.args)
			if err == nil {
				err = o.Execute(nil)
			}
			if n := reportError(err); n != v.status {
				t.Errorf("status %d, not %d, error %v", n, v.status, err)
			}
		})
	}
}

// TestCheckJSON guards against a report that scripts cannot read.
func TestCheckJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := os.WriteFile(path, testConfig(t, "check_warned.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	o := checkOptions{
		Platform: true,
		JSON:     true,
		Strict:   true,
	}
	o.Args.File = path
	var b bytes.Buffer
	var x *exitError
	if err := o.checkPlatform(&b); !errors.As(err, &x) || x.status != exitFailed {
		t.Errorf("error %v", err)
	}
	var r lint.Report
	if err := json.Unmarshal(b.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	location := strings.TrimSpace(string(testConfig(t, "check_warned_location.txt")))
	if len(r.Findings) != 1 || r.Findings[0].Location != location || r.Changes != nil {
		t.Errorf("report %+v", r)
	}
	b.Reset()
	o.Against = path
	_ = o.checkPlatform(&b)
	if !strings.Contains(b.String(), `"changes": []`) {
		t.Errorf("no list of changes beside an equal version: %s", b.String())
	}
}
