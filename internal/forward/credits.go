package forward

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// ErrNoCredits reports that the other entry VM keeps no credits of the client account. It has spent none.
var ErrNoCredits = errors.New("forward: the entry VM keeps no credits of the client account")

// SpendRequest identifies the credit that an entry VM requests from another one.
type SpendRequest struct {
	Account lease.AccountID
	Limit   time.Duration // the operation may wait for so long
	Target  time.Time     // time after which the answer is late for the caller; zero for none
	// Disconnected states that no issuer answers the entry VM that sends the request.
	Disconnected bool
}

// PooledCredit is the part of the rate of a client account that an entry VM hands over.
type PooledCredit struct {
	Account lease.AccountID
	Amount  float64 // credits, which the entry VM will not spend itself
}

// Spend requests a credit of a client account from the entry VM at an address. After an error other than ErrNoCredits the
// credit may have been spent for nothing.
func (c *Client) Spend(ctx context.Context, address string, r SpendRequest) (lease.Result, error) {
	p, err := c.peer(address)
	if err != nil {
		return lease.Result{}, err
	}
	request := &wire.SpendRequest{Account: string(r.Account), Limit: r.Limit.Microseconds(), Disconnected: r.Disconnected}
	if !r.Target.IsZero() {
		request.Target = cmp.Or(r.Target.Sub(c.now()).Microseconds(), -1) // 0 on the wire states no target
	}
	ended := p.track(c.now)
	reply, err := p.client.Spend(ctx, request)
	ended(err)
	switch {
	case err != nil:
		return lease.Result{}, errors.Mark(errors.Wrap(err, "forward: credit"), ErrPeerLost)
	case !reply.GetKnown():
		return lease.Result{}, ErrNoCredits
	case reply.GetAdmitted():
		return lease.Result{Verdict: lease.Admitted}, nil
	}
	return lease.Result{Verdict: lease.Refused, Retry: time.Duration(reply.GetRetry()) * time.Microsecond}, nil
}

// Spend implements wire.ForwardServer.
func (s *Server) Spend(ctx context.Context, r *wire.SpendRequest) (*wire.SpendReply, error) {
	request := SpendRequest{Account: lease.AccountID(r.GetAccount()), Limit: time.Duration(r.GetLimit()) * time.Microsecond, Disconnected: r.GetDisconnected()}
	if r.GetTarget() != 0 {
		request.Target = s.now().Add(time.Duration(r.GetTarget()) * time.Microsecond)
	}
	result, known := s.host.Spend(ctx, request)
	return &wire.SpendReply{Known: known, Admitted: known && result.Verdict == lease.Admitted, Retry: result.Retry.Microseconds()}, nil
}

// HandOver gives credits to the entry VM at an address. pooled is false if that one hears from an issuer. The credits are lost
// then, and after an error they may be.
func (c *Client) HandOver(ctx context.Context, address string, credits []PooledCredit) (pooled bool, err error) {
	p, err := c.peer(address)
	if err != nil {
		return false, err
	}
	request := &wire.PoolRequest{}
	for _, credit := range credits {
		request.Credits = append(request.Credits, &wire.PooledCredit{Account: string(credit.Account), Amount: credit.Amount})
	}
	ended := p.track(c.now)
	reply, err := p.client.Pool(ctx, request)
	ended(err)
	if err != nil {
		return false, errors.Mark(errors.Wrap(err, "forward: pooled credits"), ErrPeerLost)
	}
	return reply.GetPooled(), nil
}

// Pool implements wire.ForwardServer.
func (s *Server) Pool(_ context.Context, r *wire.PoolRequest) (*wire.PoolReply, error) {
	credits := make([]PooledCredit, 0, len(r.GetCredits()))
	for _, c := range r.GetCredits() {
		credits = append(credits, PooledCredit{Account: lease.AccountID(c.GetAccount()), Amount: c.GetAmount()})
	}
	return &wire.PoolReply{Pooled: s.host.PoolCredits(credits)}, nil
}
