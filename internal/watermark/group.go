// Package watermark learns by majority rounds what the instances of a database group hold. It
// gives sessions their floors, data its age and commits their confirmation. It is deterministic.
package watermark

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Times of the rounds.
const (
	// Interval is the time between rounds that nobody asked for. It bounds how precisely the age of
	// data is known.
	Interval = 100 * time.Millisecond
	// commitPace is the least time between rounds that commits ask for. Between zones a round takes
	// 10 ms and is the bound; within one it keeps an instance below 2,000 status requests a second.
	commitPace = 500 * time.Microsecond
	// roundTimeout gives up a round whose answers were lost. It is above a retransmission of TCP
	// (200 ms at least), so that one dropped packet does not end every round.
	roundTimeout = 300 * time.Millisecond
	// CommitWait is the longest time that a commit waits for a majority.
	CommitWait = 2 * time.Second
	// keep is the longest age of data that can be told; older rounds are dropped.
	keep = 60 * time.Second
	// maxRounds bounds the memory of past rounds: one per Interval over keep.
	maxRounds = 600
)

// Group is the state of one database group at one entry VM.
type Group struct {
	count   int // configured members
	term    position.Term
	history position.History
	members []member // sorted by server

	next    RoundID
	flying  *round
	again   bool // a round must start as soon as the one in flight ends
	started time.Time
	past    []result // oldest first

	floors  []floorWait
	commits []commitWait
}

// member is an instance with what it was seen to hold under each term.
type member struct {
	Member
	held    map[position.Term]position.Offset
	retired bool // its confirmation would be lost with it
}

// round is one question to every member.
type round struct {
	id       RoundID
	sent     time.Time
	answered []ServerID
	max      position.Position
}

// result is the highest position on a majority that was asked at sent.
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

// New returns a Group that knows nothing.
func New() *Group {
	return &Group{next: 1}
}

// Step applies one event and returns what is to be done.
func (g *Group) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case ViewChanged:
		g.view(e)
		return g.settle(now, nil)
	case StatusReceived:
		return g.answer(now, e)
	case PositionAdvanced:
		return g.notify(now, e)
	case LinkOpened:
		// A round that was asked before the link worked is asked here too. The answer is to a request
		// sent after the round began, so it counts.
		if g.flying != nil && g.find(e.Server) != nil {
			return []Effect{RequestStatus{Round: g.flying.id, Servers: []ServerID{e.Server}}}
		}
		return nil
	case LinkLost:
		if m := g.find(e.Server); m != nil {
			m.Linked = false
		}
		return nil
	case FloorRequested:
		g.floors = append(g.floors, floorWait{wait: e.Wait, since: now})
		return g.ask(now, nil)
	case ConfirmationRequested:
		if m := g.find(e.Server); m != nil {
			m.hold(e.At)
		}
		g.commits = append(g.commits, commitWait{wait: e.Wait, at: e.At, deadline: now.Add(CommitWait)})
		return g.askForCommits(now, g.settle(now, nil))
	case WaitCanceled:
		g.abandon(e.Wait)
		return nil
	case Tick:
		return g.settle(now, g.tick(now))
	}
	return nil
}

// Majority is the number of members that is a majority of the configured ones.
func (g *Group) Majority() int {
	return g.count/2 + 1
}

// Members returns what is known of the instances, sorted by server.
func (g *Group) Members() []Member {
	all := make([]Member, len(g.members))
	for i := range g.members {
		all[i] = g.members[i].Member
	}
	return all
}

// Waiting returns how many floors and commits are waited for.
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

// view takes the members and the history of terms from the control log.
func (g *Group) view(e ViewChanged) {
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
			Member: Member{Server: name},
			held:   make(map[position.Term]position.Offset),
		})
	}
	g.members = members
	for i := range g.members {
		g.members[i].retired = slices.Contains(e.Retired, g.members[i].Server)
	}
	if g.flying != nil {
		g.flying.answered = slices.DeleteFunc(g.flying.answered, func(s ServerID) bool { return g.find(s) == nil })
	}
}

// hold records that the instance follows at.Term and holds its log up to at.Offset.
func (m *member) hold(at position.Position) {
	if at.Offset > m.held[at.Term] {
		m.held[at.Term] = at.Offset
	}
	for term := range m.held { // no result depends on the order
		if term+3 < at.Term {
			delete(m.held, term)
		}
	}
}

func (g *Group) answer(now time.Time, e StatusReceived) []Effect {
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
	// A fenced instance does not say that it follows its term, so it confirms nothing.
	if m.Role != Fenced && m.At.Term == m.Follows {
		m.hold(m.At)
	}
	if regressed {
		m.FreshAsOf = time.Time{}
	}
	g.age(m)
	effects := g.countAnswer(now, e, nil)
	return g.askForCommits(now, g.settle(now, effects))
}

// countAnswer counts an answer for the round in flight and ends the round at a majority.
func (g *Group) countAnswer(now time.Time, e StatusReceived, effects []Effect) []Effect {
	r := g.flying
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
	g.flying = nil
	g.remember(now, result{sent: r.sent, floor: r.max})
	waiting := g.floors[:0]
	for _, w := range g.floors {
		if w.since.After(r.sent) {
			waiting = append(waiting, w)
			continue
		}
		effects = append(effects, FloorResolved{Wait: w.wait, Floor: r.max})
	}
	g.floors = waiting
	if g.again {
		g.again = false
		effects = g.ask(now, effects)
	}
	return effects
}

