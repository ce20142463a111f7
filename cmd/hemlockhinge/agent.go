package main

import (
	"hemlockhinge/agent"
	"hemlockhinge/conf"
	"hemlockhinge/platform"
	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

const agentHelp = `Runs an agent beside one worker: it announces the worker, grants
reservations, runs and stops tasks, and admits requests into slots. SIGTERM
stops it gracefully; a second one stops it at once.`

type agentRun struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; without it, the platform's settings that the environment names"`
}

func agentCommand() command {
	return command{
		name:  "agent",
		short: "Run an agent beside a worker",
		long:  agentHelp,
		run:   &agentRun{},
	}
}

// Execute implements flags.Commander.
func (r *agentRun) Execute([]string) error {
	if r.Settings == "" {
		return onPlatform(platform.RunAgent)
	}
	s, err := settings(r.Settings, conf.ParseAgentSettings)
	if err != nil {
		return err
	}
	c, d := untilSignal()
	a := agent.New(agent.Ports{
		Net:    wire.TCP{},
		Worker: worker.NewClient(s.Worker, newTransport()),
		Log:    newLog(s.LogLevel),
	}, *s)
	return a.Run(c, d)
}
