package controlvm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leaderRetryPause is the delay before a retry if no leader is known or the call to it failed.
const leaderRetryPause = 50 * time.Millisecond

// ErrNoLeader is the error of a call that no leader answered before its context ended. The call may be
// repeated at any control VM.
var ErrNoLeader = errors.New("controlvm: no leader answered; send the call again")

// Publish makes a whole configuration durable if its version is above the current one. It returns the
// version in force. A *controlstate.InvalidError means that the configuration was rejected; after any
// other error the outcome is unknown.
func (vm *VM) Publish(ctx context.Context, c *wire.Configuration) (uint64, error) {
	c, err := controlstate.Normalize(c)
	if err != nil {
		return 0, err
	}
	var version uint64
	err = vm.runAtLeader(ctx, func(ctx context.Context) error {
		version, err = vm.publish(ctx, c)
		return err
	}, func(ctx context.Context, leader wire.ControlClient) error {
		reply, err := leader.Publish(ctx, &wire.PublishRequest{Configuration: c})
		version = reply.GetVersion()
		return err
	})
	return version, err
}

// Read returns the configuration in force. Only a leader with a valid lease serves the read,
// because only it is certain to have that configuration.
func (vm *VM) Read(ctx context.Context) (*wire.Configuration, error) {
	var c *wire.Configuration
	err := vm.runAtLeader(ctx, func(ctx context.Context) error {
		var err error
		c, err = vm.read(ctx)
		return err
	}, func(ctx context.Context, leader wire.ControlClient) error {
		reply, err := leader.Read(ctx, &wire.ReadRequest{})
		c = reply.GetConfiguration()
		return err
	})
	return c, err
}

// Announce records the state that a backend server announces. It returns once a change is durable, so
// that every entry VM will receive it.
func (vm *VM) Announce(ctx context.Context, r *wire.AnnounceRequest) error {
	return vm.runAtLeader(ctx, func(ctx context.Context) error {
		return vm.applyAnnouncement(ctx, r)
	}, func(ctx context.Context, leader wire.ControlClient) error {
		_, err := leader.Announce(ctx, r)
		return err
	})
}

// runAtLeader runs a call at the leader, locally or at the control VM that leads. It retries while the
// leader changes until the context ends, so a call may run more than once.
func (vm *VM) runAtLeader(ctx context.Context, local func(context.Context) error, remote func(context.Context, wire.ControlClient) error) error {
	for {
		err := local(ctx)
		var redirect errNotLeader
		if !errors.As(err, &redirect) {
			return err
		}
		if redirect.leader != "" {
			client, dialError := vm.peers.client(redirect.leader)
			if dialError != nil {
				return dialError
			}
			if err = remote(ctx, client); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ErrNoLeader, err)
		case <-time.After(leaderRetryPause):
		}
	}
}

// publish proposes a configuration to the local voter.
func (vm *VM) publish(ctx context.Context, c *wire.Configuration) (uint64, error) {
	decided, err := vm.commit(ctx, &wire.Entry{Entry: &wire.Entry_Publish{Publish: c}})
	if err != nil {
		return 0, err
	}
	vm.metrics.changes.Add(1)
	return decided.decision.GetVersion(), nil
}

// read returns the configuration if this control VM has a valid leader lease. The lease is checked after
// the configuration is read, because the process may have been suspended in between.
func (vm *VM) read(ctx context.Context) (*wire.Configuration, error) {
	var c *wire.Configuration
	var refusal error
	err := vm.inbox.Do(ctx, func(now time.Time) {
		c = vm.state.Configuration()
		if !vm.voter.HoldsLease(now) {
			refusal = errNotLeader{vm.otherLeader(now)}
		}
	})
	if err != nil {
		return nil, err
	}
	return c, refusal
}

