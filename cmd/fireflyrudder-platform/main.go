// Command fireflyrudder-platform runs the product's processes on the users' platform. It reads the platform's
// settings file, whose path is in the environment.
//
// Exit codes: 0 success; 1 the command failed; 2 bad command line.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/command"
	"fireflyrudder.example/fireflyrudder/internal/logline"
	"fireflyrudder.example/fireflyrudder/platform"
)

const program = "fireflyrudder-platform"

// logLevel is the command-line option for the minimum level of log lines, which are written to standard output
// as logfmt.
type logLevel struct {
	Level string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level logged"`
}

// role is the command that runs one kind of process.
type role struct {
	Metrics string `long:"metrics" description:"port of the operators' console on the address of this VM; empty for none"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	run     func(ctx context.Context, metrics string) error
	ctx     context.Context
}

// Execute runs the process until its context ends, or only checks the settings.
func (r *role) Execute([]string) error {
	if r.Check {
		return check()
	}
	return r.run(r.ctx, r.Metrics)
}

// check reads the settings and prints that they are valid, or returns the error.
func check() error {
	path, err := platform.SettingsPath()
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
	command.Main(run)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string) int {
	var minimum logLevel
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	command.Must(parser.AddGroup("log", "", &minimum))
	command.Must(parser.AddCommand("entry", "run an entry VM", "Runs an entry VM, to which callers connect.", &role{run: platform.RunEntry, ctx: ctx}))
	command.Must(parser.AddCommand("control", "run a control VM", "Runs a control VM: a voter of the control group.", &role{run: platform.RunControl, ctx: ctx}))
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
	parser.CommandHandler = func(c flags.Commander, args []string) error {
		log.SetHandler(lines)
		log.SetLevelFromString(minimum.Level)
		return c.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	return command.Finish(program, err, func(error) int { return command.Failure })
}
