package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// stage is the step of a failover or switchover that a group is in.
type stage int

const (
	steady     stage = iota
	raising          // a term is proposed and not yet durable
	draining         // planned switchover: entry VMs queue writes, the target catches up
	fencing          // promises are being collected
	promoting        // the candidate is called to promote
	confirming       // waits for a majority to follow the new primary
	recording        // the promotion is proposed
)

// group is the state of one database group.
type group struct {
	coordinator      *Coordinator
	id               GroupID
	configured       int        // configured number of members; 0 if the group is not configured
	view             *wire.View // as applied from the control log
	servers          map[ServerID]*server
	serverIDs        []ServerID             // sorted keys of servers
	members          []*server              // sorted by name
	entryReports     map[string]entryReport // latest report by entry VM
	primaryConfirmed time.Time              // when the primary of the view last reported that it leads

	stage            stage
	stageStarted     time.Time
	lastProposed     time.Time           // last proposal of the stage
	term             position.Term       // last term proposed by this coordinator
	reason           string              // why the term was raised
	target           ServerID            // of a planned switchover
	formerPrimary    ServerID            // primary before a planned switchover
	catchUpPolls     int                 // consecutive checks that found the target caught up with the former primary
	promises         map[ServerID]Report // reports of the members that have promised the term
	majorityPromised time.Time           // when a majority had promised
	candidate        ServerID            // the server called to promote for the term
	start            position.Offset     // start of the term in the log
	drainOffset      position.Offset     // while draining, last offset of the former primary

	change         membershipChange
	majorityJoined time.Time // when a majority of the first members had been admitted
	reportsPruned  time.Time // when entryReports was last pruned
	lastSwitchover time.Time // last planned switchover away from a retired or evacuated primary
}

// entryReport is the report of an entry VM on the primary.
type entryReport struct {
	at          time.Time
	term        position.Term
	server      ServerID
	unreachable bool
}

// server is the last known state of an instance.
type server struct {
	id         ServerID
	address    string
	zone       string
	report     Report
	reportedAt time.Time // when the report was received
	calls      map[Function]callState
	retired    time.Time // when its retirement was first observed; zero if it is not retired
	evacuated  bool      // its availability zone is evacuated; it stays a member and a replica
}

// callState is the state of the last call of a function.
type callState struct {
	at      time.Time
	pending bool // without a response
}

func (s *server) setRetired(now time.Time, retired bool) {
	switch {
	case !retired:
		s.retired = time.Time{}
	case s.retired.IsZero():
		s.retired = now
	}
}

// recentlyHeard reports whether the instance has sent a report within suspicionTimeout.
func (s *server) recentlyHeard(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < suspicionTimeout
}

func (g *group) server(id ServerID) *server {
	if s, ok := g.servers[id]; ok {
		return s
	}
	s := &server{id: id, calls: map[Function]callState{}}
	s.setRetired(g.coordinator.lastStep, g.coordinator.retired[id])
	g.servers[id] = s
	i, _ := slices.BinarySearch(g.serverIDs, id)
	g.serverIDs = slices.Insert(g.serverIDs, i, id)
	return s
}

func (g *group) member(id ServerID) bool {
	return slices.ContainsFunc(g.view.GetMembers(), func(m *wire.Member) bool { return m.GetServer() == string(id) })
}

func (g *group) primary() ServerID { return ServerID(g.view.GetPrimary()) }

// quorum returns a majority of the configured members, or of the current members if there are more.
func (g *group) quorum() int { return max(g.configured, len(g.view.GetMembers()))/2 + 1 }

// viewApplied updates the group with the applied view. A phase that this coordinator did not propose belongs
// to an unfinished failover of a former leader. Its term may already have been used, so a new one is raised.
func (g *group) viewApplied(now time.Time, v *wire.View) {
	before := g.view
	g.view = v
	g.members = nil
	for _, m := range v.GetMembers() {
		s := g.server(ServerID(m.GetServer()))
		s.setRetired(now, m.GetRetired())
		s.evacuated = m.GetEvacuated()
		if s.address == "" {
			s.address, s.zone = m.GetAddress(), m.GetZone()
		}
		g.members = append(g.members, s)
	}
	if v.GetTerm() != before.GetTerm() || v.GetPrimary() != before.GetPrimary() {
		g.primaryConfirmed = now
	}
	if !slices.Equal(memberNames(before), memberNames(v)) {
		g.change = membershipChange{}
	}
	term := position.Term(v.GetTerm())
	own := g.stage == raising && term == g.term
	switch v.GetPhase() {
	case wire.Phase_PHASE_STEADY:
		if term >= g.term {
			g.enterStage(now, steady)
		}
	case wire.Phase_PHASE_RAISING:
		if own {
			g.fence(now)
		}
	case wire.Phase_PHASE_SWITCHING:
		if own {
			g.enterStage(now, draining)
		}
	}
	if v.GetPhase() != wire.Phase_PHASE_STEADY && g.stage == steady {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "unfinished failover of a former leader")
	}
}

func memberNames(v *wire.View) []string {
	list := make([]string, 0, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		list = append(list, m.GetServer())
	}
	return list
}

