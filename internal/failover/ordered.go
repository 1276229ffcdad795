package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// PlatformCoordinator is the Policy for instances that take part in no promises: a platform moves the lead to
// the instance that it is told, and takes it from the former primary at that moment. It refuses
// orders with a lower term than one it has seen for the group.
//
// Invariants: each order names a term that this PlatformCoordinator itself made durable, so that no other
// control VM orders with it. After an order without an answer the next one has a higher term, so
// that the platform refuses the earlier one if it is carried out late.
type PlatformCoordinator struct {
	groups map[GroupID]*orderedGroup
	order  []*orderedGroup // sorted by id
	last   time.Time
	made   []Effect
}

// Times of Ordered.
const (
	// voteSilence is how long a voter must have been without the primary for its vote to count. It is
	// above two retransmissions of TCP between zones.
	voteSilence = 450 * time.Millisecond
	// voteAge is how long the sight of an entry VM counts: two Renews.
	voteAge = 1200 * time.Millisecond
	// aloneSilence is the silence of a primary that no entry VM reports on, before it is replaced.
	aloneSilence = 3 * time.Second
	// orderProbe is the time between probes of a primary that somebody misses.
	orderProbe = 200 * time.Millisecond
	// beatSilence is the time without an announcement after which the primary is probed.
	beatSilence = 3 * time.Second
	// askWait is how long the members' positions are waited for once most have answered or failed.
	askWait = 350 * time.Millisecond
	// orderWait is how long the platform may take to accept an order, which it carries out later.
	orderWait = 250 * time.Millisecond
	// answersCount is how long the members' answers count for the next order, if one got no answer.
	answersCount = 3 * time.Second
	// claimWait lets a new primary's claim win over the former view.
	claimWait = 1500 * time.Millisecond
	// readyLag is the lag of a replica that may take over from a leaving primary within a short hold of writes.
	readyLag = 100 * time.Millisecond
	// leaveMost is how long a leaving primary waits for a replica to come near.
	leaveMost = 3 * time.Second
	// holdLeast lets entry VMs hear that writes are held before positions are compared.
	holdLeast = 60 * time.Millisecond
	// holdMost bounds the hold of writes.
	holdMost = 600 * time.Millisecond
	// barred is how long an instance is not ordered again after the platform refused that.
	barred = 2 * time.Second
)

// NewPlatformCoordinator returns the Ordered of a control leader.
func NewPlatformCoordinator() *PlatformCoordinator {
	return &PlatformCoordinator{groups: map[GroupID]*orderedGroup{}}
}

// orderedGroup is one database group.
type orderedGroup struct {
	policy   *PlatformCoordinator
	id       GroupID
	view     *wire.View
	servers  map[ServerID]*instance
	votes    map[string]vote // by entry VM
	attempt  *attempt        // nil while none runs
	previous *attempt        // the one before; its answers count while they are recent
	raised   uint64          // highest term that this policy proposed
	asked    time.Time       // when it was proposed
	reason   string
	avoid    ServerID // primary that most entry VMs miss; not chosen while another can be
	cleared  time.Time
}

// instance is what is known of a member or a server that may become one.
type instance struct {
	claims  bool      // it said last that it leads
	since   time.Time // since when it says so
	heard   time.Time // last announcement or answer
	leaving time.Time // since when it says that it shuts down; zero if it does not
	probed  time.Time
	missing time.Time // first probe without an answer since the last answer; zero if none
	lag     time.Duration
	barred  time.Time // no order before
}

// vote is what an entry VM said of the primary.
type vote struct {
	at     time.Time
	server ServerID
	down   bool
}

// attempt is the work on one raised term.
type attempt struct {
	term    uint64
	started time.Time
	planned bool
	polled  time.Time
	pending map[ServerID]bool // status calls without an answer
	found   map[ServerID]Report
	target  ServerID // ordered; empty before
	ordered time.Time
	done    bool // recorded in the log; waits for the view
	retried time.Time
}

