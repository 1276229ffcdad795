package proxy

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// firstViewTimeout bounds the wait of other entry VMs' statements for the first views of this VM.
const firstViewTimeout = 400 * time.Millisecond

// peerAvoidPeriod is how long an entry VM that does not reach an instance is passed over for it.
const peerAvoidPeriod = 2 * time.Second

// connRequest says what a connection to an instance is for.
type connRequest struct {
	account string
	weight  float64
	read    bool
	pinned  bool // it is kept for a transaction
}

// runner runs statements on one connection of an instance, here or at another entry VM.
type runner interface {
	Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error)
	Release()
}

// serverConn is a holder that notes what it sees of the instance.
type serverConn struct {
	runner
	group       *group
	member      *member
	peerAddress string // address of the other entry VM; empty if the connection is here
}

// newConn returns a holder for an instance: by the entry VM that keeps the connections to it, or by a
// connection of this VM if that one does not answer.
func (g *group) newConn(m *member, a connRequest) *serverConn {
	g.awaitOwner(m)
	g.mu.Lock()
	g.recentAccount = a.account
	via := g.usableOwner(m, g.now())
	m.lastPeer = via
	g.mu.Unlock()
	c := &serverConn{group: g, member: m, peerAddress: via}
	if via != "" {
		h, err := g.forward.NewHandle(forward.Request{
			Address: via, Server: string(m.id), Account: a.account, Weight: a.weight, Read: a.read, Pinned: a.pinned,
		})
		if err == nil {
			c.runner = h
			return c
		}
		c.peerAddress = ""
	}
	c.runner = m.pool.NewHandle(a.account, a.weight, a.read)
	return c
}

// awaitOwner waits a short while for the connection to the entry VM that keeps those to an instance, if it is
// being opened. Without it, each VM opens connections of its own after a restart, for which the instance
// has neither room nor time.
func (g *group) awaitOwner(m *member) {
	g.mu.Lock()
	address := g.preferredOwner(m)
	g.mu.Unlock()
	if address != "" {
		g.forward.AwaitConnection(address)
	}
}

// Server returns the name of the instance.
func (c *serverConn) Server() string { return string(c.member.id) }

// Run runs statements and notes how the instance answers.
func (c *serverConn) Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error) {
	g := c.group
	sent := g.now()
	g.mu.Lock()
	c.member.stats.Sent(sent)
	g.mu.Unlock()
	answers, err := c.runner.Run(ctx, l, values, statements...)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.record(sent, statements, answers, err)
	return answers, err
}

// record takes the outcome into account. The lock is held.
func (c *serverConn) record(sent time.Time, statements []operation.Statement, answers []operation.Answer, err error) {
	now := c.group.now()
	if h, ok := c.runner.(*forward.Handle); ok && err == nil {
		load := h.Load()
		c.member.stats.Queued(now, load.Running+load.Waiting)
	}
	missed := c.member.stats.Failing()
	defer func() {
		if missed != c.member.stats.Failing() {
			c.logReachability(now.Sub(sent), err)
		}
	}()
	switch {
	case err == nil || len(answers) > 0:
		c.member.stats.Answered(now, sent, lastPosition(answers), operation.AnyNeedsSlot(statements)) // only their time tells how busy an instance is
	case isUnreachable(err):
		c.member.stats.Failed(now)
	default:
		c.member.stats.Refused(now)
	}
	// A lost connection alone is no reason to go another way: with two queues for one instance, neither
	// sees how full it is.
	if c.peerAddress != "" && (errors.Is(err, connpool.ErrClosed) || errors.Is(err, connpool.ErrUnreachable)) {
		c.member.avoidUntil[c.peerAddress] = now.Add(peerAvoidPeriod)
	}
}

// logReachability logs that an instance was lost or regained.
func (c *serverConn) logReachability(elapsed time.Duration, err error) {
	fields := log.Fields{
		"event": "dependency", "dependency": "server", "group": c.group.name, "server": c.Server(), "via": c.peerAddress,
		"reached": err == nil, "elapsed": elapsed,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	log.WithFields(fields).Info("backend server")
}

// lastPosition returns the last position that answers name.
func lastPosition(answers []operation.Answer) position.Position {
	for i := len(answers) - 1; i >= 0; i-- {
		if !answers[i].At.IsZero() {
			return answers[i].At
		}
	}
	return position.Position{}
}

// proofAccount returns the client account served last, for connections of the system itself.
func (g *group) proofAccount() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recentAccount
}

// isUnreachable reports whether an error tells that the instance does not answer. The loss of the entry VM
// that keeps the connections tells nothing of it.
func isUnreachable(err error) bool {
	if errors.Is(err, forward.ErrPeerLost) {
		return false
	}
	return errors.Is(err, connpool.ErrUnreachable) || errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrNotSent)
}

// isOutcomeUnknown reports whether it is not known if the statement without an answer ran.
func isOutcomeUnknown(err error) bool {
	return errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrAnswerTimeout)
}

// preferredOwner returns the address of the entry VM that is to keep the connections to an instance, or "" for this
// VM or none. The lock of the group is held.
func (p *Proxy) preferredOwner(m *member) string {
	all := m.candidates(p.entries.Load())
	if len(all) == 0 || all[0].ID == p.options.Process {
		return ""
	}
	return all[0].Address
}

// usableOwner returns the address of the entry VM that keeps the connections to an instance, or "" for this
// VM. The lock of the group is held.
func (p *Proxy) usableOwner(m *member, now time.Time) string {
	for _, e := range m.candidates(p.entries.Load()) {
		if e.ID == p.options.Process {
			return ""
		}
		if now.Before(m.avoidUntil[e.Address]) {
			continue
		}
		if p.forward.Usable(e.Address) {
			return e.Address
		}
	}
	return ""
}

// Pool implements forward.Pools. A VM that has just started waits a short while for its first views: the
// others would take an instance for gone and go other ways.
func (p *Proxy) Pool(ctx context.Context, server string) *connpool.Pool {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	select {
	case <-p.viewsReady:
	case <-ctx.Done():
		return nil
	}
	if p.closing.Load() {
		return nil
	}
	return (*p.pools.Load())[server]
}
