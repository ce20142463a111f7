package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"

	"hemlockhinge/platform"
	"hemlockhinge/wire"
)

// memoryShare of a process's memory is the limit that the collector works
// towards.
const memoryShare = 0.7

// onPlatform runs a daemon with the settings that the platform gives.
func onPlatform(run func(context.Context, <-chan struct{}, platform.Ports, *platform.Settings) error) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return exit(exitUsage, err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(math.Round(memoryShare * float64(s.Memory) * (1 << 20))))
	}
	g := newLog("info")
	g.Logger.SetOutput(os.Stdout)
	c, d := untilSignal()
	return run(c, d, platform.Ports{
		Net: wire.TCP{},
		Log: g,
	}, s)
}
