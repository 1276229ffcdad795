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

// viewWait bounds the wait of other entry VMs' statements for the first views of this VM.
const viewWait = 400 * time.Millisecond

// unreachedFor is how long an entry VM that does not reach an instance is passed over for it.
const unreachedFor = 2 * time.Second

// ask says what a connection to an instance is for.
type ask struct {
	account string
	weight  float64
	read    bool
	hold    bool // it is kept for a transaction
}

// holder runs statements on one connection of an instance, here or at another entry VM.
type holder interface {
	Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error)
	Release()
}

// way is a holder that notes what it sees of the instance.
type way struct {
	holder
	group  *group
	member *member
	via    string // address of the other entry VM; empty if the connection is here
}

// way returns a holder for an instance: by the entry VM that keeps the connections to it, or by a
// connection of this VM if that one does not answer.
func (g *group) way(m *member, a ask) *way {
	g.await(m)
	g.mu.Lock()
	g.account = a.account
	via := g.owner(m, g.now())
	m.via = via
	g.mu.Unlock()
	w := &way{group: g, member: m, via: via}
	if via != "" {
		h, err := g.forward.NewHandle(forward.Request{
			Address: via, Server: string(m.id), Account: a.account, Weight: a.weight, Read: a.read, Pinned: a.hold,
		})
		if err == nil {
			w.holder = h
			return w
		}
		w.via = ""
	}
	w.holder = m.lane.NewHandle(a.account, a.weight, a.read)
	return w
}

// await waits a short while for the connection to the entry VM that keeps those to an instance, if it is
// being opened. Without it, each VM opens connections of its own after a restart, for which the instance
// has neither room nor time.
func (g *group) await(m *member) {
	g.mu.Lock()
	address := g.keeper(m)
	g.mu.Unlock()
	if address != "" {
		g.forward.AwaitConnection(address)
	}
}

// Server returns the name of the instance.
func (w *way) Server() string { return string(w.member.id) }

// Run runs statements and notes how the instance answers.
func (w *way) Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error) {
	g := w.group
	sent := g.now()
	g.mu.Lock()
	w.member.sense.Sent(sent)
	g.mu.Unlock()
	answers, err := w.holder.Run(ctx, l, values, statements...)
	g.mu.Lock()
	defer g.mu.Unlock()
	w.note(sent, statements, answers, err)
	return answers, err
}

// note takes the outcome into account. The lock is held.
func (w *way) note(sent time.Time, statements []operation.Statement, answers []operation.Answer, err error) {
	now := w.group.now()
	if h, ok := w.holder.(*forward.Handle); ok && err == nil {
		load := h.Load()
		w.member.sense.Queued(now, load.Running+load.Waiting)
	}
	missed := w.member.sense.Failing()
	defer func() {
		if missed != w.member.sense.Failing() {
			w.tell(now.Sub(sent), err)
		}
	}()
	switch {
	case err == nil || len(answers) > 0:
		w.member.sense.Answered(now, sent, lastPosition(answers), operation.AnyNeedsSlot(statements)) // only their time tells how busy an instance is
	case isLost(err):
		w.member.sense.Failed(now)
	default:
		w.member.sense.Refused(now)
	}
	// A lost connection alone is no reason to go another way: with two queues for one instance, neither
	// sees how full it is.
	if w.via != "" && (errors.Is(err, connpool.ErrClosed) || errors.Is(err, connpool.ErrUnreachable)) {
		w.member.shunned[w.via] = now.Add(unreachedFor)
	}
}

// tell logs that an instance was lost or regained.
func (w *way) tell(elapsed time.Duration, err error) {
	fields := log.Fields{
		"event": "dependency", "dependency": "server", "group": w.group.name, "server": w.Server(), "via": w.via,
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

// lastAccount returns the client account served last, for connections of the system itself.
func (g *group) lastAccount() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account
}

// isLost reports whether an error tells that the instance does not answer. The loss of the entry VM
// that keeps the connections tells nothing of it.
func isLost(err error) bool {
	if errors.Is(err, forward.ErrPeerLost) {
		return false
	}
	return errors.Is(err, connpool.ErrUnreachable) || errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrNotSent)
}

// isUnknown reports whether it is not known if the statement without an answer ran.
func isUnknown(err error) bool {
	return errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrAnswerTimeout)
}

// keeper returns the address of the entry VM that is to keep the connections to an instance, or "" for this
// VM or none. The lock of the group is held.
func (r *Proxy) keeper(m *member) string {
	all := m.candidates(r.entries.Load())
	if len(all) == 0 || all[0].ID == r.options.Process {
		return ""
	}
	return all[0].Address
}

// owner returns the address of the entry VM that keeps the connections to an instance, or "" for this
// VM. The lock of the group is held.
func (r *Proxy) owner(m *member, now time.Time) string {
	for _, e := range m.candidates(r.entries.Load()) {
		if e.ID == r.options.Process {
			return ""
		}
		if now.Before(m.shunned[e.Address]) {
			continue
		}
		if r.forward.Usable(e.Address) {
			return e.Address
		}
	}
	return ""
}

// Pool implements forward.Pools. A VM that has just started waits a short while for its first views: the
// others would take an instance for gone and go other ways.
func (r *Proxy) Pool(ctx context.Context, server string) *connpool.Pool {
	ctx, cancel := context.WithTimeout(ctx, viewWait)
	defer cancel()
	select {
	case <-r.viewed:
	case <-ctx.Done():
		return nil
	}
	if r.closing.Load() {
		return nil
	}
	return (*r.lanes.Load())[server]
}
