// Command fireflyrudder is a proxy for SQL databases with session consistency.
//
// Exit codes: 0 success; 1 the command failed; 2 bad command line or settings; 3 conflict with
// another operator's change.
package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/command"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

const (
	program = "fireflyrudder"
	// exitConflict is the exit code of a change that conflicts with another. Package command has the other
	// codes.
	exitConflict = 3
)

// errConflict marks a change that was refused because another change was accepted before it.
var errConflict = errors.New("conflict")

// errUsage marks invalid settings.
var errUsage = errors.New("usage")

// common holds the options of every command.
type common struct {
	Settings string `long:"settings" short:"s" env:"FIREFLYRUDDER_SETTINGS" no-ini:"true" description:"INI file with settings"`
	Check    bool   `long:"check" no-ini:"true" description:"check the settings and exit"`
}

// globals holds the option groups that all commands share.
type globals struct {
	common  common
	node    settings.Node
	log     settings.Log
	console settings.Console
	tls     settings.TLS
}

func main() {
	command.Main(run)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string) int {
	var g globals
	parser := newParser(ctx, &g)
	if file := settingsFile(args); file != "" {
		if err := settings.Read(parser, file); err != nil {
			return command.Report(program, err, command.Usage)
		}
	}
	_, err := parser.ParseArgs(args)
	return command.Finish(program, err, exitCode)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return command.Usage
	case errors.Is(err, errConflict):
		return exitConflict
	}
	return command.Failure
}

// newParser returns a parser with all commands.
func newParser(ctx context.Context, g *globals) *flags.Parser {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A proxy for SQL databases with session consistency.\n" +
		"Exit codes: 0 success, 1 failure, 2 bad command line or settings, 3 conflict with another change."
	command.Must(parser.AddGroup("common", "", &g.common))
	command.Must(parser.AddGroup("node", "", &g.node))
	command.Must(parser.AddGroup("log", "", &g.log))
	command.Must(parser.AddGroup("console", "", &g.console))
	command.Must(parser.AddGroup("tls", "", &g.tls))
	addCommands(ctx, parser, g)
	parser.CommandHandler = func(c flags.Commander, args []string) error {
		return execute(g, c, args)
	}
	return parser
}

// checker is implemented by commands whose settings can be checked without starting.
type checker interface {
	Check() error
}

// execute checks the settings, then runs the command unless --check is set.
func execute(g *globals, c flags.Commander, args []string) error {
	if c == nil {
		return nil
	}
	checks := []func() error{g.node.Check, g.console.Check, g.tls.Check}
	if withCheck, ok := c.(checker); ok {
		checks = append(checks, withCheck.Check)
	}
	if err := check(checks...); err != nil {
		return err
	}
	if g.common.Check {
		fmt.Println("settings are valid")
		return nil
	}
	g.log.Apply()
	return c.Execute(args)
}

// settingsFile returns the name of the INI file. It parses the arguments by itself, since the values of the
// file are the defaults for the other options and must be set before these are parsed.
func settingsFile(args []string) string {
	var c common
	parser := flags.NewParser(&c, flags.IgnoreUnknown)
	if _, err := parser.ParseArgs(args); err != nil {
		return ""
	}
	return c.Settings
}

// check runs the checks in order and marks the first failure as errUsage.
func check(checks ...func() error) error {
	for _, c := range checks {
		if err := c(); err != nil {
			return errors.Mark(err, errUsage)
		}
	}
	return nil
}
