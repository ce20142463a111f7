package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

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
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(math.Round(memoryShare * float64(s.MemoryMiB) * (1 << 20))))
	}
	r := prometheus.NewRegistry()
	m := meter.New(r)
	w := logs.NewWriter(os.Stdout, logs.RateLimit{
		PerSecond: logPerSecond,
		Burst:     logBurst,
	}, m.LinesDropped)
	defer w.Close()
	g := newLog("info")
	g.Logger.SetOutput(w)
	c, d := untilSignal()
	onHangup(c, g)
	return run(c, d, platform.Ports{
		Net:      wire.TCP{},
		Log:      g,
		Meter:    m,
		Registry: r,
	}, s)
}

// onHangup reads the settings again at SIGHUP and says what came of it. A change
// of what a process listens on, or stands on, takes effect at its next start.
func onHangup(c context.Context, g *logrus.Entry) {
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-c.Done():
				return
			case <-h:
				_, err := platform.ReadSettings()
				g.WithError(err).Info("settings_read_again")
			}
		}
	}()
}
