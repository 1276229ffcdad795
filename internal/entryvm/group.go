package entryvm

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/internal/slots"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Timeouts of the servers of a group.
const (
	// answerTimeout is the time without an answer on its status link after which a server gets no new work. It
	// exceeds one lost round (300 ms) plus a retransmission.
	answerTimeout = time.Second
	// supersededGrace is the time that statements on a superseded primary have to end by the server's own answer
	// before their connections are closed.
	supersededGrace = time.Second
)

// group is a database group at this entry VM. Session goroutines use name, state and router only; the other
// fields belong to the event loop.
type group struct {
	name  string
	state atomic.Pointer[groupState]

	router        *router // shared with session goroutines
	watermarks    *watermark.Group
	view          *wire.View
	members       uint32          // number of members in the configuration
	retired       map[string]bool // members that get no new work: retired, or in an evacuated availability zone
	servers       map[watermark.ServerID]*server
	floors        map[watermark.WaitID]chan position.Position
	confirmations map[watermark.WaitID]chan watermark.CommitResolved
	lastSweep     time.Time
	dirty         bool               // publish is due
	lastPrimary   watermark.ServerID // most recent primary; kept while the view names none
}

// groupState is the published state of a group. It is immutable.
type groupState struct {
	term     position.Term
	phase    wire.Phase
	primary  *serverState // nil if there is none
	servers  []serverState
	majority int
	next     chan struct{} // closed when a newer state is published
}

// serverState is the published state of one backend server. It is immutable.
type serverState struct {
	*server
	retired bool // or evacuated
	member  watermark.Member
}

// server is one backend server with its connections. It is safe for concurrent use.
type server struct {
	id           watermark.ServerID
	address      string
	zone         string
	pool         *backend.Pool
	link         *backend.Link
	slots        *slots.Slots
	slotLimit    int           // admission slots of the server, shared by all entry VMs
	router       *router       // router of the group
	networkDelay time.Duration // one-way delay from this VM

	startLink func() // starts the status link once a connection is leased for it; used by the event loop only
	stop      context.CancelFunc

	sweptAnswer  time.Time // last answer that the checks for frozen replicas found; used by the event loop only
	silentSweeps int       // consecutive checks without a newer answer; used by the event loop only
}

// alive reports whether the server is connected and has answered within answerTimeout.
func (s *serverState) alive(now time.Time) bool {
	return s.member.Known && s.member.Linked && now.Sub(s.member.LastAnswer) < answerTimeout
}

// unresponsive reports whether a server is unknown or has not answered within answerTimeout.
func (g *group) unresponsive(now time.Time, id watermark.ServerID) bool {
	for _, m := range g.watermarks.Members() {
		if m.Server == id {
			s := serverState{member: m}
			return !s.alive(now)
		}
	}
	return true
}

// newGroup returns a group that has no servers yet.
func newGroup(name string) *group {
	g := &group{
		name:          name,
		router:        &router{router: route.New(rand.Uint64(), route.LeastCost)},
		watermarks:    watermark.New(),
		servers:       make(map[watermark.ServerID]*server),
		floors:        make(map[watermark.WaitID]chan position.Position),
		confirmations: make(map[watermark.WaitID]chan watermark.CommitResolved),
	}
	g.state.Store(&groupState{next: make(chan struct{}), majority: 1})
	return g
}

// publish publishes a new state and wakes those that wait for one.
func (g *group) publish() {
	g.dirty = false
	state := &groupState{
		term:     position.Term(g.view.GetTerm()),
		phase:    g.view.GetPhase(),
		majority: g.watermarks.Majority(),
		next:     make(chan struct{}),
	}
	members := g.watermarks.Members()
	state.servers = make([]serverState, 0, len(members))
	for _, m := range members {
		if s, ok := g.servers[m.Server]; ok {
			state.servers = append(state.servers, serverState{server: s, retired: g.retired[string(m.Server)], member: m})
		}
	}
	for i := range state.servers {
		primary := string(state.servers[i].id) == g.view.GetPrimary()
		if primary {
			state.primary = &state.servers[i]
		}
		state.servers[i].slots.SetReadShare(primaryReadShare(primary))
	}
	old := g.state.Swap(state)
	close(old.next)
}

// writable returns the primary if commits on it can be confirmed now, otherwise the reason why not.
func (s *groupState) writable(now time.Time) (*serverState, string) {
	switch {
	case s.phase == wire.Phase_PHASE_SWITCHING:
		return nil, "a planned switchover is under way"
	case s.phase != wire.Phase_PHASE_STEADY || s.primary == nil:
		return nil, "the group has no primary"
	case s.primary.retired:
		return nil, "the primary is retired, or its availability zone is evacuated"
	case s.primary.member.Promised > s.term:
		return nil, "the primary is fenced"
	case !s.primary.alive(now):
		return nil, "the primary does not answer"
	}
	alive := 0
	for i := range s.servers {
		if s.servers[i].alive(now) {
			alive++
		}
	}
	if alive < s.majority {
		return nil, "no majority of the group answers"
	}
	return s.primary, ""
}

// isRetired reports whether a server is retired or evacuated, so that it gets no new work, or is no longer a member.
func (s *groupState) isRetired(id watermark.ServerID) bool {
	for i := range s.servers {
		if s.servers[i].id == id {
			return s.servers[i].retired
		}
	}
	return true
}

// history converts the term history of a view.
func history(v *wire.View) position.History {
	h := make(position.History, 0, len(v.GetHistory()))
	for _, s := range v.GetHistory() {
		h = append(h, position.Position{Term: position.Term(s.GetTerm()), Offset: position.Offset(s.GetOffset())})
	}
	return h
}
