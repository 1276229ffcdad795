package controlvm

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/recovery"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leaderWait bounds how long a Renew waits for a leader. It is below the time after which an entry VM tries
// another control VM.
const leaderWait = 300 * time.Millisecond

// configurationLease is how long an entry VM may serve clients after a renewal, counted from the time at
// which it sent the request.
const configurationLease = 2500 * time.Millisecond

// service implements the gRPC services Control and Voter.
type service struct {
	wire.UnimplementedControlServer
	wire.UnimplementedVoterServer
	vm *VM
}

// serveGRPC serves gRPC until the context ends.
func (vm *VM) serveGRPC(ctx context.Context) error {
	listener := vm.options.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", vm.options.Control.Listen); err != nil {
			return errors.WithHint(errors.Wrap(err, "controlvm"), "choose another address for --listen, or stop the process that uses it")
		}
	}
	options := append(recovery.ServerOptions(), wire.ServerOptions()...)
	options = append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if vm.pair != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(vm.pair.ServerConfig())))
	}
	server := grpc.NewServer(options...)
	s := &service{vm: vm}
	wire.RegisterControlServer(server, s)
	wire.RegisterVoterServer(server, s)
	stop := context.AfterFunc(ctx, func() { shutdown(server) })
	defer stop()
	close(vm.ready)
	return errors.Wrap(server.Serve(listener), "controlvm: gRPC listener")
}