// Step handles an event and returns the effects in the order in which they are due.
func (o *PlatformCoordinator) Step(now time.Time, e Event) []Effect {
	o.made = nil
	if !o.last.IsZero() && now.Sub(o.last) > stepGap {
		o.wake(now)
	}
	o.last = now
	switch e := e.(type) {
	case ViewApplied:
		o.group(GroupID(e.View.GetGroup())).viewed(now, e.View)
	case ConfigurationApplied:
		o.configure(e)
	case Announced:
		o.group(e.Report.Group).heard(now, e.Report)
	case ReachabilityReported:
		o.sighted(now, e)
	case CallCompleted:
		if g, ok := o.groups[e.Call.Group]; ok {
			g.answered(now, e)
		}
	case InstanceStopped:
		for _, g := range o.order {
			delete(g.servers, e.Server)
		}
	case Tick:
		for _, g := range o.order {
			g.tick(now)
		}
	case SwitchoverRequested:
		if g, ok := o.groups[e.Group]; ok && g.steady() {
			g.raise(now, wire.Phase_PHASE_SWITCHING, "ordered by an operator")
		}
	}
	return o.made
}

// wake forgets silence that was observed while this process did not run.
func (o *PlatformCoordinator) wake(now time.Time) {
	for _, g := range o.order {
		clear(g.votes)
		for _, s := range g.servers {
			s.heard, s.missing = now, time.Time{}
		}
	}
}

func (o *PlatformCoordinator) group(id GroupID) *orderedGroup {
	if g, ok := o.groups[id]; ok {
		return g
	}
	g := &orderedGroup{
		policy: o, id: id, view: &wire.View{Group: string(id)},
		servers: map[ServerID]*instance{}, votes: map[string]vote{},
	}
	o.groups[id] = g
	i, _ := slices.BinarySearchFunc(o.order, id, func(g *orderedGroup, id GroupID) int { return cmp.Compare(g.id, id) })
	o.order = slices.Insert(o.order, i, g)
	return g
}

// configure drops groups that are not configured any more.
func (o *PlatformCoordinator) configure(e ConfigurationApplied) {
	known := map[GroupID]bool{}
	for _, g := range e.Groups {
		known[GroupID(g.GetName())] = true
	}
	o.order = slices.DeleteFunc(o.order, func(g *orderedGroup) bool {
		if !known[g.id] {
			delete(o.groups, g.id)
		}
		return !known[g.id]
	})
}

func (o *PlatformCoordinator) sighted(now time.Time, e ReachabilityReported) {
	for _, w := range e.Sights {
		if g, ok := o.groups[GroupID(w.GetGroup())]; ok {
			silent := time.Duration(w.GetSilent()) * time.Millisecond
			g.votes[e.Entry] = vote{at: now, server: ServerID(w.GetServer()), down: !w.GetReachable() && silent >= voteSilence}
		}
	}
}

func (g *orderedGroup) server(id ServerID) *instance {
	s := g.servers[id]
	if s == nil {
		s = &instance{}
		g.servers[id] = s
	}
	return s
}

// heard takes an announcement.
func (g *orderedGroup) heard(now time.Time, r Report) {
	s := g.server(r.Server)
	s.heard, s.missing = now, time.Time{}
	g.claim(now, s, r.Role == rolePrimary)
	switch {
	case !r.ShuttingDown:
		s.leaving = time.Time{}
	case s.leaving.IsZero():
		s.leaving = now
	}
	if a := g.attempt; a != nil && a.target == r.Server && s.claims && s.since.After(a.ordered) {
		g.record(now, a, r.Server, 0)
	}
}

func (g *orderedGroup) claim(now time.Time, s *instance, claims bool) {
	if claims && !s.claims {
		s.since = now
	}
	s.claims = claims
}

// viewed takes the view over. A term that another control VM raised is superseded by the next tick.
func (g *orderedGroup) viewed(now time.Time, v *wire.View) {
	if v.GetPrimary() != g.view.GetPrimary() || v.GetTerm() != g.view.GetTerm() {
		clear(g.votes)
	}
	g.view = v
	switch {
	case v.GetPhase() == wire.Phase_PHASE_STEADY:
		g.attempt, g.cleared = nil, now
	case v.GetTerm() == g.raised && (g.attempt == nil || g.attempt.term != v.GetTerm()):
		g.begin(now, v)
	}
}

