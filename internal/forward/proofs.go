package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// ErrNoProofs reports that the other entry VM keeps no proofs of the database group.
var ErrNoProofs = errors.New("forward: the entry VM does not serve the database group")

// ProofsRequest identifies the proofs that an entry VM requests from another one.
type ProofsRequest struct {
	Group   string
	Account string        // client account for which a connection may be opened
	Age     time.Duration // the newest proof must not be older
	Since   time.Time     // only newer proofs are returned
}

// Proofs requests proofs of a database group from the entry VM at an address. The times of the proofs are not later
// than the statements were sent.
func (c *Client) Proofs(ctx context.Context, address string, r ProofsRequest) ([]freshness.Proof, error) {
	p, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	now := c.now()
	ended := p.track(c.now)
	reply, err := p.client.Proofs(ctx, &wire.ProofsRequest{
		Group: r.Group, Account: r.Account, Age: r.Age.Microseconds(), Since: now.Sub(r.Since).Microseconds(),
	})
	ended(err)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "forward: proofs"), ErrPeerLost)
	}
	if !reply.GetKnown() {
		return nil, ErrNoProofs
	}
	proofs := make([]freshness.Proof, 0, len(reply.GetProofs()))
	for _, d := range reply.GetProofs() {
		age := max(time.Duration(d.GetAge())*time.Microsecond, 0)
		proofs = append(proofs, freshness.Proof{Sent: now.Add(-age), At: decodePosition(d.GetAt())})
	}
	return proofs, nil
}

// Proofs implements wire.ForwardServer.
func (s *Server) Proofs(ctx context.Context, r *wire.ProofsRequest) (*wire.ProofsReply, error) {
	now := s.now()
	proofs, known := s.host.Proofs(ctx, ProofsRequest{
		Group: r.GetGroup(), Account: r.GetAccount(), Age: time.Duration(r.GetAge()) * time.Microsecond,
		Since: now.Add(-time.Duration(r.GetSince()) * time.Microsecond),
	})
	reply := &wire.ProofsReply{Known: known}
	for _, p := range proofs {
		reply.Proofs = append(reply.Proofs, &wire.DatedPosition{Age: now.Sub(p.Sent).Microseconds(), At: encodePosition(p.At)})
	}
	return reply, nil
}
