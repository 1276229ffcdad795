package failover

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// PlatformCoordinator is the Policy for instances that do not promise terms. The platform makes the ordered
// instance the primary and demotes the former primary at the same moment. It refuses orders with a lower
// term than one that it has received for the group.
//
// Invariants: each order carries a term that this PlatformCoordinator itself made durable, so that no other
// control VM uses the same term. After an order without a response the next one has a higher term, so
// that the platform refuses the earlier one if it arrives late. In a group with synchronous replicas the server that is
// ordered is durable too, and no primary is recorded while an order may still be carried out, until a later one has a response.
type PlatformCoordinator struct {
	groups       map[GroupID]*platformGroup
	sortedGroups []*platformGroup // sorted by id
	syncReplicas map[GroupID]int  // replicas that must have received a commit before it is acknowledged, as configured
	pause        orderPause       // of orders that the platform does not accept
	lastStep     time.Time
	effects      []Effect
}

// Timeouts and intervals of PlatformCoordinator.
const (
	// minVoteSilence is how long a voter must have had no contact with the primary for its vote against the
	// primary to count. It is above two TCP retransmissions between availability zones.
	minVoteSilence = 450 * time.Millisecond
	// voteTTL is how long the report of an entry VM counts: two Renew requests.
	voteTTL = 1200 * time.Millisecond
	// loneVoteSilence is how long most of the voting entry VMs must have had no answer before they decide although the
	// control VM reaches the primary. It is above the time in which another entry VM takes over from one whose own
	// connections are cut off.
	loneVoteSilence = time.Second
	// noVotesTimeout is how long probes must stay unanswered before a primary that no entry VM reports on is
	// replaced.
	noVotesTimeout = 3 * time.Second
	// primaryProbeInterval is the time between probes of a primary that is suspected.
	primaryProbeInterval = 200 * time.Millisecond
	// announcementTimeout is the time without a message after which the primary is probed.
	announcementTimeout = 3 * time.Second
	// statusWait is the longest wait for the positions of the members in a failover.
	statusWait = 350 * time.Millisecond
	// orderTimeout is how long the platform may take to accept an order, which it carries out later.
	orderTimeout = 250 * time.Millisecond
	// answersTTL is how long the members' status responses may be used for the next term if an order failed.
	answersTTL = 3 * time.Second
	// minClaimAge is how long a member must have reported that it leads before the report overrides the view.
	// It is longer than a change of the primary takes to be recorded.
	minClaimAge = 1500 * time.Millisecond
	// maxSuccessorLag is the largest lag with which a replica may replace a primary that shuts down. It keeps
	// the hold of writes short.
	maxSuccessorLag = 100 * time.Millisecond
	// maxShutdownWait is how long a primary that shuts down waits for a replica within maxSuccessorLag.
	maxShutdownWait = 3 * time.Second
	// minWriteHold gives entry VMs time to learn that writes are held before positions are compared.
	minWriteHold = 60 * time.Millisecond
	// maxWriteHold bounds the hold of writes.
	maxWriteHold = 600 * time.Millisecond
	// maxSyncSwitchover bounds a switchover with synchronous replicas up to its order.
	maxSyncSwitchover = time.Second
	// maxSuccessorSearch is how long a failover with synchronous replicas looks for a successor before it returns to a primary
	// that the voters could not reach.
	maxSuccessorSearch = time.Second
	// maxAnswerAge is how old the answer may be which shows that an open order has not been carried out yet.
	maxAnswerAge = 100 * time.Millisecond
	// maxOpenOrder is how long a failover may take before callers are refused at once although a successor is known.
	maxOpenOrder = 2 * time.Second
	// grantTimeout is how long a server of which the promotion was accepted may take to lead. After an open order was withdrawn,
	// the failover waits as long, because the platform may have accepted it just before.
	grantTimeout = 3 * time.Second
	// syncSwitchoverPause is the least time between two such switchovers, because writes are held during each.
	syncSwitchoverPause = time.Second
	// refusalBackoff is how long an instance is not ordered to lead again after the platform refused an order.
	refusalBackoff = 2 * time.Second
)

// NewPlatformCoordinator returns the PlatformCoordinator of a control leader.
func NewPlatformCoordinator() *PlatformCoordinator {
	return &PlatformCoordinator{groups: map[GroupID]*platformGroup{}, syncReplicas: map[GroupID]int{}}
}

