package main

import (
	"context"
	"fmt"
	"os"

	"fireflyrudder.example/fireflyrudder/internal/local"
)

const localLong = "Runs control VMs, entry VMs and a database group of stand-ins in one process, shows enrollment, " +
	"read-your-writes and a failover under load, prints the four measures, then serves until it is told to stop."

// localCommand runs a complete site in one process for evaluation.
type localCommand struct {
	Listen []string `long:"listen" default:"127.0.0.1:7432" default:"127.0.0.1:7433" description:"IP:port of each of the two entry VMs; repeat"`
	Once   bool     `long:"once" description:"exit after the demonstration"`
	Quiet  bool     `long:"no-demonstration" description:"only serve"`

	ctx context.Context
}

// Execute runs the command.
func (c *localCommand) Execute([]string) error {
	ctx, stop := context.WithCancel(c.ctx)
	defer stop()
	site, err := local.Start(ctx, local.Options{EntryAddresses: c.Listen})
	if err != nil {
		return err
	}
	if !c.Quiet {
		if err := site.Demonstrate(ctx, os.Stdout); err != nil {
			return err
		}
	}
	if c.Once {
		stop()
		return site.Wait()
	}
	fmt.Println("serving; connect with:", site.URL(0))
	return site.Wait()
}
