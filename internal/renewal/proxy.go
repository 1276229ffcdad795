package renewal

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Proxy passes the Renews of entry VMs that reach no control VM on to the leader that its own Client
// reaches, so that a cut between an entry VM and the control VMs alone costs no credits. It passes on
// nothing that came from another Proxy, and no updates. It is safe for concurrent use.
type Proxy struct {
	wire.UnimplementedControlServer
	client *Client

	mu      sync.Mutex
	clients map[string]wire.ControlClient // by address of the control VM
	closers []io.Closer
}

// Proxy returns a Proxy for the control VMs that the Client reaches. It must be closed.
func (c *Client) Proxy() *Proxy {
	return &Proxy{client: c, clients: map[string]wire.ControlClient{}}
}

// Close ends all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, closer := range p.closers {
		closer.Close()
	}
	p.closers = nil
	clear(p.clients)
}

// control returns the connection to a control VM.
func (p *Proxy) control(address string) (wire.ControlClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.clients[address]; known != nil {
		return known, nil
	}
	fresh, closer, err := p.client.options.Dial(address)
	if err != nil {
		return nil, err
	}
	p.clients[address] = fresh
	p.closers = append(p.closers, closer)
	return fresh, nil
}

// Renew implements wire.ControlServer. A redirect names this VM, since the asking one does not reach the
// control VM that the leader would name.
func (p *Proxy) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	leader := p.client.leader()
	if leader == "" {
		return nil, status.Error(codes.Unavailable, "renewal: this entry VM reaches no control leader; ask another one")
	}
	control, err := p.control(leader)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply, err := control.Renew(ctx, r)
	if err != nil {
		return nil, err
	}
	if reply.GetRedirect() != "" {
		reply.Redirect = p.client.options.Registration.GetForward()
	}
	return reply, nil
}