// shutdown stops a server gracefully, and calls that are still running after stopGrace forcibly. Streams of
// entry VMs end at once, so that the entry VMs connect to another control VM.
func shutdown(server *grpc.Server) {
	timer := time.AfterFunc(stopGrace, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

// Deliver passes messages of other voters to the control log.
func (s *service) Deliver(ctx context.Context, r *wire.DeliverRequest) (*wire.DeliverReply, error) {
	err := s.vm.inbox.Post(ctx, func(now time.Time) {
		for _, m := range r.Messages {
			s.vm.step(now, controllog.MessageReceived{Message: m})
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	return &wire.DeliverReply{}, nil
}

// Apply decides a change. An error means that the outcome is unknown, or that this control VM does not
// lead. It is idempotent: a resend with the same id returns the first decision.
func (s *service) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	if r.GetChange().GetId() == "" {
		return nil, status.Error(codes.InvalidArgument, "controlvm: the change has no id; send it again with a random one")
	}
	e := &wire.Entry{Entry: &wire.Entry_Change{Change: r.Change}}
	decided, err := s.vm.commit(ctx, e)
	if err != nil {
		return nil, statusError(err)
	}
	s.vm.metrics.changes.Add(1)
	return &wire.ApplyReply{Decision: decided.decision}, nil
}

// commit proposes an entry and waits for its result. An entry that cannot be stored is refused: its write would fail at each
// control VM, which then ends.
func (vm *VM) commit(ctx context.Context, e *wire.Entry) (result, error) {
	if _, err := proto.Marshal(e); err != nil {
		return result{}, errors.Wrap(err, "controlvm: an entry that cannot be stored")
	}
	w, err := vm.proposeCall(ctx, e)
	if err != nil {
		return result{}, err
	}
	select {
	case r := <-w.answer:
		return r, r.err
	case <-ctx.Done():
		return result{}, errOutcomeUnknown
	case <-vm.ended:
		return result{}, errOutcomeUnknown
	}
}

// proposeCall proposes the entry of a call unless the call has ended by then. A caller that gave up, perhaps while this
// process was suspended, may have sent a later entry that this one would undo.
func (vm *VM) proposeCall(ctx context.Context, e *wire.Entry) (*pendingProposal, error) {
	var w *pendingProposal
	var ended error
	err := vm.inbox.Do(ctx, func(now time.Time) {
		if ended = ctx.Err(); ended == nil {
			w = vm.propose(now, e)
		}
	})
	return w, errors.CombineErrors(err, ended)
}

// Status returns the local state of this control VM. Only a leader with a valid lease includes the
// configuration and the evacuated zones, because outdated ones would mislead operators.
func (s *service) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	reply := &wire.StatusReply{}
	err := s.vm.inbox.Do(ctx, func(now time.Time) {
		vm := s.vm
		reply.Leader = vm.voter.LeaderAddress(now)
		reply.Term = vm.voter.Term()
		reply.Index = vm.voter.Committed()
		reply.Views = vm.state.Views()
		reply.Registrations = vm.state.Registrations()
		reply.Voters = vm.voter.Members(now)
		if vm.voter.HoldsLease(now) {
			reply.Configuration, reply.Evacuated = vm.state.Configuration(), vm.state.EvacuatedZones()
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	reply.Configuration = withoutVerifiers(reply.Configuration)
	return reply, nil
}

// Locate returns the leader and the members of the group as this control VM knows them. A leader makes itself known.
func (s *service) Locate(ctx context.Context, r *wire.LocateRequest) (*wire.LocateReply, error) {
	reply := &wire.LocateReply{}
	err := s.vm.inbox.Do(ctx, func(now time.Time) {
		s.vm.voter.NoticeLeader(r.GetLeader())
		reply.Leader = s.vm.voter.LeaderAddress(now)
		for _, m := range s.vm.voter.Membership().GetMembers() {
			reply.Controls = append(reply.Controls, m.Address)
		}
	})
	return reply, statusError(err)
}

// withoutVerifiers returns a copy of a configuration without the key verifiers.
func withoutVerifiers(c *wire.Configuration) *wire.Configuration {
	if c == nil {
		return nil
	}
	c = proto.CloneOf(c)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			k.Verifier = ""
		}
	}
	return c
}

// Renew extends the configuration lease of an entry VM and grants credits and connections. An entry VM is
// registered in the log before it receives any grant, so that a later leader accounts for it.
func (s *service) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	if r.GetRegistration().GetEntry() == "" {
		return nil, status.Error(codes.InvalidArgument, "controlvm: the entry VM gave no identity")
	}
	s.vm.metrics.renewals.Add(1)
	reply, known, err := s.renew(ctx, r)
	if err == nil && known && !reply.GetLeader() && reply.GetRedirect() == "" && s.awaitLeader(ctx) {
		reply, known, err = s.renew(ctx, r)
	}
	if err != nil || known {
		return reply, statusError(err)
	}
	_, err = s.vm.commit(ctx, &wire.Entry{Entry: &wire.Entry_Register{Register: r.Registration}})
	if err != nil && !errors.HasType(err, errNotLeader{}) {
		return nil, statusError(err)
	}
	reply, _, err = s.renew(ctx, r)
	return reply, statusError(err)
}

// awaitLeader waits up to leaderWait until a leader is known, so that entry VMs reach a new leader without
// a retry. It returns false if none becomes known or if this control VM belongs to no group.
func (s *service) awaitLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	w := &watcher{wake: make(chan struct{}, 1), eager: true}
	stop, err := s.subscribe(ctx, w)
	if err != nil {
		return false
	}
	defer stop()
	for {
		formed, known := false, false
		err := s.vm.inbox.Do(ctx, func(now time.Time) {
			formed, known = s.vm.voter.InGroup(), s.vm.voter.LeaderAddress(now) != ""
		})
		if err != nil || !formed {
			return false
		}
		if known {
			return true
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// renew answers a renewal. known is false if the entry VM must be registered first.
func (s *service) renew(ctx context.Context, r *wire.RenewRequest) (reply *wire.RenewReply, known bool, err error) {
	err = s.vm.inbox.Do(ctx, func(now time.Time) { reply, known = s.vm.renew(now, r) })
	return reply, known, err
}

// statusError converts an error to a gRPC status. The call may be retried after any of them.
func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.HasType(err, errNotLeader{}):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, context.Canceled):
		return status.Error(codes.Canceled, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
