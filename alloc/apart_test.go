package alloc_test

import (
	"fmt"
	"testing"

	"hemlockhinge/alloc"
)

func apart(u *alloc.Unit) { u.Apart = true }

// TestApart guards against a task that is suspected to crash its workers and takes others
// with it, so that they fall under suspicion as well: nothing else may start beside it.
func TestApart(t *testing.T) {
	keptApart := workers(8, 8)
	keptApart[0].KeepApart = true
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
		{"one has just started there", keptApart, []alloc.Unit{unit(1, 1, 2, nil), unit(2, 1, 2, apart)}, "[1]"},
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
