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

// memoryLimitShare is the Go runtime's soft memory limit, as a share of the memory
// limit of the process.
const memoryLimitShare = 0.7

// Rate limit of a daemon's log.
const (
	logLinesPerSecond = 100
	logBurstLines     = 2000
)

// runOnPlatform runs a daemon with the settings file of the platform, which an
// environment variable names.
func runOnPlatform(run func(context.Context, <-chan struct{}, platform.Ports, *platform.Settings) error) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return withExitStatus(exitUsage, err)
	}
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(math.Round(memoryLimitShare * float64(s.MemoryMiB) * (1 << 20))))
	}
	r := prometheus.NewRegistry()
	m := meter.New(r)
	w := logs.NewWriter(os.Stdout, logs.RateLimit{
		PerSecond: logLinesPerSecond,
		Burst:     logBurstLines,
	}, m.LinesDropped)
	defer w.Close()
	g := newLog("info")
	g.Logger.SetOutput(w)
	c, d := notifyShutdown()
	checkSettingsOnHangup(c, g)
	return run(c, d, platform.Ports{
		Net:      wire.TCP{},
		Log:      g,
		Meter:    m,
		Registry: r,
	}, s)
}

// checkSettingsOnHangup reads the settings again at SIGHUP and logs whether that
// succeeded. It applies none of them: changed settings, such as addresses and the
// machine and zone of the process, take effect at its next start.
func checkSettingsOnHangup(c context.Context, g *logrus.Entry) {
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
