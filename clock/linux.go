//go:build linux

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxReadings bounds the readings of the clocks by machineSuspended.
const maxReadings = 5

// machineSuspended returns for how long the machine has been suspended since it was booted:
// the difference between a clock that counts such time and one that does not. It reads them
// again if the process was held up between two readings.
func machineSuspended() time.Duration {
	var d time.Duration
	for range maxReadings {
		before := read(unix.CLOCK_MONOTONIC)
		d = read(unix.CLOCK_BOOTTIME) - before
		if read(unix.CLOCK_MONOTONIC)-before < resolution {
			return d
		}
	}
	return d
}

// read returns the time of a clock of the machine, 0 if there is none.
func read(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