// remember keeps a result. Results with the same floor need only the latest time.
func (g *Group) remember(now time.Time, r result) {
	if n := len(g.past); n > 0 && g.past[n-1].floor == r.floor {
		g.past[n-1].sent = r.sent
	} else {
		g.past = append(g.past, r)
	}
	drop := max(0, len(g.past)-maxRounds)
	for drop < len(g.past)-1 && now.Sub(g.past[drop].sent) > keep {
		drop++
	}
	g.past = slices.Delete(g.past, 0, drop)
	for i := range g.members {
		g.age(&g.members[i])
	}
}

// age finds the latest round whose result the instance holds.
func (g *Group) age(m *member) {
	if !m.Known {
		return
	}
	for i := len(g.past) - 1; i >= 0; i-- {
		r := g.past[i]
		if !r.sent.After(m.FreshAsOf) {
			return
		}
		if m.Covers(r.floor) {
			m.FreshAsOf = r.sent
			return
		}
	}
}

// notify takes a position that an instance sent on its own.
func (g *Group) notify(now time.Time, e PositionAdvanced) []Effect {
	m := g.find(e.Server)
	if m == nil {
		return nil
	}
	m.hold(e.At)
	// The history known must be that of the log that advanced. After a change of term it is not, and
	// the next round brings both.
	if m.Known && m.ends(e.At.Term) && m.At.Less(e.At) {
		m.Follows = e.At.Term
		m.At = e.At
		g.age(m)
	}
	return g.settle(now, nil)
}

// ends reports whether the known history of the instance ends with the term.
func (m *member) ends(term position.Term) bool {
	n := len(m.History)
	return n > 0 && m.History[n-1].Term == term
}

// ask starts a round, or has the next one start when the one in flight ends.
func (g *Group) ask(now time.Time, effects []Effect) []Effect {
	if g.flying != nil {
		g.again = true
		return effects
	}
	if len(g.members) == 0 {
		return effects
	}
	g.flying = &round{id: g.next, sent: now}
	g.next++
	g.started = now
	servers := make([]ServerID, len(g.members))
	for i := range g.members {
		servers[i] = g.members[i].Server
	}
	return append(effects, RequestStatus{Round: g.flying.id, Servers: servers})
}

// askForCommits starts a round for commits that wait. Notifications alone would do, but instances coalesce
// them to 2 ms.
func (g *Group) askForCommits(now time.Time, effects []Effect) []Effect {
	if len(g.commits) == 0 || g.flying != nil || now.Sub(g.started) < commitPace {
		return effects
	}
	return g.ask(now, effects)
}

// tick gives up a round without a majority and starts the next one in time.
func (g *Group) tick(now time.Time) []Effect {
	if g.flying != nil && now.Sub(g.flying.sent) >= roundTimeout {
		g.flying = nil
		g.again = false
	}
	if g.flying == nil && (now.Sub(g.started) >= Interval || len(g.floors) > 0) {
		return g.ask(now, nil)
	}
	return nil
}

func (g *Group) abandon(w WaitID) {
	g.floors = slices.DeleteFunc(g.floors, func(f floorWait) bool { return f.wait == w })
	g.commits = slices.DeleteFunc(g.commits, func(c commitWait) bool { return c.wait == w })
}

// settle answers the commits that are decided.
func (g *Group) settle(now time.Time, effects []Effect) []Effect {
	if len(g.commits) == 0 {
		return effects
	}
	waiting := g.commits[:0]
	for _, c := range g.commits {
		settled, known := g.decide(now, c)
		if !known {
			waiting = append(waiting, c)
			continue
		}
		effects = append(effects, settled)
	}
	g.commits = waiting
	return effects
}

// decide tells whether a majority holds a commit.
func (g *Group) decide(now time.Time, c commitWait) (CommitResolved, bool) {
	if g.holders(c.at.Term, c.at.Offset) >= g.Majority() {
		return CommitResolved{Wait: c.wait, Verdict: Confirmed, At: c.at}, true
	}
	if newest := g.newest(); g.survivors(newest, c.at) >= g.Majority() {
		return CommitResolved{Wait: c.wait, Verdict: Confirmed, At: position.Position{Term: newest, Offset: c.at.Offset}}, true
	}
	if g.cut(c.at) || !now.Before(c.deadline) {
		return CommitResolved{Wait: c.wait, Verdict: Unknown}, true
	}
	return CommitResolved{}, false
}

// newest returns the highest term in which a log is known to end.
func (g *Group) newest() position.Term {
	var newest position.Term
	for i := range g.members {
		newest = max(newest, g.members[i].At.Term)
	}
	return newest
}

// survivors counts the members that hold the record of an earlier term in the log of the newest term.
// The log of the new primary alone is not enough: if it is lost before others copied the record, a
// later promotion may take a log without it. A majority whose last term is the newest one decides
// every later promotion, since that takes the log with the highest last term.
func (g *Group) survivors(newest position.Term, at position.Position) int {
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

// cut reports whether the primary of the newest term does not hold the record.
func (g *Group) cut(at position.Position) bool {
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

// holders counts the members that were seen to follow exactly term and to hold offset under it.
func (g *Group) holders(term position.Term, offset position.Offset) int {
	n := 0
	for i := range g.members {
		if held, ok := g.members[i].held[term]; ok && held >= offset && !g.members[i].retired {
			n++
		}
	}
	return n
}
