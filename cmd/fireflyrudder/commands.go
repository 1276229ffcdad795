package main

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// addCommands registers every subcommand with parser.
func addCommands(ctx context.Context, parser *flags.Parser, g *globals) {
	must(parser.AddCommand("standin", "run a stand-in backend server", "Runs a stand-in for a backend server of a database group.", &standinCommand{ctx: ctx, globals: g}))
	must(parser.AddCommand("load", "drive addresses with a workload", "Drives PostgreSQL addresses with a seeded open-loop workload and audits the answers.", &loadCommand{ctx: ctx}))
}