func (g *group) enterStage(now time.Time, s stage) {
	g.stage = s
	g.stageStarted = now
	g.lastProposed = now
}

// recordReport stores the report of an instance.
func (g *group) recordReport(now time.Time, s *server, r Report) {
	s.report = r
	s.reportedAt = now
	if s.id == g.primary() && r.Role == rolePrimary && r.Term == g.primaryTerm() {
		g.primaryConfirmed = now
	}
}

// primaryTerm returns the term of the current primary.
func (g *group) primaryTerm() position.Term {
	h := g.view.GetHistory()
	if len(h) == 0 {
		return 0
	}
	return position.Term(h[len(h)-1].GetTerm())
}

// call emits a call unless the last one of the function is younger than minInterval, or than CallTimeout if
// it has no response yet.
func (g *group) call(now time.Time, s *server, f Function, term position.Term, primary string, minInterval time.Duration) {
	if last, ok := s.calls[f]; ok {
		if last.pending {
			minInterval = max(minInterval, CallTimeout)
		}
		if now.Sub(last.at) < minInterval {
			return
		}
	}
	s.calls[f] = callState{now, true}
	g.coordinator.effects = append(g.coordinator.effects, Call{Group: g.id, Server: s.id, Address: s.address, Function: f, Term: term, Primary: primary})
}

func (g *group) callCompleted(now time.Time, e CallCompleted) {
	s, ok := g.servers[e.Call.Server]
	if !ok {
		return
	}
	s.calls[e.Call.Function] = callState{s.calls[e.Call.Function].at, false}
	if e.Err != nil {
		return
	}
	r := e.Report
	r.Server, r.Group, r.Address, r.Zone = s.id, g.id, s.address, s.zone
	g.recordReport(now, s, r)
	switch g.stage {
	case draining:
		g.drain(now)
	case fencing:
		g.promiseReceived(now, e.Call, r)
	case promoting:
		g.promotionAnswered(now, e.Call, r)
	case confirming:
		g.confirmMajority(now)
	case steady:
		g.membershipStatusReceived(now, e.Call, r)
	}
}

// tick handles the timeouts and retries of the stage.
func (g *group) tick(now time.Time) {
	switch g.stage {
	case steady:
		g.tickSteady(now)
	case raising, recording:
		g.retryProposal(now)
	case draining:
		g.drain(now)
	case fencing:
		g.collectPromises(now)
	case promoting, confirming:
		g.retryPromotion(now)
	}
}

// recordEntryReport stores the report of an entry VM. Reports of entry VMs that no longer send any are dropped.
func (g *group) recordEntryReport(now time.Time, entry string, r *wire.Sight) {
	g.entryReports[entry] = entryReport{
		at:          now,
		term:        position.Term(r.GetTerm()),
		server:      ServerID(r.GetServer()),
		unreachable: !r.GetReachable() && time.Duration(r.GetSilent())*time.Millisecond >= minReportedSilence,
	}
	if now.Sub(g.reportsPruned) < forgetAfter {
		return
	}
	g.reportsPruned = now
	for entry, r := range g.entryReports {
		if now.Sub(r.at) > entryReportTTL {
			delete(g.entryReports, entry)
		}
	}
}

// tickSteady supervises a group that has no failover under way.
func (g *group) tickSteady(now time.Time) {
	if g.configured == 0 {
		return
	}
	if g.primary() == "" {
		g.bootstrap(now)
		return
	}
	if now.Sub(g.primaryConfirmed) >= probeAfter {
		g.call(now, g.servers[g.primary()], Status, 0, "", probeInterval)
	}
	if reason := g.replacementReason(now); reason != "" {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, reason)
		return
	}
	if g.evacuatePrimary(now) {
		return
	}
	g.redirectReplicas(now)
	g.tickMembershipChange(now)
}

// replacementReason returns why the primary must be replaced, or "".
func (g *group) replacementReason(now time.Time) string {
	silence := now.Sub(g.primaryConfirmed)
	if silence < suspicionTimeout || !g.majorityAlive(now) {
		return ""
	}
	s := g.servers[g.primary()]
	if now.Sub(s.reportedAt) < entryReportTTL {
		return "the primary itself says that it does not lead the term"
	}
	unreachable, reports := 0, 0
	for _, r := range g.entryReports {
		if now.Sub(r.at) > entryReportTTL || r.server != g.primary() || r.term != g.primaryTerm() {
			continue
		}
		reports++
		if r.unreachable {
			unreachable++
		}
	}
	switch {
	case reports > 0 && 2*unreachable > reports:
		return "the primary is unreachable from the control VM and from a majority of entry VMs"
	case reports == 0 && silence >= noReportsTimeout:
		return "the primary is unreachable from the control VM and no entry VM reports"
	}
	return ""
}

// majorityAlive reports whether a majority of the members could promise. Without a majority, a new term
// would only keep the primary from coming back.
func (g *group) majorityAlive(now time.Time) bool {
	alive := 0
	for _, s := range g.members {
		if s.recentlyHeard(now) {
			alive++
		}
	}
	return alive >= g.quorum()
}
