//go:build linux

package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxReadings bounds the readings of the clocks by readSuspended.
const maxReadings = 5

// reading is the last result of readSuspended. It is used again for readingAge, since
// schedulers ask often, and each reading takes system calls.
var reading struct {
	sync.Mutex
	at        time.Time
	suspended time.Duration
}

// readingAge is how long a reading is used, by the monotonic clock: for that long after a
// suspension its time may not count yet.
const readingAge = 50 * time.Millisecond

// machineSuspended returns for how long the machine has been suspended since it was booted.
func machineSuspended() time.Duration {
	now := time.Now()
	reading.Lock()
	defer reading.Unlock()
	if d := now.Sub(reading.at); d < 0 || d >= readingAge {
		reading.at = now
		reading.suspended = readSuspended()
	}
	return reading.suspended
}

// readSuspended reads the difference between a clock that counts suspensions and one that
// does not. It reads them again if the process was held up between two readings.
func readSuspended() time.Duration {
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
