// Command fireflyrudder is a proxy for SQL databases with session consistency.
//
// Exit codes: 0 success; 1 the command failed; 2 bad command line or settings; 3 conflict with
// another operator's change.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// Exit codes, also listed by --help.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
)

// errConflict marks a change that lost against another operator's.
var errConflict = errors.New("conflict")

// errUsage marks settings that were refused.
var errUsage = errors.New("usage")

// common holds the options of every command.
type common struct {
	Settings string `long:"settings" short:"s" env:"FIREFLYRUDDER_SETTINGS" no-ini:"true" description:"INI file with settings"`
	Check    bool   `long:"check" no-ini:"true" description:"check the settings and exit"`
}

// globals are the option groups that every command shares.
type globals struct {
	common  common
	node    settings.Node
	log     settings.Log
	console settings.Console
	tls     settings.TLS
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string) int {
	var g globals
	parser := newParser(ctx, &g)
	if file := settingsFile(args); file != "" {
		if err := settings.Read(parser, file); err != nil {
			return report(err, exitUsage)
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage), errors.Is(err, errUsage):
		return report(err, exitUsage)
	case errors.Is(err, errConflict):
		return report(err, exitConflict)
	}
	return report(err, exitFailure)
}

// newParser returns a parser with every command.
func newParser(ctx context.Context, g *globals) *flags.Parser {
	parser := flags.NewNamedParser("fireflyrudder", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A proxy for SQL databases with session consistency.\n" +
		"Exit codes: 0 success, 1 failure, 2 bad command line or settings, 3 conflict with another change."
	must(parser.AddGroup("common", "", &g.common))
	must(parser.AddGroup("node", "", &g.node))
	must(parser.AddGroup("log", "", &g.log))
	must(parser.AddGroup("console", "", &g.console))
	must(parser.AddGroup("tls", "", &g.tls))
	addCommands(ctx, parser, g)
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		return execute(g, command, args)
	}
	return parser
}

// checker is implemented by commands whose settings can be checked without starting.
type checker interface {
	Check() error
}

// execute checks the settings, then runs the command unless only the check was asked for.
func execute(g *globals, command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	checks := []func() error{g.node.Check, g.console.Check, g.tls.Check}
	if c, ok := command.(checker); ok {
		checks = append(checks, c.Check)
	}
	if err := check(checks...); err != nil {
		return err
	}
	if g.common.Check {
		fmt.Println("settings are valid")
		return nil
	}
	g.log.Apply()
	return command.Execute(args)
}

// must panics on a malformed option struct, which is a fault of this program.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// settingsFile finds the INI file before the other options are parsed, since its values are defaults.
func settingsFile(args []string) string {
	var c common
	parser := flags.NewParser(&c, flags.IgnoreUnknown)
	if _, err := parser.ParseArgs(args); err != nil {
		return ""
	}
	return c.Settings
}

// report writes an error with its remedy and returns the exit code.
func report(err error, code int) int {
	fmt.Fprintln(os.Stderr, "fireflyrudder:", err)
	for _, hint := range errors.GetAllHints(err) {
		fmt.Fprintln(os.Stderr, "remedy:", hint)
	}
	return code
}

// check runs every check and marks a failure as one of usage.
func check(checks ...func() error) error {
	for _, c := range checks {
		if err := c(); err != nil {
			return errors.Mark(err, errUsage)
		}
	}
	return nil
}