// platformGroup is the state of one database group.
type platformGroup struct {
	coordinator   *PlatformCoordinator
	id            GroupID
	view          *wire.View
	servers       map[ServerID]*instance
	votes         map[string]vote                 // by entry VM
	attempt       *attempt                        // nil if no failover or switchover is under way
	previous      *attempt                        // the attempt before; its answers may be reused for answersTTL
	proposedTerm  uint64                          // highest term that this coordinator has proposed
	lastProposed  time.Time                       // when proposedTerm was proposed
	reason        string                          // why proposedTerm was proposed
	avoided       ServerID                        // primary that the voters could not reach; not chosen while another member can be
	steadySince   time.Time                       // when the last steady view was applied
	recordedSince time.Time                       // when the present primary was recorded
	unledSince    time.Time                       // when the first view after a steady one was applied
	decision      decision                        // latest choice of a successor in a group with synchronous replicas
	open          ServerID                        // server of an order that may still be carried out, in a group with synchronous replicas; empty if there is none
	fences        map[processID]position.Position // logs of the replicas fenced in this failover, also of those that ended since
	reign         position.Term                   // highest term of the instances that is known; they number their primaries themselves
	led           ServerID                        // instance that answered in this failover that it leads, at the highest reign; empty if none did
	openReign     position.Term                   // reign before the first order of this failover
	departures    map[processID]*departure        // of a group with synchronous replicas
	unfencing     map[ServerID]bool               // replicas whose fence is to be ended
}

// instance is the last known state of a member or of a server that may become one.
type instance struct {
	claimsPrimary   bool      // its last report said that it leads
	claimedSince    time.Time // when it first reported so
	reportedPrimary time.Time // when it last reported so
	lastHeard       time.Time // last announcement or status response
	shutdownSince   time.Time // when it first reported its shutdown; zero if it does not shut down
	evacuatedSince  time.Time // when it was first seen to be evacuated; zero if it is not
	lastProbe       time.Time
	unansweredSince time.Time // first probe without a response since the last response; zero if none
	lag             time.Duration
	position        position.Position // of its log, as last reported in a steady group
	barredUntil     time.Time         // not chosen before this time
}

// vote is the report of an entry VM on the primary.
type vote struct {
	at     time.Time
	server ServerID
	down   bool
	silent time.Duration // for which the primary has answered it nothing
}

// attempt is the state of a failover or switchover under one raised term.
type attempt struct {
	term         uint64
	started      time.Time
	planned      bool
	lastPoll     time.Time
	pending      map[ServerID]bool // members with a status call under way
	answers      map[ServerID]Report
	asked        map[ServerID]time.Time // when the calls with these answers were returned
	target       ServerID               // instance that was ordered to lead; empty before the order
	orderedAt    time.Time
	grantedAt    time.Time // when the platform accepted the order; set in a group with synchronous replicas
	withdrawing  bool      // the target is ordered to withdraw an open order
	withdrawnAt  time.Time // when the platform answered an order that withdraws an open one; zero before
	receiving    ServerID  // replica for which the others are fenced in a switchover
	fenced       map[ServerID]fencedReplica
	fenceStarted time.Time // when replicas were first fenced; zero before
	lastFence    time.Time
	delayed      bool      // PromotionDelayed was emitted
	lastStall    time.Time // when a Stall of this attempt was last proposed
	recorded     bool      // the new primary is proposed to the log; waits for the view
	lastProposed time.Time
}

// Step handles an event and returns the effects in the order in which they are due.
func (c *PlatformCoordinator) Step(now time.Time, e Event) []Effect {
	c.effects = nil
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > pauseThreshold {
		c.resetSilence(now)
	}
	c.lastStep = now
	switch e := e.(type) {
	case ViewApplied:
		c.group(GroupID(e.View.GetGroup())).viewApplied(now, e.View)
	case ConfigurationApplied:
		c.configure(e)
	case Announced:
		c.group(e.Report.Group).announced(now, e.Report)
	case ReachabilityReported:
		c.reachabilityReported(now, e)
	case CallCompleted:
		c.callCompleted(now, e)
	case InstanceStopped:
		for _, g := range c.sortedGroups {
			delete(g.servers, e.Server)
		}
	case Tick:
		if probe, due := c.pause.probe(now); due {
			c.effects = append(c.effects, probe)
		}
		for _, g := range c.sortedGroups {
			g.tick(now)
		}
	case SwitchoverRequested:
		if g, ok := c.groups[e.Group]; ok && g.steady() {
			g.raiseTerm(now, wire.Phase_PHASE_SWITCHING, "ordered by an operator")
		}
	}
	return c.effects
}

