package main

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/entryvm"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

const entryLong = "Runs an entry VM, to which callers connect with the PostgreSQL protocol. " +
	"On SIGTERM it drains: /ready fails, idle sessions close, open transactions may end within --drain."

// entryCommand runs an entry VM until the process is signaled to stop.
type entryCommand struct {
	settings.Entry
	ctx     context.Context
	globals *globals
}

// Execute runs the command.
func (c *entryCommand) Execute([]string) error {
	o, err := entryvm.Configure(c.globals.node, &c.Entry, c.globals.tls)
	if err != nil {
		return err
	}
	return entryvm.Serve(c.ctx, o, c.globals.console)
}
