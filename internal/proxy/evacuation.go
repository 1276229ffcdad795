package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// DefaultEvacuateTime is how long after the order the instances of an evacuated availability zone may get statements, if
// Options.EvacuateTime names no time.
const DefaultEvacuateTime = 5 * time.Second

const (
	// contactGap is the time without a Renew answered by the control leader after which this VM may have missed an order. It
	// is three intervals between Renews.
	contactGap = 1500 * time.Millisecond
	// contactSettle is the time after such a gap within which the updates that were missed arrive.
	contactSettle = 2 * time.Second
)

// contact knows when this VM was last certain to have the views of the control group. It is safe for concurrent use.
type contact struct {
	mu       sync.Mutex
	last     time.Time // of the latest answered Renew; zero before the first
	regained time.Time // first Renew after a gap
	lost     time.Time // last one before the gap
}

// renewed records an answered Renew.
func (c *contact) renewed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last) > contactGap {
		c.regained, c.lost = now, c.last
	}
	c.last = now
}

// current returns the latest time at which an order that is in an update received now was certainly not in effect yet, as far
// as the delay of updates to a VM in contact may be neglected. It is the zero time if the VM has had no contact before.
func (c *contact) current(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case now.Sub(c.last) > contactGap:
		return c.last
	case now.Sub(c.regained) < contactSettle:
		return c.lost
	}
	return now
}

// updateEvacuation applies the evacuation of the zone of a member, or its withdrawal, to the member and its pool. A member that
// this VM did not know before, or which has restarted, is past the limit: there are no transactions, and nobody knows here
// when the evacuation began. The caller holds the lock.
func (g *group) updateEvacuation(now time.Time, w *wire.Member, m *member) {
	m.evacuated = w.GetEvacuated()
	if !m.evacuated {
		m.pool.Readmit()
		return
	}
	known := g.find(m.id)
	switch {
	case known == nil || known.pool != m.pool:
		m.workUntil = now
	case known.evacuated:
		m.workUntil = known.workUntil
	default:
		m.workUntil = g.contact.current(now).Add(g.transactionTime)
	}
	m.pool.Evacuate(now, m.workUntil)
}

// pastEvacuation reports whether the member gets no statement at all any more.
func (m *member) pastEvacuation(now time.Time) bool { return m.evacuated && !now.Before(m.workUntil) }

// evacuatedPrimary returns the primary if it is evacuated and no other member is known to lead, else nil. Until there is
// another one, the others need not be searched: the control group replaces it. The caller holds the lock.
func (g *group) evacuatedPrimary() *member {
	m, leader := g.find(placement.ServerID(g.primary)), g.find(g.finder.Leader())
	if m == nil || !m.evacuated || leader != nil && !leader.evacuated {
		return nil
	}
	return m
}

// allEvacuated reports whether no member takes new work, now or as the primary, before an evacuation is withdrawn: each one is
// evacuated, or leaves itself.
func (g *group) allEvacuated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.members, func(m *member) bool { return m.evacuated }) && !slices.ContainsFunc(g.members, func(m *member) bool { return !m.evacuated && !m.leaving })
}

// missingPrimaryReason returns why there is no primary for new work.
func (g *group) missingPrimaryReason() string {
	if g.allEvacuated() {
		return reasonEvacuated
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuatedPrimary() != nil {
		return reasonEvacuated
	}
	if g.stalled {
		return reasonStalled
	}
	return reasonPrimary
}

// evacuatedIDs returns the names of the evacuated members. The caller holds the lock.
func (g *group) evacuatedIDs() []string {
	var out []string
	for _, m := range g.members {
		if m.evacuated {
			out = append(out, string(m.id))
		}
	}
	return out
}

// evacuations are the zones of which members are evacuated. Only the event loop uses them.
type evacuations map[string]*zoneEvacuation

// zoneEvacuation is the evacuation of an availability zone at this VM.
type zoneEvacuation struct {
	members int // evacuated members of the groups
	ended   int // transactions that were rolled back
}

// zoneCounts counts by availability zone. It is safe for concurrent use.
type zoneCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *zoneCounts) add(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[zone]++
}

// take returns the counts and starts again from zero.
func (c *zoneCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = nil
	return out
}

