// Package command contains the exit codes and the error reporting that the commands share.
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

// Main runs a program and exits with its exit code. SIGINT and SIGTERM cancel the context.
func Main(run func(ctx context.Context, args []string) int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// Must returns the value, or panics on an error. It is for option structs: a malformed one is a
// programming error.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Finish prints help or an error and returns the exit code. code returns the exit code of errors that do
// not come from the command line parser.
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

// Report writes an error and its hints to standard error and returns code.
func Report(program string, err error, code int) int {
	fmt.Fprintln(os.Stderr, program+":", err)
	for _, hint := range errors.GetAllHints(err) {
		fmt.Fprintln(os.Stderr, "remedy:", hint)
	}
	return code
}
