package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/logs"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	bytes.Buffer
	open chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(b)
}

func write(t *testing.T, w io.Writer, line string) {
	t.Helper()
	if _, err := io.WriteString(w, line); err != nil {
		t.Errorf("writing %q: %v", line, err)
	}
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		told := 0
		w := logs.NewWriter(&out, logs.Budget{
			PerSecond: 10,
			Burst:     5,
		}, func(n int) { told += n })
		for i := range 20 {
			write(t, w, fmt.Sprintf("line %d\n", i))
		}
		time.Sleep(time.Second)
		write(t, w, "after\n")
		w.Close()
		if n := strings.Count(out.String(), "line "); n != 5 {
			t.Errorf("%d lines of a burst of 5", n)
		}
		if told != 15 || !strings.Contains(out.String(), "lines=15") || !strings.Contains(out.String(), "after\n") {
			t.Errorf("told of %d; output:\n%s", told, out.String())
		}
	})
}

func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{
			open: make(chan struct{}),
		}
		w := logs.NewWriter(&out, logs.Budget{
			PerSecond: 1e9,
			Burst:     1e9,
		}, nil)
		begun := time.Now()
		for range 10_000 {
			write(t, w, "x\n")
		}
		if d := time.Since(begun); d > 0 {
			t.Errorf("writing took %s", d)
		}
		close(out.open)
		w.Close()
	})
}
