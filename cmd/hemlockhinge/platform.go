package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hemlockhinge/logs"
	"hemlockhinge/meter"
	"hemlockhinge/platform"
	"hemlockhinge/wire"
)

// memoryShare of a process's memory is the limit that the collector works
// towards.
const memoryShare = 0.7

// The budget of a daemon's log, in lines.
const (
	logPerSecond = 100
	logBurst     = 2000
)

// onPlatform runs a daemon with the settings that the platform gives.
func onPlatform(run func(context.Context, <-chan struct{}, platform.Ports, *platform.Settings) error) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return exit(exitUsage, err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(math.Round(memoryShare * float64(s.Memory) * (1 << 20))))
	}
	r := prometheus.NewRegistry()
	m := meter.New(r)
	w := logs.NewWriter(os.Stdout, logs.Budget{
		PerSecond: logPerSecond,
		Burst:     logBurst,
	}, m.LinesDropped)
	defer w.Close()
	g := newLog("info")
	g.Logger.SetOutput(w)
	c, d := untilSignal()
	return run(c, d, platform.Ports{
		Net:     wire.TCP{},
		Log:     g,
		Meter:   m,
		Metrics: promhttp.HandlerFor(r, promhttp.HandlerOpts{}),
	}, s)
}
