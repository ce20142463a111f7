package main

import (
	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/platform"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

const entryHelp = `Runs an entry. The entry accepts requests and jobs from callers and
configuration from operators, and schedules the failure domains whose scheduler
role it holds. The first SIGTERM stops it gracefully, the second one at once.`

type entryOptions struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; without it, the platform's settings that the environment names"`
}

func entryCommand() command {
	return command{
		name:    "entry",
		short:   "Run an entry",
		long:    entryHelp,
		options: &entryOptions{},
	}
}

// Execute implements flags.Commander.
func (r *entryOptions) Execute([]string) error {
	if r.Settings == "" {
		return runOnPlatform(platform.RunEntry)
	}
	s, err := readSettings(r.Settings, conf.ParseEntrySettings)
	if err != nil {
		return err
	}
	c, d := notifyShutdown()
	e := entry.New(entry.Ports{
		Net:   wire.TCP{},
		Store: store.NewClient(s.Store, newTransport()),
		Log:   newLog(s.LogLevel),
	}, *s)
	return e.Run(c, d)
}