// resetSilence discards evidence of silent instances from a time in which this process did not run.
func (c *PlatformCoordinator) resetSilence(now time.Time) {
	for _, g := range c.sortedGroups {
		clear(g.votes)
		for _, s := range g.servers {
			s.lastHeard, s.unansweredSince = now, time.Time{}
		}
	}
}

func (c *PlatformCoordinator) group(id GroupID) *platformGroup {
	if g, ok := c.groups[id]; ok {
		return g
	}
	g := &platformGroup{
		coordinator: c, id: id, view: &wire.View{Group: string(id)},
		servers: map[ServerID]*instance{}, votes: map[string]vote{},
		departures: map[processID]*departure{}, fences: map[processID]position.Position{}, unfencing: map[ServerID]bool{},
	}
	c.groups[id] = g
	i, _ := slices.BinarySearchFunc(c.sortedGroups, id, func(g *platformGroup, id GroupID) int { return cmp.Compare(g.id, id) })
	c.sortedGroups = slices.Insert(c.sortedGroups, i, g)
	return g
}

// configure drops groups that are no longer configured.
func (c *PlatformCoordinator) configure(e ConfigurationApplied) {
	known := map[GroupID]bool{}
	clear(c.syncReplicas)
	for _, g := range e.Groups {
		known[GroupID(g.GetName())] = true
		c.syncReplicas[GroupID(g.GetName())] = int(g.GetSync())
	}
	c.sortedGroups = slices.DeleteFunc(c.sortedGroups, func(g *platformGroup) bool {
		if !known[g.id] {
			delete(c.groups, g.id)
		}
		return !known[g.id]
	})
}

func (c *PlatformCoordinator) reachabilityReported(now time.Time, e ReachabilityReported) {
	for _, w := range e.Sights {
		if g, ok := c.groups[GroupID(w.GetGroup())]; ok {
			silent := time.Duration(w.GetSilent()) * time.Millisecond
			g.votes[e.Entry] = vote{at: now, server: ServerID(w.GetServer()), down: !w.GetReachable() && silent >= minVoteSilence, silent: silent}
		}
	}
}

func (g *platformGroup) server(id ServerID) *instance {
	s := g.servers[id]
	if s == nil {
		s = &instance{}
		g.servers[id] = s
	}
	return s
}

// announced handles an announcement.
func (g *platformGroup) announced(now time.Time, r Report) {
	s := g.server(r.Server)
	s.lastHeard, s.unansweredSince = now, time.Time{}
	g.reportedRole(now, s, r.Role == rolePrimary)
	switch {
	case !r.ShuttingDown:
		s.shutdownSince = time.Time{}
	case s.shutdownSince.IsZero():
		s.shutdownSince = now
	}
	if a := g.attempt; a != nil && g.syncReplicas() == 0 && a.target == r.Server && s.claimsPrimary && s.claimedSince.After(a.orderedAt) {
		g.recordPrimary(now, a, r.Server, 0)
	}
}

// reportedRole records the role that an instance reports.
func (g *platformGroup) reportedRole(now time.Time, s *instance, primary bool) {
	if primary {
		s.reportedPrimary = now
	}
	g.setClaim(now, s, primary)
}

func (g *platformGroup) setClaim(now time.Time, s *instance, claims bool) {
	if claims && !s.claimsPrimary {
		s.claimedSince = now
	}
	s.claimsPrimary = claims
}

