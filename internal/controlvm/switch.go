package controlvm

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Limits of a planned switchover. An unfinished switchover is aborted within a second. The rest of
// switchTimeout leaves time for a failover after it.
const (
	switchTimeout = 5 * time.Second
	switchPoll    = 20 * time.Millisecond
)

// Switch performs a planned switchover of a group and waits for the outcome.
func (s *service) Switch(ctx context.Context, r *wire.SwitchRequest) (*wire.SwitchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	var before *wire.View
	var refusal error
	err := s.vm.inbox.Do(ctx, func(now time.Time) {
		vm := s.vm
		if vm.leadership == nil || !vm.voter.HoldsLease(now) {
			refusal = errNotLeader{vm.voter.LeaderAddress(now)}
			return
		}
		if before = vm.switchable(r); before != nil {
			vm.stepPolicy(now, failover.SwitchoverRequested{Group: failover.GroupID(r.Group), To: failover.ServerID(r.To)})
		}
	})
	switch {
	case err != nil:
		return nil, statusError(err)
	case refusal != nil:
		return nil, statusError(refusal)
	case before == nil:
		return nil, status.Errorf(codes.InvalidArgument, "controlvm: group %q has no steady primary, or server %q cannot take over; see status", r.Group, r.To)
	}
	return s.awaitSwitch(ctx, r, before)
}

// switchable returns the view of the group if the requested switchover is possible, or nil.
func (vm *VM) switchable(r *wire.SwitchRequest) *wire.View {
	v, ok := vm.state.View(r.Group)
	if !ok || v.Phase != wire.Phase_PHASE_STEADY || v.Primary == "" || v.Primary == r.To {
		return nil
	}
	for _, m := range v.Members {
		if r.To == "" || (m.Server == r.To && !m.Retired && !m.Evacuated) {
			return v
		}
	}
	return nil
}

// awaitSwitch waits until the group has a primary in a higher term, or until the context ends.
func (s *service) awaitSwitch(ctx context.Context, r *wire.SwitchRequest, before *wire.View) (*wire.SwitchReply, error) {
	ticker := time.NewTicker(switchPoll)
	defer ticker.Stop()
	reply := &wire.SwitchReply{View: before}
	for {
		err := s.vm.inbox.Do(ctx, func(time.Time) {
			if v, ok := s.vm.state.View(r.Group); ok {
				reply.View = v
			}
		})
		v := reply.View
		steady := v.Term > before.Term && v.Phase == wire.Phase_PHASE_STEADY && v.Primary != ""
		if steady || err != nil {
			reply.Done = steady && v.Primary != before.Primary
			return reply, nil
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
