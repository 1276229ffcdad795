package main

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/standin"
)

// standinCommand runs a stand-in backend server.
type standinCommand struct {
	settings.Standin
	ctx     context.Context
	globals *globals
}

// Execute serves until the process is signaled to stop.
func (c *standinCommand) Execute([]string) error {
	secret, err := (&settings.ServerCredentials{Password: c.Password}).ReadPassword()
	if err != nil {
		return err
	}
	s, err := standin.Start(c.ctx, standin.Config{
		Server: c.Server, Group: c.Group, Zone: c.globals.node.Zone, Listen: c.Listen, Announce: c.Announce,
		Slots: c.Slots, Connections: c.Connections, Open: c.Open, Service: c.Service, Lag: c.Lag,
		User: c.User, Password: secret,
	})
	if err != nil {
		return err
	}
	s.Wait()
	return nil
}
