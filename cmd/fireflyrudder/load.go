package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/load"
)

// loadCommand runs a workload against addresses and audits the answers.
type loadCommand struct {
	Workload  string        `long:"workload" required:"true" description:"INI file with the workload, such as examples/cascadia/workload.ini"`
	Addresses []string      `long:"address" required:"true" description:"IP:port that callers connect to; repeat"`
	Report    string        `long:"report" description:"file for the report as JSON"`
	Duration  time.Duration `long:"duration" description:"length of the run instead of the workload's"`
	Seed      uint64        `long:"seed" description:"seed instead of the workload's"`
	ctx       context.Context
}

// errAudit reports that the audit found a violation.
var errAudit = errors.New("load: the audit failed; the report lists the findings")

// Check reads the workload and checks the addresses.
func (c *loadCommand) Check() error {
	for _, a := range c.Addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.WithHint(errors.Wrap(err, "load: address"), "give an IP address and a port, such as 127.0.0.1:7432")
		}
	}
	_, err := c.workload()
	return err
}

func (c *loadCommand) workload() (*load.Workload, error) {
	w, err := load.Read(c.Workload)
	if err != nil {
		return nil, err
	}
	if c.Duration != 0 {
		w.Duration = c.Duration
	}
	if c.Seed != 0 {
		w.Seed = c.Seed
	}
	return w, w.Check()
}

// Execute runs the workload and prints the report.
func (c *loadCommand) Execute([]string) error {
	w, err := c.workload()
	if err != nil {
		return err
	}
	report, err := load.Run(c.ctx, w, c.Addresses)
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	if c.Report != "" {
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Report, append(text, '\n'), 0o600); err != nil {
			return errors.WithHint(errors.Wrap(err, "load: report"), "name a file that this process can write")
		}
	}
	if !report.Passed {
		return errAudit
	}
	return nil
}
