// Package watermark tracks the log positions of the instances of a database group by rounds of status
// requests that a majority must answer. It provides the floor of a new session, the age of each instance's
// data and the confirmation of commits. It is deterministic.
//
// Package freshness provides floors for reads of a stated age from the replies of the primary alone, without
// rounds and without confirming commits.
package watermark

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Timing of the rounds.
const (
	// Interval is the time between rounds while no floor or commit needs one. It limits the precision of the age
	// of data.
	Interval = 100 * time.Millisecond
	// minCommitInterval is the least time between rounds for commits. Between zones a round takes 10 ms,
	// which is then the limit; within a zone it keeps an instance below 2,000 status requests a second.
	minCommitInterval = 500 * time.Microsecond
	// roundTimeout ends a round whose replies were lost. It is above the retransmission timeout of TCP (at
	// least 200 ms), so that one dropped packet does not make the round fail.
	roundTimeout = 300 * time.Millisecond
	// CommitWait is the longest time that a commit waits for a majority.
	CommitWait = 2 * time.Second
	// maxAge is the largest age of data that can be determined; older rounds are dropped.
	maxAge = 60 * time.Second
	// maxRounds limits the memory of past rounds: one per Interval over maxAge.
	maxRounds = 600
)

// Group is the state of one database group at one entry VM.
type Group struct {
	count   int // configured members
	term    position.Term
	history position.History
	members []member // sorted by server

	next     RoundID
	inFlight *round
	queued   bool // a round starts as soon as the one in flight ends
	started  time.Time
	results  []result // oldest first

	floors  []floorWait
	commits []commitWait
}

// member is an instance with the highest offset that it reported under each term.
type member struct {
	Member
	offsets map[position.Term]position.Offset
	retired bool // its confirmation would be lost when it leaves
}

// round is one status request to every member.
type round struct {
	id       RoundID
	sent     time.Time
	answered []ServerID
	max      position.Position
}

// result is the highest position that a majority reported to requests sent at or after sent.
type result struct {
	sent  time.Time
	floor position.Position
}

type floorWait struct {
	wait WaitID
	// since is the time of the request; only a round sent at or after it counts.
	since time.Time
}

type commitWait struct {
	wait     WaitID
	at       position.Position
	deadline time.Time
}

// New returns a Group without members.
func New() *Group {
	return &Group{next: 1}
}

// Step applies one event and returns its effects.
func (g *Group) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case ViewChanged:
		g.applyView(e)
		return g.resolveCommits(now, nil)
	case StatusReceived:
		return g.applyStatus(now, e)
	case PositionAdvanced:
		return g.applyPosition(now, e)
	case LinkOpened:
		// A round that started before the link opened is sent on this link too. The reply is to a request
		// sent after the start of the round, so it counts.
		if g.inFlight != nil && g.find(e.Server) != nil {
			return []Effect{RequestStatus{Round: g.inFlight.id, Servers: []ServerID{e.Server}}}
		}
		return nil
	case LinkLost:
		if m := g.find(e.Server); m != nil {
			m.Linked = false
		}
		return nil
	case FloorRequested:
		g.floors = append(g.floors, floorWait{wait: e.Wait, since: now})
		return g.startRound(now, nil)
	case ConfirmationRequested:
		if m := g.find(e.Server); m != nil {
			m.recordOffset(e.At)
		}
		g.commits = append(g.commits, commitWait{wait: e.Wait, at: e.At, deadline: now.Add(CommitWait)})
		return g.startCommitRound(now, g.resolveCommits(now, nil))
	case WaitCanceled:
		g.cancelWait(e.Wait)
		return nil
	case Tick:
		return g.resolveCommits(now, g.tick(now))
	}
	return nil
}

// Majority returns the number of members that is a majority of the configured ones.
func (g *Group) Majority() int {
	return g.count/2 + 1
}

// Members returns the last known state of the instances, sorted by server.
func (g *Group) Members() []Member {
	all := make([]Member, len(g.members))
	for i := range g.members {
		all[i] = g.members[i].Member
	}
	return all
}

// Waiting returns the numbers of unresolved floors and commits.
func (g *Group) Waiting() (floors, commits int) {
	return len(g.floors), len(g.commits)
}

func (g *Group) find(s ServerID) *member {
	for i := range g.members {
		if g.members[i].Server == s {
			return &g.members[i]
		}
	}
	return nil
}

