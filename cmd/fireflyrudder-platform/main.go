// Command fireflyrudder-platform runs the product's processes on the users' platform. It reads the
// platform's settings file, whose path is in the environment.
//
// Exit codes: 0 success; 1 the command failed; 2 bad command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/logline"
	"fireflyrudder.example/fireflyrudder/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// logLevel selects which lines are written to standard output, as logfmt.
type logLevel struct {
	Level string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level logged"`
}

// role runs one process.
type role struct {
	Metrics string `long:"metrics" description:"port of the operators' console on the address of this VM; empty for none"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	run     func(ctx context.Context, metrics string) error
	ctx     context.Context
}

// Execute runs the process until it is told to stop.
func (r *role) Execute([]string) error {
	if r.Check {
		return check()
	}
	return r.run(r.ctx, r.Metrics)
}

// check reads the settings and says that they are valid.
func check() error {
	path, err := platform.Path()
	if err != nil {
		return err
	}
	if _, err := platform.ReadSettings(path); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string) int {
	var format logLevel
	parser := flags.NewNamedParser("fireflyrudder-platform", flags.HelpFlag|flags.PassDoubleDash)
	must(parser.AddGroup("log", "", &format))
	must(parser.AddCommand("entry", "run an entry VM", "Runs an entry VM, to which callers connect.", &role{run: platform.RunEntry, ctx: ctx}))
	must(parser.AddCommand("control", "run a control VM", "Runs a control VM: a voter of the control group.", &role{run: platform.RunControl, ctx: ctx}))
	lines := logline.New(os.Stdout, time.Now)
	writing, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(writing)
	}()
	defer func() {
		stop()
		<-written
	}()
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		log.SetHandler(lines)
		log.SetLevelFromString(format.Level)
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		return report(err, exitUsage)
	}
	return report(err, exitFailure)
}

// must panics on a malformed option struct, which is a fault of this program.
func must[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// report writes an error with its remedy and returns the exit code.
func report(err error, code int) int {
	fmt.Fprintln(os.Stderr, "fireflyrudder-platform:", err)
	for _, hint := range errors.GetAllHints(err) {
		fmt.Fprintln(os.Stderr, "remedy:", hint)
	}
	return code
}