// viewApplied updates the group with the applied view. A term that another control VM raised is superseded
// by the next tick.
func (g *platformGroup) viewApplied(now time.Time, v *wire.View) {
	if v.GetPrimary() != g.view.GetPrimary() || v.GetTerm() != g.view.GetTerm() {
		clear(g.votes)
	}
	former := g.view
	g.view = v
	g.takeOverOrder(now, former)
	g.forgetPositions(former)
	g.updateDepartures(now)
	g.updateEvacuations(now)
	switch {
	case v.GetPhase() == wire.Phase_PHASE_STEADY:
		if former.GetTerm() != v.GetTerm() || former.GetPhase() != v.GetPhase() {
			g.recordedSince = now
			g.beginUnfencing()
			g.restartDepartures(now)
		}
		g.attempt, g.steadySince = nil, now
	case v.GetTerm() == g.proposedTerm && (g.attempt == nil || g.attempt.term != v.GetTerm()):
		g.beginAttempt(now, v)
	}
}

// beginAttempt requests the position of every member, unless the answers of the previous attempt are recent.
func (g *platformGroup) beginAttempt(now time.Time, v *wire.View) {
	g.attempt = &attempt{
		term: v.GetTerm(), started: now, planned: v.GetPhase() == wire.Phase_PHASE_SWITCHING,
		pending: map[ServerID]bool{}, answers: map[ServerID]Report{}, asked: map[ServerID]time.Time{}, fenced: map[ServerID]fencedReplica{},
	}
	if p := g.previous; p != nil && g.syncReplicas() == 0 && !p.planned && !g.attempt.planned && now.Sub(p.started) < answersTTL {
		g.attempt.answers, g.attempt.started = p.answers, p.started
		g.advanceAttempt(now)
		return
	}
	if v.GetOrdered() != "" && v.GetTerm() == g.decision.term {
		g.orderDecided(now, v)
		return
	}
	g.pollMembers(now)
}

// pollMembers requests the status of members that have no status call under way.
func (g *platformGroup) pollMembers(now time.Time) {
	a := g.attempt
	a.lastPoll = now
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		if !a.pending[id] {
			a.pending[id] = true
			g.requestStatus(now, m)
		}
	}
}

// recordPrimary proposes the new primary to the log.
func (g *platformGroup) recordPrimary(now time.Time, a *attempt, server ServerID, offset uint64) {
	a.recorded, a.target, a.lastProposed = true, server, now
	g.coordinator.effects = append(g.coordinator.effects, Propose{&wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group: string(g.id), Term: a.term, Server: string(server), Offset: offset,
	}}}})
}

// raiseTerm proposes the next term to the log and ends the current attempt. An open order stays open.
func (g *platformGroup) raiseTerm(now time.Time, phase wire.Phase, reason string) {
	ordered := ServerID("")
	if g.syncReplicas() > 0 {
		ordered = g.open
	}
	g.proposeTerm(now, phase, ordered, reason)
}

// proposeTerm proposes the next term to the log, under which a server is ordered to lead if one is named.
func (g *platformGroup) proposeTerm(now time.Time, phase wire.Phase, ordered ServerID, reason string) {
	g.proposedTerm, g.lastProposed, g.reason = max(g.latestTerm(), g.proposedTerm)+1, now, reason
	if g.attempt != nil {
		g.previous = g.attempt
	}
	g.attempt = nil
	chosen := ordered != g.open // a successor, so that the failover may end soon
	raise := &wire.RaiseTerm{
		Group: string(g.id), Term: g.proposedTerm, Reason: reason, Phase: phase, Server: string(ordered), Stalled: !chosen,
	}
	if g.syncReplicas() > 0 {
		raise.Fences, raise.Reign = g.listFences(), uint64(g.openReign)
	}
	g.coordinator.effects = append(g.coordinator.effects, Propose{&wire.Entry{Entry: &wire.Entry_Raise{Raise: raise}}})
}

// latestTerm returns a term that is not below any that the platform has received for the group. A group without a term may have
// been in the configuration before, under an earlier build that kept nothing of it. Each of its terms took an entry of the
// control log.
func (g *platformGroup) latestTerm() uint64 {
	if g.view.GetTerm() == 0 {
		return g.view.GetRevision()
	}
	return g.view.GetTerm()
}

func (g *platformGroup) steady() bool { return g.view.GetPhase() == wire.Phase_PHASE_STEADY }

// member returns a member of the view, or nil.
func (g *platformGroup) member(id ServerID) *wire.Member {
	for _, m := range g.view.GetMembers() {
		if m.GetServer() == string(id) {
			return m
		}
	}
	return nil
}