// updateEvacuations logs the zones of which the evacuation began or ended with the views applied last.
func (p *Proxy) updateEvacuations() {
	members := map[string]int{}
	for _, g := range p.groups {
		g.mu.Lock()
		for _, m := range g.members {
			if m.evacuated {
				members[m.zone]++
			}
		}
		g.mu.Unlock()
	}
	for zone, n := range members {
		if z := p.evacuations[zone]; z != nil {
			z.members = n
			continue
		}
		p.evacuations[zone] = &zoneEvacuation{members: n}
		logEvacuation(zone, log.Fields{"withdrawn": false, "members": n, "open": p.openTransactions(zone)})
	}
	for zone, z := range p.evacuations {
		if members[zone] == 0 {
			delete(p.evacuations, zone)
			logEvacuation(zone, log.Fields{"withdrawn": true, "members": z.members, "ended": z.ended})
		}
	}
}

func logEvacuation(zone string, fields log.Fields) {
	log.WithFields(fields).WithFields(log.Fields{"event": "evacuation", "zone": zone}).Info("evacuation of an availability zone")
}

// openTransactions returns the number of sessions with an open transaction in a zone, without those that run a statement now.
func (p *Proxy) openTransactions(zone string) int {
	n := 0
	for _, s := range p.openSessions() {
		if !s.mu.TryLock() {
			continue
		}
		if s.tx != nil && s.tx.conn != nil && s.tx.conn.member.zone == zone {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// enforceEvacuations ends what the limit of an evacuation ends: transactions that are idle, and connections.
func (p *Proxy) enforceEvacuations(now time.Time) {
	if len(p.evacuations) == 0 {
		return
	}
	for _, g := range p.groups {
		for _, pool := range g.pools() {
			pool.EnforceEvacuation(now)
		}
	}
	for _, s := range p.openSessions() {
		if s.mu.TryLock() { // else its statement is answered first; see Handle
			s.endEvacuated(now)
			s.mu.Unlock()
		}
	}
	for zone, n := range p.endedByZone.take() {
		if z := p.evacuations[zone]; z != nil {
			z.ended += n
		}
		logEvacuation(zone, log.Fields{"withdrawn": false, "ended": n})
	}
}

const evacuatedDetail = "the availability zone of the backend server is evacuated; the transaction was rolled back; run it again"

// endEvacuated rolls the open transaction back if the limit of the evacuation of its instance has passed, and reports whether
// it did so. The next statement is answered with Aborted.
func (s *Session) endEvacuated(now time.Time) bool {
	if s.tx == nil || s.tx.conn == nil || !s.tx.conn.member.pool.Evacuated(now) {
		return false
	}
	s.proxy.metrics.evacuated.Add(1)
	s.proxy.endedByZone.add(s.tx.conn.member.zone)
	s.fail(evacuatedDetail)
	s.abortUnreported = true
	return true
}

// refuseEvacuated returns the answer to a statement of a transaction that the limit of an evacuation ends, or nil.
func (s *Session) refuseEvacuated(now time.Time, st *operation.Statement) *operation.Answer {
	if !s.endEvacuated(now) {
		return nil
	}
	a := s.handleFailed(*st)
	return &a
}

// reportAbort returns the answer to the first statement after its transaction was rolled back between two statements.
func (s *Session) reportAbort(st *operation.Statement) operation.Answer {
	s.abortUnreported = false
	if st.Kind == operation.Rollback {
		s.failed = false
		return operation.Answer{Code: operation.Done}
	}
	a := s.proxy.refuse(st.ID, operation.Aborted, reasonEvacuated, s.abortReason)
	s.failed = st.Kind != operation.Commit
	if s.failed {
		a.State = operation.Failed
	}
	return a
}

// endAfterStatement ends the transaction after the answer to its statement if the limit of an evacuation has passed meanwhile.
func (s *Session) endAfterStatement(now time.Time, a *operation.Answer) {
	if s.endEvacuated(now) {
		a.State = operation.Failed
	}
}

// connLossReason returns the reason for the end of a transaction by an error that does not concern the link to its instance. A
// pool refuses the statements of a transaction that has begun only after the limit of an evacuation.
func connLossReason(err error) string {
	if errors.Is(err, connpool.ErrClosed) {
		return reasonEvacuated
	}
	return reasonLate
}
