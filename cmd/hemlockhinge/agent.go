package main

import (
	"hemlockhinge/agent"
	"hemlockhinge/conf"
	"hemlockhinge/platform"
	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

const agentHelp = `Runs the agent of one worker. The agent announces the worker to the schedulers,
grants reservations, starts and stops tasks, and admits requests into slots.
The first SIGTERM stops it gracefully, the second one at once.`

type agentOptions struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; without it, the platform's settings that the environment names"`
}

func agentCommand() command {
	return command{
		name:    "agent",
		short:   "Run an agent beside a worker",
		long:    agentHelp,
		options: &agentOptions{},
	}
}

// Execute implements flags.Commander.
func (r *agentOptions) Execute([]string) error {
	if r.Settings == "" {
		return runOnPlatform(platform.RunAgent)
	}
	s, err := readSettings(r.Settings, conf.ParseAgentSettings)
	if err != nil {
		return err
	}
	c, d := notifyShutdown()
	a := agent.New(agent.Ports{
		Net:    wire.TCP{},
		Worker: worker.NewClient(s.Worker, newTransport()),
		Log:    newLog(s.LogLevel),
	}, *s)
	return a.Run(c, d)
}
