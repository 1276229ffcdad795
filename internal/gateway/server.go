package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/recovery"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// replyTimeout bounds the answer to a control VM that looks for the group.
const replyTimeout = 400 * time.Millisecond

// service implements the calls that entry VMs and control VMs make to control VMs: it names the leader.
type service struct {
	wire.UnimplementedControlServer
	wire.UnimplementedVoterServer
	gateway *Gateway
}

// Serve serves other VMs until the context ends.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(append(recovery.ServerOptions(), wire.ServerOptions()...)...)
	s := &service{gateway: g}
	wire.RegisterControlServer(server, s)
	wire.RegisterVoterServer(server, s)
	defer context.AfterFunc(ctx, server.Stop)()
	return errors.Wrap(server.Serve(listener), "gateway: gRPC listener")
}

// Locate names the leader, as far as it is known here. A leader makes itself known.
func (s *service) Locate(_ context.Context, r *wire.LocateRequest) (*wire.LocateReply, error) {
	if r.GetLeader() != "" {
		s.gateway.learn(r.GetLeader(), r.GetControls())
		s.gateway.recordSuccess(clock.Now(), r.GetLeader())
	}
	return s.gateway.known(), nil
}

// Renew redirects an entry VM to the leader.
func (s *service) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	leader, err := s.gateway.locate(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.RenewReply{Redirect: leader, Sequence: r.GetSequence()}, nil
}

// Watch refuses: the state comes from a member of the group.
func (s *service) Watch(*wire.WatchRequest, grpc.ServerStreamingServer[wire.Update]) error {
	return status.Error(codes.Unavailable, "gateway: this control VM has no state; watch a member of the group")
}

// Deliver answers control VMs that look for the group.
func (s *service) Deliver(_ context.Context, r *wire.DeliverRequest) (*wire.DeliverReply, error) {
	for _, m := range r.GetMessages() {
		if m.GetHello() != nil && m.GetAddress() != "" {
			s.gateway.answerHello(m)
		}
	}
	return &wire.DeliverReply{}, nil
}

// answerHello tells a control VM that looks for the group who leads it.
func (g *Gateway) answerHello(m *wire.VoterMessage) {
	leader := g.known().GetLeader()
	reply := &wire.VoterMessage{To: m.GetFrom(), Address: g.options.Address, Body: &wire.VoterMessage_HelloReply{
		HelloReply: &wire.HelloReply{Formed: leader != "", Leader: leader, Gateway: true},
	}}
	client, closer, err := g.options.DialVoter(m.GetAddress())
	if err != nil {
		return
	}
	go func() {
		defer closer.Close()
		ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
		defer cancel()
		_, _ = client.Deliver(ctx, &wire.DeliverRequest{Messages: []*wire.VoterMessage{reply}}) // the control VM asks again
	}()
}

// known returns the leader and the members as known here.
func (g *Gateway) known() *wire.LocateReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.LocateReply{Leader: g.leader, Controls: g.learned}
}
