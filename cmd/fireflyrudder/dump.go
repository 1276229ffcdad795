package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const dumpLong = "Shows the state of one process as JSON, from its console."

// dumpCommand prints the state of one process.
type dumpCommand struct {
	Process string        `long:"process" description:"IP:port of the console of the process"`
	Wait    time.Duration `long:"timeout" default:"10s" description:"longest time to wait for an answer"`

	ctx context.Context
}

// Check returns an error that names the remedy if a setting is malformed.
func (c *dumpCommand) Check() error {
	if _, err := netip.ParseAddrPort(c.Process); err != nil {
		return errors.WithHint(errors.Wrap(err, "dump: --process"), "give the address that the process has as --console, such as 10.0.0.5:7402")
	}
	return nil
}

// Execute runs the command.
func (c *dumpCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Process+"/dump", http.NoBody)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "dump"), "see whether the process runs and has a --console")
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(reply.Body, 4096)) //nolint:errcheck // only for the message
		return errors.Newf("dump: the process answered %s: %s", reply.Status, text)
	}
	_, err = io.Copy(os.Stdout, reply.Body)
	return err
}
