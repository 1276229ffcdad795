package proxy

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// firstViewTimeout bounds the wait of forwarded statements for the first views of this VM.
const firstViewTimeout = 400 * time.Millisecond

// maxOwners is the number of entry VMs that are tried as the owner of the connections to an instance. All VMs try the
// same ones, so their statements meet there.
const maxOwners = 3

// peerAvoidPeriod is how long an entry VM that cannot reach an instance is not used for that instance.
const peerAvoidPeriod = 2 * time.Second

// connRequest describes the use of a connection to an instance.
type connRequest struct {
	account  string
	weight   float64
	read     bool
	pinned   bool // one connection is used for a whole transaction
	priority uint32
}

// runner runs statements on one connection to an instance, of this VM or of another entry VM.
type runner interface {
	Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error)
	Prove(ctx context.Context, l connpool.Limit, maxAge time.Duration) (connpool.Proof, error)
	Release()
}

// serverConn is a runner that records the latency and reachability of the instance.
type serverConn struct {
	runner
	group       *group
	member      *member
	request     connRequest
	wait        time.Duration // for a slot, as expected when the latest statements were sent; if waitKnown is set
	waitKnown   bool
	peerAddress string // address of the other entry VM; empty if the connection is here
}

// newConn returns a serverConn for an instance. It uses the entry VM that owns the connections to the
// instance, or the pool of this VM if it is the owner or cannot use the owner.
func (g *group) newConn(m *member, a connRequest) *serverConn {
	via := g.owner(g, m)
	g.mu.Lock()
	g.recentAccount = a.account
	g.mu.Unlock()
	c := &serverConn{group: g, member: m, request: a, peerAddress: via}
	if via != "" {
		h, err := g.forward.NewHandle(forward.Request{
			Address: via, Server: string(m.id), Account: a.account, Weight: a.weight, Read: a.read, Pinned: a.pinned, Priority: a.priority,
		})
		if err == nil {
			c.runner = h
			return c
		}
		c.peerAddress = ""
	}
	h := m.pool.NewHandle(a.account, a.weight, a.read)
	h.SetPriority(a.priority)
	c.runner = h
	return c
}

// Server returns the name of the instance.
func (c *serverConn) Server() string { return string(c.member.id) }

// Run runs statements and records how the instance answers.
func (c *serverConn) Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error) {
	g := c.group
	sent := c.recordSent()
	answers, err := c.runner.Run(ctx, l, values, statements...)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.record(sent, statements, answers, err)
	return answers, err
}

// Prove requests a proof that the instance leads, and records how the instance answers. A proof from before the
// request does not show that the instance answers now.
func (c *serverConn) Prove(ctx context.Context, l connpool.Limit, maxAge time.Duration) (connpool.Proof, error) {
	g := c.group
	sent := c.recordSent()
	proof, err := c.runner.Prove(ctx, l, maxAge)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err != nil:
		c.record(sent, nil, nil, err)
	case proof.Sent.Before(sent):
		c.member.stats.Refused(g.now())
	default:
		c.record(sent, nil, []operation.Answer{proof.Answer}, nil)
	}
	return proof, err
}

// recordSent records the sending of statements and returns its time.
func (c *serverConn) recordSent() time.Time {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	sent := c.group.now()
	c.member.stats.Sent(sent)
	c.expectWait(sent)
	return sent
}

// record updates the statistics of the instance with the outcome. The caller holds the lock of the group.
func (c *serverConn) record(sent time.Time, statements []operation.Statement, answers []operation.Answer, err error) {
	now := c.group.now()
	if h, ok := c.runner.(*forward.Handle); ok && err == nil {
		load := h.Load()
		c.member.stats.Queued(now, load.Running+load.Waiting)
	}
	c.recordWaits(now, sent, statements, err)
	missed := c.member.stats.Failing()
	defer func() {
		if missed != c.member.stats.Failing() {
			c.logReachability(now.Sub(sent), err)
		}
	}()
	switch {
	case err == nil || len(answers) > 0:
		c.member.stats.Answered(now, sent, lastPosition(answers), operation.AnyNeedsSlot(statements)) // only statements that need a slot measure the load
	case isUnreachable(err):
		c.member.stats.Failed(now)
	default:
		c.member.stats.Refused(now)
	}
	// A lost connection alone does not change the owner: if two entry VMs queued statements for one instance,
	// neither would know its load.
	if c.peerAddress != "" && (errors.Is(err, connpool.ErrClosed) || errors.Is(err, connpool.ErrUnreachable)) {
		c.member.avoidUntil[c.peerAddress] = now.Add(peerAvoidPeriod)
	}
}

// logReachability logs that an instance became unreachable or reachable again.
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

// lastPosition returns the last log position in the answers.
func lastPosition(answers []operation.Answer) position.Position {
	for i := len(answers) - 1; i >= 0; i-- {
		if !answers[i].At.IsZero() {
			return answers[i].At
		}
	}
	return position.Position{}
}

// proofAccount returns the client account served last. Requests for proofs run on its connections.
func (g *group) proofAccount() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recentAccount
}

// isUnreachable reports whether an error shows that the instance does not answer. The loss of the entry VM
// that owns the connections does not show that.
func isUnreachable(err error) bool {
	if errors.Is(err, forward.ErrPeerLost) {
		return false
	}
	return errors.Is(err, connpool.ErrUnreachable) || errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrNotSent)
}

// isOutcomeUnknown reports whether the statement without an answer may have run.
func isOutcomeUnknown(err error) bool {
	return errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrAnswerTimeout)
}

// owner returns the address of the entry VM that is used as the owner of the connections to an instance, or "" for
// this VM. It waits briefly while the connection to a candidate is being opened: otherwise, after a restart or when an
// owner does not answer, every VM would open connections of its own, for which the instance has neither room in its
// connection limit nor time.
func (p *Proxy) owner(g *group, m *member) string {
	for _, e := range g.ownerCandidates(m, p.ownership.Load()) {
		if e.ID == p.options.Process {
			return ""
		}
		if p.forward.AwaitUsable(e.Address) {
			return e.Address
		}
	}
	return ""
}

// ownerCandidates returns the first entry VMs that may own the connections to an instance, preferred first, without
// those that could not reach it within peerAvoidPeriod.
func (g *group) ownerCandidates(m *member, ownership *placement.Ownership) []placement.EntryVM {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	all := ownership.Of(string(m.id))
	if m.isCold(now) {
		all = []placement.EntryVM{g.soleOwner(m, ownership)}
	}
	out := make([]placement.EntryVM, 0, maxOwners)
	for _, e := range all[:min(len(all), maxOwners)] {
		if e.Address == "" {
			continue
		}
		if !now.Before(m.avoidUntil[e.Address]) && g.sameRegion(e.Zone, m.zone) {
			out = append(out, e)
		}
	}
	return out
}

// MaxIdle implements forward.Host.
func (p *Proxy) MaxIdle() time.Duration { return p.config.Load().idle }

// Pool implements forward.Host. A VM that has just started waits briefly for its first views; otherwise the
// others would conclude that the instance has left and use other entry VMs.
func (p *Proxy) Pool(ctx context.Context, server string) *connpool.Pool {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	select {
	case <-p.viewsReady:
	case <-ctx.Done():
		return nil
	}
	if p.closing(p.options.Now()) {
		return nil
	}
	return (*p.pools.Load())[server]
}
