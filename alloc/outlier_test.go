package alloc_test

import (
	"testing"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
)

// TestOutliers guards against jobs that wait beside free workers, because these fail or are slow
// beside others: as long as enough others are left they are set aside, but not for units that
// would otherwise never start, or wait while most of the service is free.
func TestOutliers(t *testing.T) {
	const (
		outlier = 1 << 10
		label   = "b"
	)
	labelled := func(u *alloc.Unit) { u.Step.Label = label }
	idle := func(u *alloc.Unit) { u.IdleTime = 2 * time.Second }
	once := func(u *alloc.Unit) {
		u.Step.MaxPerWorker = 1
		u.RunningPerWorker = map[int]int{1: 1}
	}
	cases := []struct {
		name     string
		free     []int
		outliers []int
		unit     alloc.Unit
		want     []int
	}{
		{"set aside", []int{1, 8, 8}, []int{0}, unit(1, 1, 1, nil), []int{1}},
		{"others are in use", []int{8, 0, 0}, []int{0}, unit(1, 1, 1, nil), nil},
		{"others are in use, and the job has waited on a busy service", []int{8, 0, 0}, []int{0}, unit(1, 1, 1, idle), nil},
		{"others are in use, and the job has waited on a service that is mostly free", []int{8, 0, 8}, []int{0, 2}, unit(1, 1, 1, idle), []int{0}},
		{"most workers are outliers", []int{8, 8, 0}, []int{0, 1}, unit(1, 1, 1, nil), []int{0}},
		{"outliers come last", []int{8, 8, 1}, []int{0, 1}, unit(1, 1, 1, nil), []int{2}},
		{"the only one with a label", []int{8, 8, 8}, []int{0}, unit(1, 1, 1, labelled), []int{0}},
		{"the only one without a task of the step", []int{8, 8}, []int{0}, unit(1, 1, 1, once), []int{0}},
		{"a gang that needs all workers", []int{8, 8}, []int{0}, unit(1, 2, 8, nil), []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := workers(c.free...)
			w[0].Labels = []string{label}
			for _, i := range c.outliers {
				w[i].Outlier = true
				w[i].FailureScore = outlier
			}
			assertPlaced(t, alloc.Decide(w, nil, []alloc.Unit{c.unit}), c.want)
		})
	}
}

// TestOutliersByRequirements guards against units that share what decides for another one: two
// of one step are placed on outliers or not by their own jobs.
func TestOutliersByRequirements(t *testing.T) {
	w := workers(8, 0, 8, 8)
	w[0].Outlier = true
	l := []alloc.Unit{unit(1, 1, 8, nil), unit(2, 1, 8, nil), unit(3, 1, 8, nil)}
	l[2].IdleTime = 2 * time.Second
	for i := range l {
		l[i].Tasks = make([]graph.Task, 1)
	}
	if d := alloc.Decide(w, nil, l); len(d.Start) != len(l) || d.Start[2].At[0] != 0 {
		t.Errorf("starts: %+v", d.Start)
	}
}
