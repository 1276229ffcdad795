package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
)

const switchLong = "Moves the primary of a database group to another member in a planned way: writes wait and none is refused."

// switchCommand requests a planned switchover.
type switchCommand struct {
	controlOptions
	Group string `long:"group" description:"database group"`
	To    string `long:"to" description:"backend server that becomes primary; the leader chooses if empty"`

	ctx     context.Context
	globals *globals
}

// Check returns an error that names the remedy if a setting is missing.
func (c *switchCommand) Check() error {
	if c.Group == "" {
		return errors.WithHint(errors.New("switch: --group is missing"), "name a database group; see fireflyrudder status")
	}
	return c.controlOptions.Check()
}

// Execute runs the command.
func (c *switchCommand) Execute([]string) error {
	return c.withClient(c.ctx, c.globals, func(ctx context.Context, client *controlvm.Client) error {
		reply, err := client.Switch(ctx, c.Group, c.To)
		if err != nil {
			return err
		}
		if !reply.Done {
			return errors.WithHint(errors.Newf("switch: the primary of %s is still %s in term %d", c.Group, reply.View.Primary, reply.View.Term),
				"see fireflyrudder status for replicas that are behind, then try again")
		}
		fmt.Printf("primary of %s is %s in term %d\n", c.Group, reply.View.Primary, reply.View.Term)
		return nil
	})
}
