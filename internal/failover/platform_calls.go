package failover

import (
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// requestStatus emits a status call to a member.
func (g *platformGroup) requestStatus(now time.Time, m *wire.Member) {
	g.server(ServerID(m.GetServer())).lastProbe = now
	g.coordinator.effects = append(g.coordinator.effects, g.newCall(now, ServerID(m.GetServer()), Status))
}

// newCall returns a call to a server under the present term. One that is no member any more has no address.
func (g *platformGroup) newCall(now time.Time, id ServerID, f Function) Call {
	m := g.member(id)
	return Call{
		Group: g.id, Server: id, Address: m.GetAddress(), Function: f, Term: termOf(g.view), Born: m.GetBorn(), Sent: now,
	}
}

// callCompleted handles the outcome of a call.
func (c *PlatformCoordinator) callCompleted(now time.Time, e CallCompleted) {
	switch {
	case e.Call.Function == Reach:
		c.pause.probed(now, e.Err)
		return
	case e.Call.Function != Promote:
	case errors.Is(e.Err, ErrNotAccepted):
		c.pause.fail(now)
	default:
		c.pause.failures = 0
	}
	if g, ok := c.groups[e.Call.Group]; ok {
		g.callCompleted(now, e)
	}
}

// callCompleted handles the outcome of a call to an instance, or of an order.
func (g *platformGroup) callCompleted(now time.Time, e CallCompleted) {
	s := g.server(e.Call.Server)
	if e.Call.Function == Promote {
		g.promotionAnswered(now, s, e)
		return
	}
	a := g.attempt
	if a != nil {
		delete(a.pending, e.Call.Server)
	}
	if errors.Is(e.Err, ErrNoStatus) {
		s.lastHeard, s.unansweredSince = now, time.Time{}
		return
	}
	if e.Err != nil {
		if a != nil && g.syncReplicas() > 0 {
			delete(a.answers, e.Call.Server) // it may not lead any more
		}
		if s.unansweredSince.IsZero() {
			s.unansweredSince = s.lastProbe
		}
		return
	}
	s.lastHeard, s.unansweredSince, s.lag = now, time.Time{}, e.Report.Lag
	if e.Call.Function == Unfence {
		delete(g.unfencing, e.Call.Server)
		return
	}
	g.reportedRole(now, s, e.Report.Role == rolePrimary)
	g.observeReign(e.Report)
	g.observePosition(e)
	if a != nil {
		if e.Call.Function == Fence {
			g.replicaFenced(now, e)
		}
		a.answers[e.Call.Server], a.asked[e.Call.Server] = e.Report, e.Call.Sent
		g.advanceAttempt(now)
	}
}

// promotionAnswered handles the response to an order.
func (g *platformGroup) promotionAnswered(now time.Time, s *instance, e CallCompleted) {
	a := g.attempt
	if a == nil || uint64(e.Call.Term) != a.term || a.target != e.Call.Server || a.recorded {
		return
	}
	answered := e.Err == nil || errors.Is(e.Err, ErrRefused)
	switch {
	case answered && a.withdrawing:
		a.target, a.withdrawnAt = "", now
	case e.Err == nil:
		g.orderGranted(now, a, s, e.Report)
	case answered:
		g.orderRefused(now, s, "the order was refused: "+e.Err.Error())
	case errors.Is(e.Err, ErrNotAccepted):
		g.orderNotAccepted(now, a, "the order was not accepted: "+e.Err.Error())
	default:
		g.orderUnanswered(now, a, "the order failed: "+e.Err.Error())
	}
}
