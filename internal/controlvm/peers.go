package controlvm

import (
	"sync"

	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// peers caches connections to control VMs. A control VM uses them to forward calls to the leader, an
// operator's client to call the control group. It is safe for concurrent use.
type peers struct {
	pair *certificate.Reloader

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

func newPeers(pair *certificate.Reloader) *peers {
	return &peers{pair: pair, conns: map[string]*grpc.ClientConn{}}
}

// client returns a client of the control VM at the address.
func (p *peers) client(address string) (wire.ControlClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		var err error
		if conn, err = Dial(address, p.pair); err != nil {
			return nil, err
		}
		p.conns[address] = conn
	}
	return wire.NewControlClient(conn), nil
}

// close closes all connections.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
