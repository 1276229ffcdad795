// Package command holds what the command lines of this project share.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	Success = 0
	Failure = 1
	Usage   = 2 // bad command line or settings
)

// Main runs a program until it ends or is told to stop, and exits with its exit code.
func Main(run func(ctx context.Context, args []string) int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// Must panics on a malformed option struct, which is a fault of the program.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Finish reports how a command line ended and returns the exit code. code names that of an error which
// does not come from the parser.
func Finish(program string, err error, code func(error) int) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return Success
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return Success
	case errors.As(err, &usage):
		return Report(program, err, Usage)
	}
	return Report(program, err, code(err))
}

// Report writes an error with its remedies and returns the exit code.
func Report(program string, err error, code int) int {
	fmt.Fprintln(os.Stderr, program+":", err)
	for _, hint := range errors.GetAllHints(err) {
		fmt.Fprintln(os.Stderr, "remedy:", hint)
	}
	return code
}
