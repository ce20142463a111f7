package alloc_test

import (
	"fmt"
	"testing"

	"hemlockhinge/alloc"
)

func apart(u *alloc.Unit) { u.Apart = true }

// apartIn returns a change that makes a unit part of an apart group.
func apartIn(group int) func(u *alloc.Unit) {
	return func(u *alloc.Unit) {
		u.Apart = true
		u.ApartGroup = group
	}
}

// TestApart guards against a task that is suspected to crash its workers and takes others
// with it, so that they fall under suspicion as well: nothing else may start beside it.
func TestApart(t *testing.T) {
	keptApart := func() []alloc.Worker {
		w := workers(8, 8)
		w[0].KeepApart = true
		return w
	}
	cases := []struct {
		name    string
		workers []alloc.Worker
		units   []alloc.Unit
		want    string
	}{
		{"others go elsewhere", workers(8, 8), []alloc.Unit{unit(1, 1, 2, apart), unit(2, 1, 2, nil)}, "[0] [1]"},
		{"others wait", workers(8), []alloc.Unit{unit(1, 1, 2, apart), unit(2, 1, 2, nil)}, "[0]"},
		{"it waits for others", workers(8), []alloc.Unit{unit(1, 1, 2, nil), unit(2, 1, 2, apart)}, "[0]"},
		{"two of them", workers(8, 8), []alloc.Unit{unit(1, 1, 2, apart), unit(2, 1, 2, apart)}, "[0] [1]"},
		{"most free capacity first", workers(4, 8), []alloc.Unit{unit(1, 1, 2, apart)}, "[1]"},
		{"one has just started there", keptApart(), []alloc.Unit{unit(1, 1, 2, nil), unit(2, 1, 2, apart)}, "[1]"},
		{"a group on one worker", workers(8, 8), []alloc.Unit{unit(1, 1, 2, apartIn(1)), unit(2, 1, 2, apartIn(1)), unit(3, 1, 2, apartIn(1))}, "[0] [0] [0]"},
		{"two groups", workers(8, 8), []alloc.Unit{unit(1, 1, 2, apartIn(1)), unit(2, 1, 2, apartIn(2)), unit(3, 1, 2, apartIn(1))}, "[0] [1] [0]"},
		{"another group waits", workers(8), []alloc.Unit{unit(1, 1, 2, apartIn(1)), unit(2, 1, 2, apartIn(2)), unit(3, 1, 2, apartIn(1))}, "[0] [0]"},
		{"others wait for a group", workers(8), []alloc.Unit{unit(1, 1, 2, apartIn(1)), unit(2, 1, 2, nil), unit(3, 1, 2, apart)}, "[0]"},
		{"a group waits for others", workers(8), []alloc.Unit{unit(1, 1, 2, nil), unit(2, 1, 2, apartIn(1))}, "[0]"},
		{"a group has just started there", keptApart(), []alloc.Unit{unit(1, 1, 2, apartIn(1))}, "[1]"},
		{"a gang", workers(8, 8, 8), []alloc.Unit{unit(1, 3, 4, apart), unit(2, 1, 1, nil)}, "[0 0 1] [2]"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			got := ""
			for i, p := range alloc.Decide(v.workers, nil, v.units).Start {
				if i > 0 {
					got += " "
				}
				got += fmt.Sprint(p.At)
			}
			if got != v.want {
				t.Errorf("placed at %s, not %s", got, v.want)
			}
		})
	}
}
