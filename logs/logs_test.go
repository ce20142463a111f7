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

// blockedOutput blocks every write until released is closed.
type blockedOutput struct {
	bytes.Buffer
	released chan struct{}
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.released
	return s.Buffer.Write(b)
}

func write(t *testing.T, w io.Writer, line string) {
	t.Helper()
	if _, err := io.WriteString(w, line); err != nil {
		t.Errorf("writing %q: %v", line, err)
	}
}

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		dropped := 0
		w := logs.NewWriter(&out, logs.RateLimit{
			PerSecond: 10,
			Burst:     5,
		}, func(n int) { dropped += n })
		for i := range 20 {
			write(t, w, fmt.Sprintf("line %d\n", i))
		}
		time.Sleep(time.Second)
		write(t, w, "after\n")
		w.Close()
		if n := strings.Count(out.String(), "line "); n != 5 {
			t.Errorf("%d lines written, want a burst of 5", n)
		}
		if dropped != 15 || !strings.Contains(out.String(), "lines=15") || !strings.Contains(out.String(), "after\n") {
			t.Errorf("%d lines reported as dropped, want 15; output:\n%s", dropped, out.String())
		}
	})
}

func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedOutput{
			released: make(chan struct{}),
		}
		w := logs.NewWriter(&out, logs.RateLimit{
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
		close(out.released)
		w.Close()
	})
}
