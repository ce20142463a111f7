package jobs

import (
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/graph"
)

// exampleObjects returns the operators' objects of one of the examples.
func exampleObjects(t *testing.T) *conf.Objects {
	t.Helper()
	b, err := os.ReadFile("../examples/dalmatia/objects.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := conf.ParseObjects(b)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// wantFields checks that err lists one fault for each of these fields, in this
// order, and no others.
func wantFields(t *testing.T, err error, fields ...string) {
	t.Helper()
	var f *conf.Faults
	if !errors.As(err, &f) {
		if len(fields) > 0 || err != nil {
			t.Errorf("got %v, want faults of %v", err, fields)
		}
		return
	}
	var l []string
	for _, v := range f.List() {
		l = append(l, v.Field)
	}
	if strings.Join(l, " ") != strings.Join(fields, " ") {
		t.Errorf("faults of %v, want %v", l, fields)
	}
}

func TestRequestCheck(t *testing.T) {
	o := exampleObjects(t)
	for _, c := range []struct {
		name   string
		body   string
		fields []string
	}{
		{name: "good", body: `{"customer": "bakeries", "job_class": "batch", "tasks": 2, "accelerators": 8, "adjacency": "rack"}`},
		{name: "comments", body: `// a job
			{"customer": "bakeries", "job_class": "batch", "tasks": 1, "cores": 4,}`},
		{name: "all wrong", body: `{"customer": "x", "job_class": "y", "tasks": 257, "accelerators": -1, "cores": -1, "memory_gib": -1, "adjacency": "street", "run_time": "-1s", "failure_domains": ["z"]}`,
			fields: []string{"customer", "job_class", "failure_domains", "tasks", "accelerators", "cores", "memory_gib", "adjacency", "run_time"}},
		{name: "for a queue", body: `{"queue": "q", "customer": "bakeries", "job_class": "batch", "tasks": 1, "cores": 1, "spec": "x", "repeat": 2, "steps": [{"tasks": 1}]}`,
			fields: []string{"queue", "spec", "steps", "repeat"}},
		{name: "no resources", body: `{"customer": "bakeries", "job_class": "batch", "tasks": 1}`, fields: []string{"accelerators"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := ParseRequest([]byte(c.body))
			if err != nil {
				t.Fatal(err)
			}
			wantFields(t, r.Check(o), c.fields...)
		})
	}
}

func TestQueuedRequestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   string
		fields []string
	}{
		{name: "one gang", body: `{"queue": "q", "tasks": 3, "accelerators": 8}`},
		{name: "steps", body: `{"queue": "q", "spec": "x", "steps": [{"tasks": 2, "run_time": "8.5s", "adjacency": "rack"}, {"tasks": 1, "after": [0]}]}`},
		{name: "recurring", body: `{"queue": "q", "tasks": 1, "cores": 1, "repeat": 3, "first_at": "2026-12-04T12:00:00Z", "every": "2s"}`},
		{name: "fields of jobs without a queue", body: `{"customer": "c", "job_class": "j", "failure_domains": ["z"], "command": ["x"], "idempotent": true, "tasks": 1, "first_at": "2026-12-04T12:00:00Z"}`,
			fields: []string{"queue", "customer", "job_class", "failure_domains", "command", "idempotent", "first_at"}},
		{name: "steps beside tasks", body: `{"queue": "q", "tasks": 1, "steps": [{"tasks": 1, "adjacency": "worker"}]}`, fields: []string{"tasks", "steps[0].adjacency"}},
		{name: "bad steps", body: `{"queue": "q", "steps": [{"tasks": 0}, {"tasks": 1, "after": [1]}]}`, fields: []string{"steps", "steps"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := ParseRequest([]byte(c.body))
			if err != nil {
				t.Fatal(err)
			}
			wantFields(t, r.CheckQueued(), c.fields...)
		})
	}
}

func TestRequestWithoutStepsIsSingleGang(t *testing.T) {
	r, err := ParseRequest([]byte(`{"queue": "q", "tasks": 3, "accelerators": 2, "cores": 4, "memory_gib": 1, "adjacency": "rack", "run_time": "3s"}`))
	if err != nil {
		t.Fatal(err)
	}
	j := r.Graph("0123456789abcdef")
	want := graph.Step{
		Count:    3,
		Size:     graph.Size{MilliCPU: 4000, MemoryMiB: 1024, Accelerators: 2},
		Estimate: 3 * time.Second,
		Gang:     true,
		OneRack:  true,
	}
	if len(j.Steps) != 1 || !reflect.DeepEqual(j.Steps[0], want) {
		t.Errorf("steps %+v, want %+v", j.Steps, want)
	}
}

func TestRequestUnknownField(t *testing.T) {
	_, err := ParseRequest([]byte(`{"taskz": 1, "tasks": "two"}`))
	wantFields(t, err, "tasks", "taskz")
}

func TestJobDefaults(t *testing.T) {
	r, err := ParseRequest([]byte(`{"customer": "bakeries", "job_class": "batch", "tasks": 1, "accelerators": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	j := r.Job("id", "print", time.Unix(0, 0))
	if !j.Idempotent || j.State != Accepted || j.RunTime.Std() != defaultRunTime {
		t.Errorf("got %+v", j)
	}
	b, err := json.Marshal(j)
	if err != nil || !strings.Contains(string(b), `"run_time":"1h0m0s"`) {
		t.Errorf("record %s, %v", b, err)
	}
}

func TestFailureLimit(t *testing.T) {
	j := Job{}
	for i, w := range []string{"w1", "w1", "w2", "w2", "w3"} {
		j.Failures = append(j.Failures, Failure{Attempt: i + 1, Worker: w})
		if j.FailureLimitReached() != (w == "w3") {
			t.Errorf("after %d failures on %v: FailureLimitReached() = %v", i+1, j.FailedWorkers(), j.FailureLimitReached())
		}
	}
}
