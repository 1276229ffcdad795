package main

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

const controlLong = "Runs a control VM: a voter of the control group, or a spare with --join. " +
	"The first start of a group needs all control VMs named by --peer to be up."

// controlCommand runs a control VM until the process is signaled to stop.
type controlCommand struct {
	settings.Control
	ctx     context.Context
	globals *globals
}

// Execute runs the command.
func (c *controlCommand) Execute([]string) error {
	options := controlvm.Options{Node: c.globals.node, Control: c.Control, TLS: c.globals.tls, Console: c.globals.console}
	return controlvm.Serve(c.ctx, options, func(ctx context.Context, vm *controlvm.VM) error { return vm.Run(ctx) })
}