// begin asks every member for its position.
func (g *orderedGroup) begin(now time.Time, v *wire.View) {
	g.attempt = &attempt{
		term: v.GetTerm(), started: now, planned: v.GetPhase() == wire.Phase_PHASE_SWITCHING,
		pending: map[ServerID]bool{}, found: map[ServerID]Report{},
	}
	if p := g.previous; p != nil && !p.planned && !g.attempt.planned && now.Sub(p.started) < answersCount {
		g.attempt.found, g.attempt.started = p.found, p.started
		g.advance(now)
		return
	}
	g.poll(now)
}

// poll asks members that owe no answer.
func (g *orderedGroup) poll(now time.Time) {
	a := g.attempt
	a.polled = now
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		if !a.pending[id] {
			a.pending[id] = true
			g.ask(now, m)
		}
	}
}

// ask calls for the status of a member.
func (g *orderedGroup) ask(now time.Time, m *wire.Member) {
	g.server(ServerID(m.GetServer())).probed = now
	g.policy.made = append(g.policy.made, Call{
		Group: g.id, Server: ServerID(m.GetServer()), Address: m.GetAddress(), Function: Status, Term: termOf(g.view),
	})
}

// answered takes the outcome of a call.
func (g *orderedGroup) answered(now time.Time, e CallCompleted) {
	s := g.server(e.Call.Server)
	if e.Call.Function == Promote {
		g.promoted(now, s, e)
		return
	}
	a := g.attempt
	if a != nil {
		delete(a.pending, e.Call.Server)
	}
	if e.Err != nil {
		if s.missing.IsZero() {
			s.missing = s.probed
		}
		return
	}
	s.heard, s.missing, s.lag = now, time.Time{}, e.Report.Lag
	g.claim(now, s, e.Report.Role == rolePrimary)
	if a != nil {
		a.found[e.Call.Server] = e.Report
		g.advance(now)
	}
}

// promoted takes the answer to an order. A refusal bars the target for a while: it does not run, or
// another control VM has ordered with a higher term.
func (g *orderedGroup) promoted(now time.Time, s *instance, e CallCompleted) {
	a := g.attempt
	if a == nil || uint64(e.Call.Term) != a.term || a.target != e.Call.Server || a.done {
		return
	}
	if e.Err == nil {
		g.claim(now, s, true)
		s.heard = now
		g.record(now, a, e.Call.Server, uint64(e.Report.Offset))
		return
	}
	if errors.Is(e.Err, ErrRefused) {
		s.barred = now.Add(barred)
	}
	g.raise(now, wire.Phase_PHASE_RAISING, "the order failed: "+e.Err.Error())
}

// record makes the new primary durable.
func (g *orderedGroup) record(now time.Time, a *attempt, server ServerID, offset uint64) {
	a.done, a.target, a.retried = true, server, now
	g.policy.made = append(g.policy.made, Propose{&wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group: string(g.id), Term: a.term, Server: string(server), Offset: offset,
	}}}})
}

// raise makes the next term durable.
func (g *orderedGroup) raise(now time.Time, phase wire.Phase, reason string) {
	g.raised, g.asked, g.reason = max(g.view.GetTerm(), g.raised)+1, now, reason
	if g.attempt != nil {
		g.previous = g.attempt
	}
	g.attempt = nil
	g.policy.made = append(g.policy.made, Propose{&wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{
		Group: string(g.id), Term: g.raised, Reason: reason, Phase: phase,
	}}}})
}

func (g *orderedGroup) steady() bool { return g.view.GetPhase() == wire.Phase_PHASE_STEADY }

// member returns a member of the view, or nil.
func (g *orderedGroup) member(id ServerID) *wire.Member {
	for _, m := range g.view.GetMembers() {
		if m.GetServer() == string(id) {
			return m
		}
	}
	return nil
}
