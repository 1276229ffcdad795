package main

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// addCommands registers every subcommand with parser.
func addCommands(_ context.Context, _ *flags.Parser, _ *globals) {
}
