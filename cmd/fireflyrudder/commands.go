package main

import (
	"context"

	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/command"
)

// addCommands registers every subcommand with parser.
func addCommands(ctx context.Context, parser *flags.Parser, g *globals) {
	command.Must(parser.AddCommand("entry", "run an entry VM", entryLong, &entryCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("local", "run a whole site in one process", localLong, &localCommand{ctx: ctx}))
	command.Must(parser.AddCommand("control", "run a control VM", controlLong, &controlCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("apply", "change the configuration", applyLong, &applyCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("status", "show the state of the control group", statusLong, &statusCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("switch", "move the primary of a database group", switchLong, &switchCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("evacuate", "empty an availability zone or take it back", evacuateLong, &evacuateCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("dump", "show the state of one process", dumpLong, &dumpCommand{ctx: ctx}))
	command.Must(parser.AddCommand("standin", "run a stand-in backend server", "Runs a stand-in for a backend server of a database group.", &standinCommand{ctx: ctx, globals: g}))
	command.Must(parser.AddCommand("load", "drive addresses with a workload", "Drives PostgreSQL addresses with a seeded open-loop workload and audits the answers.", &loadCommand{ctx: ctx}))
	addQuestionnaire(parser)
}
