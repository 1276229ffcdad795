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

// Times of the view of a group.
const (
	// silence is the time without an answer on its status link after which a server gets no new work.
	// It is above one lost round (300 ms) and a retransmission.
	answerTimeout = time.Second
	// severWait lets statements on a superseded primary end by the server's own answer before their
	// connections are closed.
	supersededGrace = time.Second
)

// group is a database group at this entry VM. Only state is read by traffic goroutines; the other
// fields belong to the goroutine that owns the control state.
type group struct {
	name  string
	state atomic.Pointer[groupState]

	router        *router // shared with traffic goroutines
	watermarks    *watermark.Group
	view          *wire.View
	members       uint32
	retired       map[string]bool
	servers       map[watermark.ServerID]*server
	floors        map[watermark.WaitID]chan position.Position
	confirmations map[watermark.WaitID]chan watermark.CommitResolved
	lastSweep     time.Time
	dirty         bool
	lastPrimary   watermark.ServerID // last primary known
}

// groupState is what is known of a group. It does not change once published.
type groupState struct {
	term     position.Term
	phase    wire.Phase
	primary  *serverState // nil while there is none
	servers  []serverState
	majority int
	next     chan struct{} // closed when a newer state is published
}

// serverState is what is known of one backend server. It does not change once published.
type serverState struct {
	*server
	retired bool
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
	slotLimit    int           // slots of the server for all VMs
	router       *router       // of the group
	networkDelay time.Duration // one way

	startLink func() // starts the status link once a connection is leased for it; owner only
	stop      context.CancelFunc
}

// alive reports whether the server answered lately.
func (s *serverState) alive(now time.Time) bool {
	return s.member.Known && s.member.Linked && now.Sub(s.member.LastAnswer) < answerTimeout
}

// silent reports whether a server has not answered lately.
func (g *group) unresponsive(now time.Time, id watermark.ServerID) bool {
	for _, m := range g.watermarks.Members() {
		if m.Server == id {
			s := serverState{member: m}
			return !s.alive(now)
		}
	}
	return true
}

// newGroup returns a group without servers.
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

// publish builds a new state from what the owner knows.
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

// writable returns the primary if a commit on it can be confirmed now, and otherwise why not.
func (s *groupState) writable(now time.Time) (*serverState, string) {
	switch {
	case s.phase == wire.Phase_PHASE_SWITCHING:
		return nil, "a planned switchover is under way"
	case s.phase != wire.Phase_PHASE_STEADY || s.primary == nil:
		return nil, "the group has no primary"
	case s.primary.retired:
		return nil, "the primary is retired"
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

// retires reports whether a server gets no new work, or is no member any more.
func (s *groupState) isRetired(id watermark.ServerID) bool {
	for i := range s.servers {
		if s.servers[i].id == id {
			return s.servers[i].retired
		}
	}
	return true
}

// history converts the terms of a view.
func history(v *wire.View) position.History {
	h := make(position.History, 0, len(v.GetHistory()))
	for _, s := range v.GetHistory() {
		h = append(h, position.Position{Term: position.Term(s.GetTerm()), Offset: position.Offset(s.GetOffset())})
	}
	return h
}