// applyView applies the members and the history of terms from the control log.
func (g *Group) applyView(e ViewChanged) {
	g.count = e.Count
	g.term = e.Term
	g.history = e.History
	names := slices.Clone(e.Members)
	slices.Sort(names)
	members := make([]member, 0, len(names))
	for _, name := range names {
		if old := g.find(name); old != nil {
			members = append(members, *old)
			continue
		}
		members = append(members, member{
			Member:  Member{Server: name},
			offsets: make(map[position.Term]position.Offset),
		})
	}
	g.members = members
	for i := range g.members {
		g.members[i].retired = slices.Contains(e.Retired, g.members[i].Server)
	}
	if g.inFlight != nil {
		g.inFlight.answered = slices.DeleteFunc(g.inFlight.answered, func(s ServerID) bool { return g.find(s) == nil })
	}
}

// recordOffset records that the instance follows at.Term and has its log up to at.Offset.
func (m *member) recordOffset(at position.Position) {
	if at.Offset > m.offsets[at.Term] {
		m.offsets[at.Term] = at.Offset
	}
	for term := range m.offsets { // no result depends on the order
		if term+3 < at.Term {
			delete(m.offsets, term)
		}
	}
}

func (g *Group) applyStatus(now time.Time, e StatusReceived) []Effect {
	m := g.find(e.Server)
	if m == nil {
		return nil
	}
	regressed := e.Report.At.Less(m.At)
	m.Known, m.Linked = true, true
	m.Role = e.Report.Role
	m.Follows = e.Report.Follows
	m.At = e.Report.At
	m.Promised = e.Report.Promised
	m.History = e.Report.History
	m.LastAnswer = now
	// The reply of a fenced instance does not prove that it follows its term, so it confirms nothing.
	if m.Role != Fenced && m.At.Term == m.Follows {
		m.recordOffset(m.At)
	}
	if regressed {
		m.FreshAsOf = time.Time{}
	}
	g.updateFreshness(m)
	effects := g.countAnswer(now, e, nil)
	return g.startCommitRound(now, g.resolveCommits(now, effects))
}

// countAnswer counts a reply for the round in flight and ends the round at a majority.
func (g *Group) countAnswer(now time.Time, e StatusReceived, effects []Effect) []Effect {
	r := g.inFlight
	if r == nil || r.id != e.Round || slices.Contains(r.answered, e.Server) {
		return effects
	}
	r.answered = append(r.answered, e.Server)
	if r.max.Less(e.Report.At) {
		r.max = e.Report.At
	}
	if len(r.answered) < g.Majority() {
		return effects
	}
	g.inFlight = nil
	g.addResult(now, result{sent: r.sent, floor: r.max})
	waiting := g.floors[:0]
	for _, w := range g.floors {
		if w.since.After(r.sent) {
			waiting = append(waiting, w)
			continue
		}
		effects = append(effects, FloorResolved{Wait: w.wait, Floor: r.max})
	}
	g.floors = waiting
	if g.queued {
		g.queued = false
		effects = g.startRound(now, effects)
	}
	return effects
}

// addResult stores a result. Of results with the same floor only the latest time is needed.
func (g *Group) addResult(now time.Time, r result) {
	if n := len(g.results); n > 0 && g.results[n-1].floor == r.floor {
		g.results[n-1].sent = r.sent
	} else {
		g.results = append(g.results, r)
	}
	drop := max(0, len(g.results)-maxRounds)
	for drop < len(g.results)-1 && now.Sub(g.results[drop].sent) > maxAge {
		drop++
	}
	g.results = slices.Delete(g.results, 0, drop)
	for i := range g.members {
		g.updateFreshness(&g.members[i])
	}
}

// updateFreshness sets FreshAsOf to the send time of the latest round whose result the instance covers.
func (g *Group) updateFreshness(m *member) {
	if !m.Known {
		return
	}
	for i := len(g.results) - 1; i >= 0; i-- {
		r := g.results[i]
		if !r.sent.After(m.FreshAsOf) {
			return
		}
		if m.Covers(r.floor) {
			m.FreshAsOf = r.sent
			return
		}
	}
}

// applyPosition applies a position that an instance sent unrequested.
func (g *Group) applyPosition(now time.Time, e PositionAdvanced) []Effect {
	m := g.find(e.Server)
	if m == nil {
		return nil
	}
	m.recordOffset(e.At)
	// The known history must be that of the log that advanced. After a change of term it is not, and the next
	// round updates both.
	if m.Known && m.historyEndsWith(e.At.Term) && m.At.Less(e.At) {
		m.Follows = e.At.Term
		m.At = e.At
		g.updateFreshness(m)
	}
	return g.resolveCommits(now, nil)
}

