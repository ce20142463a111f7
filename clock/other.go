//go:build !linux

package clock

import "time"

// machineSuspended returns 0: it is not known here for how long the machine was suspended.
func machineSuspended() time.Duration { return 0 }