// applyAnnouncement passes an announcement to the failover policy and makes a change of the backend server
// durable.
func (vm *VM) applyAnnouncement(ctx context.Context, r *wire.AnnounceRequest) error {
	var entry *wire.Entry
	var refusal error
	err := vm.inbox.Do(ctx, func(now time.Time) {
		if vm.leadership == nil || !vm.voter.HoldsLease(now) {
			refusal = errNotLeader{vm.otherLeader(now)}
			return
		}
		vm.metrics.announced.Add(1)
		entry = vm.announcementEntry(now, r)
	})
	if err = errors.CombineErrors(err, refusal); err != nil || entry == nil {
		return err
	}
	_, err = vm.commit(ctx, entry)
	return err
}

// otherLeader returns the address of the leader if it is another control VM, or "".
func (vm *VM) otherLeader(now time.Time) string {
	if leader := vm.voter.LeaderAddress(now); leader != vm.options.Control.Listen {
		return leader
	}
	return ""
}

// announcementEntry passes an announcement to the failover policy. It returns the entry that makes a change
// durable, or nil if the log already contains the announced state.
func (vm *VM) announcementEntry(now time.Time, r *wire.AnnounceRequest) *wire.Entry {
	a := r.GetAnnouncement()
	if a == nil {
		vm.stepPolicy(now, failover.InstanceStopped{Server: failover.ServerID(r.GetEnded())})
		known, _, ok := vm.state.Member(r.GetEnded())
		if !ok {
			return nil
		}
		return &wire.Entry{Entry: &wire.Entry_Delist{Delist: vm.leadership.announced.end(known)}}
	}
	m := a.GetMember()
	if controlstate.CheckMember(m) != nil {
		return nil
	}
	known, group, ok := vm.state.Member(m.GetServer())
	if ok && controlstate.IsNewer(known, m) {
		return nil // superseded by a later announcement
	}
	if !vm.leadership.announced.observe(m) || !ok && vm.state.HasDeparted(m) {
		return nil // the instance has ended since
	}
	_, configured := vm.state.Group(a.GetGroup())
	if !configured && !vm.state.HasLeft(a.GetGroup()) {
		return nil
	}
	if configured {
		vm.stepPolicy(now, failover.Announced{Report: announcedReport(a)})
	}
	m = vm.warmUpMember(a.GetGroup(), m)
	if ok && group == a.GetGroup() && sameMember(m, known) && vm.leadership.warmth.matches(now, m, known) {
		return nil
	}
	vm.leadership.warmth.record(now, m)
	if ok && known.GetLeaving() && known.GetBorn() == m.GetBorn() && m.GetLeaving() {
		m = proto.CloneOf(m)
		m.Left = known.GetLeft()
	}
	return &wire.Entry{Entry: &wire.Entry_Enlist{Enlist: &wire.Enlist{Group: a.GetGroup(), Member: m}}}
}

// announcedReport returns an announcement as a report for the failover policy.
func announcedReport(a *wire.Announcement) failover.Report {
	m := a.GetMember()
	r := failover.Report{
		Server: failover.ServerID(m.GetServer()), Group: failover.GroupID(a.GetGroup()), Address: m.GetAddress(), Zone: m.GetZone(),
		ShuttingDown: m.GetLeaving(),
	}
	if a.GetPrimary() {
		r.Role = "primary"
	}
	return r
}

// sameMember reports whether an announcement changes nothing in the known member.
func sameMember(m, known *wire.Member) bool {
	return m.GetAddress() == known.GetAddress() && m.GetZone() == known.GetZone() &&
		m.GetLeaving() == known.GetLeaving() && m.GetBorn() == known.GetBorn() && m.GetSlots() == known.GetSlots()
}

// Publish serves the Publish call at the leader.
func (s *service) Publish(ctx context.Context, r *wire.PublishRequest) (*wire.PublishReply, error) {
	c, err := controlstate.Normalize(r.GetConfiguration())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	version, err := s.vm.publish(ctx, c)
	return &wire.PublishReply{Version: version}, statusError(err)
}

// Read serves the Read call at the leader.
func (s *service) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
	c, err := s.vm.read(ctx)
	return &wire.ReadReply{Configuration: c}, statusError(err)
}

// Announce serves the Announce call at the leader.
func (s *service) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	return &wire.AnnounceReply{}, statusError(s.vm.applyAnnouncement(ctx, r))
}