// historyEndsWith reports whether the known history of the instance ends with the term.
func (m *member) historyEndsWith(term position.Term) bool {
	n := len(m.History)
	return n > 0 && m.History[n-1].Term == term
}

// startRound starts a round, or queues one to start when the one in flight ends.
func (g *Group) startRound(now time.Time, effects []Effect) []Effect {
	if g.inFlight != nil {
		g.queued = true
		return effects
	}
	if len(g.members) == 0 {
		return effects
	}
	g.inFlight = &round{id: g.next, sent: now}
	g.next++
	g.started = now
	servers := make([]ServerID, len(g.members))
	for i := range g.members {
		servers[i] = g.members[i].Server
	}
	return append(effects, RequestStatus{Round: g.inFlight.id, Servers: servers})
}

// startCommitRound starts a round for waiting commits. Notifications alone would be enough, but instances
// coalesce them for 2 ms.
func (g *Group) startCommitRound(now time.Time, effects []Effect) []Effect {
	if len(g.commits) == 0 || g.inFlight != nil || now.Sub(g.started) < minCommitInterval {
		return effects
	}
	return g.startRound(now, effects)
}

// tick ends a round without a majority after roundTimeout and starts the next one when it is due.
func (g *Group) tick(now time.Time) []Effect {
	if g.inFlight != nil && now.Sub(g.inFlight.sent) >= roundTimeout {
		g.inFlight = nil
		g.queued = false
	}
	if g.inFlight == nil && (now.Sub(g.started) >= Interval || len(g.floors) > 0) {
		return g.startRound(now, nil)
	}
	return nil
}

func (g *Group) cancelWait(w WaitID) {
	g.floors = slices.DeleteFunc(g.floors, func(f floorWait) bool { return f.wait == w })
	g.commits = slices.DeleteFunc(g.commits, func(c commitWait) bool { return c.wait == w })
}

// resolveCommits adds the results of the decided commits to the effects.
func (g *Group) resolveCommits(now time.Time, effects []Effect) []Effect {
	if len(g.commits) == 0 {
		return effects
	}
	waiting := g.commits[:0]
	for _, c := range g.commits {
		resolved, decided := g.decide(now, c)
		if !decided {
			waiting = append(waiting, c)
			continue
		}
		effects = append(effects, resolved)
	}
	g.commits = waiting
	return effects
}

// decide determines whether a majority has a commit.
func (g *Group) decide(now time.Time, c commitWait) (CommitResolved, bool) {
	if g.copies(c.at.Term, c.at.Offset) >= g.Majority() {
		return CommitResolved{Wait: c.wait, Verdict: Confirmed, At: c.at}, true
	}
	if newest := g.newestTerm(); g.survivingCopies(newest, c.at) >= g.Majority() {
		return CommitResolved{Wait: c.wait, Verdict: Confirmed, At: position.Position{Term: newest, Offset: c.at.Offset}}, true
	}
	if g.truncated(c.at) || !now.Before(c.deadline) {
		return CommitResolved{Wait: c.wait, Verdict: Unknown}, true
	}
	return CommitResolved{}, false
}

// newestTerm returns the highest term in which a log is known to end.
func (g *Group) newestTerm() position.Term {
	var newest position.Term
	for i := range g.members {
		newest = max(newest, g.members[i].At.Term)
	}
	return newest
}

// survivingCopies counts the members that have the record of an earlier term in the log of the newest term.
// The log of the new primary alone is not enough: if it is lost before others copied the record, a later
// promotion may choose a log without it. A majority whose last term is the newest one decides every later
// promotion, since a promotion chooses the log with the highest last term.
func (g *Group) survivingCopies(newest position.Term, at position.Position) int {
	if newest <= at.Term {
		return 0
	}
	n := 0
	for i := range g.members {
		m := &g.members[i]
		if !m.retired && m.Role != Fenced && m.Follows == newest && m.At.Term == newest && m.At.Offset >= at.Offset && m.History.Contains(at) {
			n++
		}
	}
	return n
}

// truncated reports whether the primary of the newest term lacks the record.
func (g *Group) truncated(at position.Position) bool {
	if g.term <= at.Term {
		return false
	}
	for i := range g.members {
		m := &g.members[i]
		if m.Role == Primary && m.Follows == g.term && m.At.Term == g.term && !m.History.Contains(at) {
			return true
		}
	}
	return false
}

// copies counts the members that reported at least offset while they followed exactly term.
func (g *Group) copies(term position.Term, offset position.Offset) int {
	n := 0
	for i := range g.members {
		if held, ok := g.members[i].offsets[term]; ok && held >= offset && !g.members[i].retired {
			n++
		}
	}
	return n
}
