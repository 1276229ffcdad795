package controlvm

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// evacuateTimeout bounds one attempt at the leader, so that an order reaches the next leader if this one is frozen.
const evacuateTimeout = 400 * time.Millisecond

// Evacuate makes the evacuation of an availability zone, or its withdrawal, durable. After an error the outcome is
// unknown, and the order may be sent again. All attempts of one call have the same id, so a late one does not undo a
// later order.
func (vm *VM) Evacuate(ctx context.Context, zone string, withdrawn bool) error {
	order := &wire.Evacuation{Zone: zone, Withdrawn: withdrawn, Id: rand.Text()}
	if err := controlstate.CheckEvacuation(order); err != nil {
		return err
	}
	return vm.runAtLeader(ctx, func(ctx context.Context) error {
		err := vm.evacuate(ctx, order)
		if errors.Is(err, errOutcomeUnknown) && ctx.Err() == nil {
			return errNotLeader{} // the leadership ended; the next leader gets the same order
		}
		return err
	}, func(ctx context.Context, leader wire.ControlClient) error {
		ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
		defer cancel()
		_, err := leader.Evacuate(ctx, &wire.EvacuateRequest{Evacuation: order})
		return err
	})
}

// HasZone reports whether a zone is evacuated or that of a recorded instance. Only a leader with a valid lease answers.
// Another control VM asks it with an order without an id, which changes nothing.
func (vm *VM) HasZone(ctx context.Context, zone string) (bool, error) {
	known := false
	err := vm.runAtLeader(ctx, func(ctx context.Context) error {
		var err error
		known, err = vm.hasZone(ctx, zone)
		return err
	}, func(ctx context.Context, leader wire.ControlClient) error {
		ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
		defer cancel()
		var err error
		known, err = wire.AskZone(ctx, leader, zone)
		return err
	})
	return known, err
}

// evacuate proposes an order to the local voter.
func (vm *VM) evacuate(ctx context.Context, order *wire.Evacuation) error {
	if _, err := vm.commit(ctx, &wire.Entry{Entry: &wire.Entry_Evacuation{Evacuation: order}}); err != nil {
		return err
	}
	vm.metrics.evacuations.Add(1)
	return nil
}

// hasZone looks a zone up if this control VM has a valid leader lease.
func (vm *VM) hasZone(ctx context.Context, zone string) (bool, error) {
	var known bool
	var refusal error
	err := vm.inbox.Do(ctx, func(now time.Time) {
		known = vm.state.HasZone(zone)
		if !vm.voter.HoldsLease(now) {
			refusal = errNotLeader{vm.otherLeader(now)}
		}
	})
	return known, errors.CombineErrors(err, refusal)
}

// applyEntry applies a committed entry to the control state. The leader logs the orders of operators.
func (vm *VM) applyEntry(index uint64, e *wire.Entry) *wire.Decision {
	order := e.GetEvacuation()
	before := vm.state.IsEvacuated(order.GetZone())
	decision := vm.state.Apply(index, e)
	if order == nil || vm.leadership == nil {
		return decision
	}
	outcome := "unchanged"
	if vm.state.IsEvacuated(order.GetZone()) != before {
		outcome = "applied"
	}
	log.WithFields(log.Fields{
		"event": "evacuation", "zone": order.GetZone(), "withdrawn": order.GetWithdrawn(), "id": order.GetId(), "outcome": outcome,
	}).Info("order for an availability zone committed")
	return decision
}

// Evacuate serves the Evacuate call at the leader. An order without an id only asks whether the zone is known.
func (s *service) Evacuate(ctx context.Context, r *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	order := r.GetEvacuation()
	if order.GetId() == "" {
		known, err := s.vm.hasZone(ctx, order.GetZone())
		if err == nil && !known {
			return nil, status.Error(codes.NotFound, (&controlstate.UnknownZoneError{Zone: order.GetZone()}).Error())
		}
		return &wire.EvacuateReply{}, statusError(err)
	}
	if err := controlstate.CheckEvacuation(order); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := s.vm.evacuate(ctx, order); err != nil {
		return nil, statusError(err)
	}
	var reply wire.EvacuateReply
	err := s.vm.inbox.Do(ctx, func(time.Time) { reply.Evacuated = s.vm.state.EvacuatedZones() })
	return &reply, statusError(err)
}
