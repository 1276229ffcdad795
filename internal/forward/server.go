package forward

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/recovery"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// keepaliveInterval and keepaliveTimeout end the connection of an entry VM that vanished. Transactions do not wait
	// for that (see idleMargin): each entry VM has a connection of each other one, most of them idle, and more frequent
	// probes would take a large part of the processor time and of the bytes between the VMs.
	keepaliveInterval = 30 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// idleMargin is the time after the limit for idle transactions at which the transaction of another entry VM is
	// rolled back. That VM ends it earlier if it still runs.
	idleMargin = time.Second
	// stopGrace is the time that statements in progress get when the VM stops.
	stopGrace = 300 * time.Millisecond
)

// Host is the entry VM behind a Server: its connections, and what it keeps for its availability zone. It is safe for
// concurrent use.
type Host interface {
	// Pool returns nil if the VM does not serve the backend server or shuts down. On a VM that has just started
	// it may wait until ctx ends.
	Pool(ctx context.Context, server string) *connpool.Pool
	// Proofs returns the proofs of a database group that this VM keeps for its availability zone. known is false if
	// it does not serve the group.
	Proofs(ctx context.Context, r ProofsRequest) (proofs []freshness.Proof, known bool)
	// Spend spends a credit of a client account. known is false if this VM cannot tell whether there is one.
	Spend(ctx context.Context, r SpendRequest) (result lease.Result, known bool)
	// PoolCredits takes over credits that another entry VM has accrued. It returns false if an issuer answers this VM.
	PoolCredits(credits []PooledCredit) bool
	// MaxIdle returns the time after which an idle transaction is ended by the entry VM of its caller.
	MaxIdle() time.Duration
}

// Server runs statements that other entry VMs forward.
type Server struct {
	wire.UnimplementedForwardServer
	host Host
	now  func() time.Time
}

// NewServer returns a Server that runs statements on the connections of a host.
func NewServer(host Host, now func() time.Time) *Server {
	return &Server{host: host, now: now}
}

// Serve accepts requests on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	options := append(recovery.ServerOptions(), wire.ServerOptions()...)
	options = append(options, grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	server := grpc.NewServer(options...)
	wire.RegisterForwardServer(server, s)
	defer context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(stopGrace, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})()
	return errors.Wrap(server.Serve(l), "forward: listener")
}

// Run implements wire.ForwardServer.
func (s *Server) Run(ctx context.Context, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if len(r.GetSteps()) == 0 {
		return &wire.ForwardReply{}, nil // a probe
	}
	pool := s.host.Pool(ctx, r.GetServer())
	if pool == nil {
		return &wire.ForwardReply{Failure: wire.Failure_FAILURE_LEFT}, nil
	}
	h := newHandle(pool, r)
	defer h.Release()
	if r.GetProofAge() > 0 {
		return s.prove(ctx, pool, h, r), nil
	}
	return s.run(ctx, pool, h, r), nil
}

// newHandle returns a Handle for the statements of a request.
func newHandle(pool *connpool.Pool, r *wire.ForwardRequest) *connpool.Handle {
	h := pool.NewHandle(r.GetAccount(), r.GetWeight(), r.GetRead())
	h.SetPriority(r.GetPriority())
	return h
}

// prove answers a request for a proof.
func (s *Server) prove(ctx context.Context, pool *connpool.Pool, h *connpool.Handle, r *wire.ForwardRequest) *wire.ForwardReply {
	now := s.now()
	limit := connpool.Limit{Until: now.Add(time.Duration(r.GetLimit()) * time.Microsecond)}
	proof, err := h.Prove(ctx, limit, time.Duration(r.GetProofAge())*time.Microsecond)
	if err != nil {
		return reply(pool, nil, err)
	}
	out := reply(pool, []operation.Answer{proof.Answer}, nil)
	out.ProofAge = max(now.Sub(proof.Sent).Microseconds(), 0)
	return out
}

// Hold implements wire.ForwardServer. It ends without an error when the entry VM of the caller has left the transaction
// idle for too long: that VM may have vanished, or be frozen.
func (s *Server) Hold(stream wire.Forward_HoldServer) error {
	var pool *connpool.Pool
	var h *connpool.Handle
	defer func() {
		if h != nil {
			h.Release()
		}
	}()
	requests := receive(stream)
	idle := time.NewTimer(s.host.MaxIdle() + idleMargin)
	defer idle.Stop()
	for {
		var r *wire.ForwardRequest
		select {
		case received := <-requests:
			if received.err != nil {
				return received.err
			}
			r = received.request
		case <-idle.C:
			return nil
		}
		if r == nil {
			return nil
		}
		if h == nil {
			if pool = s.host.Pool(stream.Context(), r.GetServer()); pool == nil {
				return stream.Send(&wire.ForwardReply{Failure: wire.Failure_FAILURE_LEFT})
			}
			h = newHandle(pool, r)
		}
		reply := s.run(stream.Context(), pool, h, r)
		if err := stream.Send(reply); err != nil {
			return err
		}
		if h.Broken() {
			return nil
		}
		idle.Reset(s.host.MaxIdle() + idleMargin)
	}
}

// received is the next request of a stream, its end (neither field is set), or its failure.
type received struct {
	request *wire.ForwardRequest
	err     error
}

// receive returns the requests of a stream until its end, its failure, or the end of its handler.
func receive(stream wire.Forward_HoldServer) <-chan received {
	out := make(chan received)
	go func() {
		for {
			r, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				r, err = nil, nil
			}
			select {
			case out <- received{r, err}:
			case <-stream.Context().Done():
				return
			}
			if r == nil {
				return
			}
		}
	}()
	return out
}

// run runs the steps of one request. The end of the caller's context does not interrupt a statement that was
// already sent; only the time limit does.
func (s *Server) run(ctx context.Context, pool *connpool.Pool, h *connpool.Handle, r *wire.ForwardRequest) *wire.ForwardReply {
	now := s.now()
	limit := connpool.Limit{Until: now.Add(time.Duration(r.GetLimit()) * time.Microsecond)}
	if r.GetTarget() != 0 {
		limit.Target = now.Add(time.Duration(r.GetTarget()) * time.Microsecond)
	}
	answers, err := h.Run(ctx, limit, r.GetValues(), decodeSteps(r.GetSteps())...)
	out := reply(pool, answers, err)
	out.Waits = encodeWaits(h.Waits())
	return out
}

// reply returns the reply with the outcome of statements and the load of the pool.
func reply(pool *connpool.Pool, answers []operation.Answer, err error) *wire.ForwardReply {
	failure, code := encodeFailure(err)
	load := pool.Load()
	return &wire.ForwardReply{
		Results: encodeAnswers(answers), Failure: failure, Code: uint32(code),
		Running: uint32(load.Running), Waiting: uint32(load.Waiting),
	}
}
