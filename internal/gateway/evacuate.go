package gateway

import (
	"context"
	"crypto/rand"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Evacuate makes the evacuation of an availability zone, or its withdrawal, durable. After an error the outcome is
// unknown. All attempts have the same id, so a late one does not undo a later order.
func (g *Gateway) Evacuate(ctx context.Context, zone string, withdrawn bool) error {
	order := &wire.Evacuation{Zone: zone, Withdrawn: withdrawn, Id: rand.Text()}
	if err := controlstate.CheckEvacuation(order); err != nil {
		return err
	}
	return g.call(ctx, attemptTimeout, func(ctx context.Context, leader wire.ControlClient) error {
		_, err := leader.Evacuate(ctx, &wire.EvacuateRequest{Evacuation: order})
		return err
	})
}

// HasZone reports whether a zone is evacuated or that of a recorded instance. It asks with an order without an id, which
// changes nothing.
func (g *Gateway) HasZone(ctx context.Context, zone string) (bool, error) {
	known := false
	err := g.call(ctx, attemptTimeout, func(ctx context.Context, leader wire.ControlClient) error {
		var err error
		known, err = wire.AskZone(ctx, leader, zone)
		return err
	})
	return known, err
}
