//go:build linux

package clock

import "testing"

// TestReadSuspended guards against readings of the machine's clocks that differ although
// it was not suspended between them.
func TestReadSuspended(t *testing.T) {
	const readings = 1000
	first := readSuspended()
	for range readings {
		if d := readSuspended() - first; d >= resolution || d <= -resolution {
			t.Fatalf("readings differ by %s", d)
		}
	}
}
