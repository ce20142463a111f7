package main

import (
	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/platform"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

const entryHelp = `Runs an entry: it takes callers' requests and jobs and the operators'
objects, and may schedule failure domains. SIGTERM stops it gracefully; a
second one stops it at once.`

type entryRun struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; without it, the platform's settings that the environment names"`
}

func entryCommand() command {
	return command{
		name:  "entry",
		short: "Run an entry",
		long:  entryHelp,
		run:   &entryRun{},
	}
}

// Execute implements flags.Commander.
func (r *entryRun) Execute([]string) error {
	if r.Settings == "" {
		return onPlatform(platform.RunEntry)
	}
	s, err := settings(r.Settings, conf.ParseEntrySettings)
	if err != nil {
		return err
	}
	c, d := untilSignal()
	e := entry.New(entry.Ports{
		Net:   wire.TCP{},
		Store: store.NewClient(s.Store, newTransport()),
		Log:   newLog(s.LogLevel),
	}, *s)
	return e.Run(c, d)
}
