package proxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// activePeriod is how long a group counts as in use after its last statement.
	activePeriod = 5 * time.Second
	// sightPeriod is the age up to which the last answer of a primary shows that this VM reaches it. It is below the
	// time for which the control group counts a report.
	sightPeriod = 500 * time.Millisecond
	// silenceThreshold is the time without an answer after which a primary is reported as unreachable, and after
	// which the connections of a former primary are closed at once.
	silenceThreshold = 250 * time.Millisecond
)

// member is an instance of a group.
type member struct {
	id         placement.ServerID
	pool       *connpool.Pool
	stats      *placement.InstanceStats // guarded by group.mu
	avoidUntil map[string]time.Time     // end of peerAvoidPeriod, by address of an entry VM that cannot reach the instance; guarded by group.mu
	born       uint64
	zone       string
	slots      int
	leaving    bool
	leftAt     time.Time // when it began to leave; zero if it does not
	cold       *coldGate // limits the statements while it is cold; nil if the group has no limit
	coldRecord coldRecord
	evacuated  bool      // its availability zone is evacuated; it gets no new work
	workUntil  time.Time // end of open transactions there while it is evacuated
}

// group is the state of a database group on this VM. It is safe for concurrent use.
type group struct {
	name       string
	now        func() time.Time
	wall       func() time.Time
	leaveLimit time.Duration // see Options.LeaveLimit
	contact    *contact
	// transactionTime is how long open transactions may continue after an evacuation was learned of.
	transactionTime time.Duration
	zoneRTT         func(zone string) time.Duration
	owner           func(g *group, m *member) string // see Proxy.owner
	keeper          *zoneKeeper                      // of the proofs
	proofKeeper     func(now time.Time) string       // address of the keeper, or "" if that is this VM
	forward         *forward.Client
	waits           bool // see Options.Waits
	proofFlight     singleflight.Group
	newGate         func() *coldGate
	regions         map[string]string // see Options.Regions

	mu            sync.Mutex
	members       []*member            // in the order of the view
	ids           []placement.ServerID // of members, for the finder
	primary       string               // according to the control group
	former        string               // primary of an earlier term, according to the control group
	term          uint64               // of the group, according to the control group
	switching     bool                 // a planned switchover is in progress; new writes wait
	stalled       bool                 // a failover cannot end soon
	held          bool                 // and no instance can acknowledge a commit before, not even one that still leads
	finder        *placement.Finder
	reader        *placement.ReadBalancer
	proofs        freshness.Tracker
	lastUsed      time.Time
	recentAccount string        // client account served last
	viewChanged   chan struct{} // closed and replaced when the view changes
	warmUp        warmUpRules

	revision uint64 // of the view applied last; accessed only by the event loop
}

func newGroup(name string, p *Proxy) *group {
	keeper := newZoneKeeper("proofs of "+name, proofKeeperVMs)
	return &group{
		name: name, now: p.options.Now, wall: p.options.Wall, leaveLimit: p.options.LeaveLimit, zoneRTT: p.zoneRTT, owner: p.owner, keeper: keeper, forward: p.forward, waits: p.options.Waits,
		proofKeeper: func(now time.Time) string { return keeper.address(now, p) }, newGate: p.newColdGate, regions: p.options.Regions,
		contact: &p.contact, transactionTime: p.options.EvacuateTime / 2,
		finder: placement.NewFinder(), reader: placement.NewReadBalancer(rand.Uint64()), viewChanged: make(chan struct{}),
	}
}

// sessionID returns the name under which sessions keep their floors in the group. A group that leaves the configuration and
// comes back has the same one.
func (g *group) sessionID() session.GroupID { return session.GroupID(g.name) }

// applyView applies a view. The pools of instances that left the group are closed.
func (g *group) applyView(now time.Time, v *wire.View, retired map[string]bool, newPool func(m *wire.Member) *connpool.Pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	former := g.primary
	g.updateMembers(now, v, retired, newPool)
	g.primary, g.former, g.term = v.GetPrimary(), v.GetFormer(), v.GetTerm()
	g.switching, g.stalled, g.held = v.GetPhase() == wire.Phase_PHASE_SWITCHING, v.GetStalled(), v.GetHeld()
	g.finder.SetView(now, placement.ServerID(g.primary))
	close(g.viewChanged)
	g.viewChanged = make(chan struct{})
	if former != "" && former != g.primary && v.GetPhase() == wire.Phase_PHASE_STEADY {
		if m := g.find(placement.ServerID(former)); m != nil && m.stats.Silence(now) >= silenceThreshold {
			go m.pool.CloseConnections()
		}
	}
}

// updateMembers replaces the members by those of the view. An instance with unchanged address and start time
// keeps its pool and statistics. The caller holds the lock.
func (g *group) updateMembers(now time.Time, v *wire.View, retired map[string]bool, newPool func(m *wire.Member) *connpool.Pool) {
	var members []*member
	var ids []placement.ServerID
	for _, w := range v.GetMembers() {
		id := placement.ServerID(w.GetServer())
		m := g.find(id)
		if m == nil || m.pool.Address() != w.GetAddress() || m.born != w.GetBorn() {
			m = &member{
				id: id, pool: newPool(w), stats: placement.NewInstanceStats(initialLatency), avoidUntil: map[string]time.Time{}, born: w.GetBorn(),
			}
		}
		ids = append(ids, id)
		next := &member{
			id: id, pool: m.pool, stats: m.stats, avoidUntil: m.avoidUntil, born: m.born, zone: w.GetZone(), slots: int(w.GetSlots()),
			leaving: w.GetLeaving() || w.GetRetired() || retired[w.GetServer()],
		}
		if next.leaving {
			next.leftAt = g.leftAt(now, w)
		}
		next.pool.EndAt(g.lastWork(next))
		g.applyCold(now, m, next, w)
		g.updateEvacuation(now, w, next)
		members = append(members, next)
	}
	for _, m := range g.members {
		if !slices.ContainsFunc(members, func(n *member) bool { return n.pool == m.pool }) {
			m.pool.Close()
		}
	}
	g.members, g.ids = members, ids
}

// leftAt returns when a member began to leave, or an earlier time. What this VM saw itself goes before what a control VM states
// by its wall clock. A VM that was frozen or cut off learns of it late, so it counts from its last contact. The caller holds the
// lock.
func (g *group) leftAt(now time.Time, w *wire.Member) time.Time {
	known := g.find(placement.ServerID(w.GetServer()))
	seen := known != nil && known.born == w.GetBorn()
	switch {
	case seen && known.leaving:
		return known.leftAt
	case seen:
		if last := g.contact.current(now); !last.IsZero() {
			return last
		}
		return now
	case w.GetLeft() == 0:
		return now
	}
	return now.Add(-max(g.wall().Sub(time.UnixMilli(w.GetLeft())), 0))
}

// lastWork returns the time from which a member takes no new work; zero if there is none.
func (g *group) lastWork(m *member) time.Time {
	if !m.leaving || g.leaveLimit == 0 {
		return time.Time{}
	}
	return m.leftAt.Add(g.leaveLimit)
}

// takesWork reports whether new work may go to a member.
func (g *group) takesWork(now time.Time, m *member) bool {
	last := g.lastWork(m)
	return last.IsZero() || now.Before(last)
}

// find returns the member with an id, or nil. The caller holds the lock.
func (g *group) find(id placement.ServerID) *member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// close closes all pools.
func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.pool.Close()
	}
	g.members, g.ids = nil, nil
}

// limits are the numbers of connections that entry VMs may open to an instance.
type limits struct {
	owner     int
	successor int // of the entry VM that the others use while the owner does not answer
}

// connectionLimits divides the connections that an instance accepts, for a number of client accounts.
func connectionLimits(accepted, accounts int) limits {
	least, most := int(float64(accepted)*minOwnerShare), int(float64(accepted)*maxOwnerShare)
	owner := min(max(accounts, least), most)
	return limits{max(owner, fallbackConnections), max((accepted-owner)/2, fallbackConnections)}
}

// setConnectionLimits sets how many connections this VM may open to each instance. The others use the successor of an
// owner as soon as that does not answer them, before it leaves the list of entry VMs.
func (g *group) setConnectionLimits(now time.Time, ownID string, ownership *placement.Ownership, l limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		limit, idle := fallbackConnections, fallbackIdleTimeout
		switch owners := ownership.Of(string(m.id)); {
		case len(owners) > 0 && owners[0].ID == ownID:
			limit, idle = l.owner, ownerIdleTimeout
		case len(owners) > 1 && owners[1].ID == ownID:
			limit = l.successor
		}
		m.pool.SetLimit(limit)
		m.pool.CloseIdle(now, idle)
	}
}

// ownedPools returns the pools of the members whose connections the VM with an identity owns.
func (g *group) ownedPools(ownID string, ownership *placement.Ownership) []*connpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var owned []*connpool.Pool
	for _, m := range g.members {
		if owners := ownership.Of(string(m.id)); !m.leaving && !m.evacuated && len(owners) > 0 && owners[0].ID == ownID {
			owned = append(owned, m.pool)
		}
	}
	return owned
}

// instances returns the members as instances whose connections an entry VM owns.
func (g *group) instances() []placement.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]placement.Instance, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, placement.Instance{Server: string(m.id), Zone: m.zone})
	}
	return out
}

// pools returns the connection pools of all members.
func (g *group) pools() []*connpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*connpool.Pool, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m.pool)
	}
	return out
}

// primaryTarget returns the instance to use as the primary. If there is none, wait is the time after which to
// try again, unless changed closes before. With fresh set it is for new work: it returns none during a planned switchover, no
// instance that has been leaving for too long or is evacuated, and during a stalled failover only one that still leads and can
// acknowledge commits.
// Otherwise it returns none that is past the limit of an evacuation.
func (g *group) primaryTarget(now time.Time, fresh bool) (m *member, wait time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	if fresh && (g.switching || g.refusesWork()) {
		return nil, switchoverRetry, g.viewChanged
	}
	if m := g.evacuatedPrimary(); m != nil && (fresh || m.pastEvacuation(now)) {
		return nil, switchoverRetry, g.viewChanged
	}
	id, wait, ok := g.finder.Primary(now, g.idsForWork(now, fresh))
	if !ok {
		return nil, wait, g.viewChanged
	}
	return g.find(id), 0, g.viewChanged
}

// idsForWork returns the ids of the members that take new work, or that take requests for proofs. The caller holds the lock.
func (g *group) idsForWork(now time.Time, fresh bool) []placement.ServerID {
	refuses := func(m *member) bool {
		return fresh && (m.evacuated || !g.takesWork(now, m)) || m.pastEvacuation(now)
	}
	if !slices.ContainsFunc(g.members, refuses) {
		return g.ids
	}
	var ids []placement.ServerID
	for _, m := range g.members {
		if !refuses(m) {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// isStalled reports whether a failover cannot end soon, and no instance is known to lead still.
func (g *group) isStalled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled && g.finder.Leader() == ""
}

// isRefusing reports whether new work for a primary is refused at once because of a stalled failover.
func (g *group) isRefusing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusesWork()
}

// refusesWork is isRefusing for callers that hold the lock.
func (g *group) refusesWork() bool { return g.stalled && (g.held || g.finder.Leader() == "") }

// primaryIsLeaving reports whether the instance that led last takes no new work any more.
func (g *group) primaryIsLeaving(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(cmp.Or(g.finder.Leader(), placement.ServerID(g.former)))
	return m != nil && !g.takesWork(now, m)
}

// recordPrimary records that an instance led when a request was sent to it, with its log position as a proof.
func (g *group) recordPrimary(sent time.Time, server string, at position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finder.MarkPrimary(g.now(), placement.ServerID(server))
	g.proofs.Observe(sent, at)
}

// recordNotPrimary records that an instance does not lead.
func (g *group) recordNotPrimary(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finder.MarkNotPrimary(g.now(), placement.ServerID(server))
}

// recordUnreachable records that an instance did not answer.
func (g *group) recordUnreachable(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finder.MarkUnreachable(g.now(), placement.ServerID(server))
}

// readTarget returns the instance to use for a read among those that are allowed, or nil if there is none left to try.
func (g *group) readTarget(now time.Time, floor position.Position, tried []string, r connRequest, allowed func(*member) bool) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	candidates := make([]placement.Candidate, 0, len(g.members))
	members := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		if m.leaving || m.evacuated || !m.cold.takesReads(now) || !allowed(m) {
			continue
		}
		seen, ago := m.stats.LastPosition(now)
		members = append(members, m)
		candidates = append(candidates, placement.Candidate{
			Server: m.id, Primary: string(m.id) == g.primary, RoundTrip: g.zoneRTT(m.zone), Latency: m.stats.Latency(now),
			Slots: m.slots, Waiting: m.stats.Waiting(now), LastPosition: seen, PositionAge: ago, Failing: m.stats.Failing(),
			Tried: slices.Contains(tried, string(m.id)),
		})
		m.stats.Expect(now, r.account, int(r.priority), &candidates[len(candidates)-1])
	}
	if i := g.reader.Choose(floor, candidates); i >= 0 {
		return members[i]
	}
	return nil
}

// sight returns the report to the control group on whether this VM reaches the primary on connections of its own. It is
// nil if the primary has answered nothing there of late and no statement waits for it: statements that go through
// another entry VM show nothing of the primary, since that VM or its link may be the slow one.
func (g *group) sight(now time.Time) *wire.Sight {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(placement.ServerID(g.primary))
	if m == nil || !m.pool.Observed(now, sightPeriod) {
		return nil
	}
	silent := m.pool.Silence(now)
	return &wire.Sight{
		Group: g.name, Term: g.term, Server: g.primary, Reachable: silent < silenceThreshold, Silent: silent.Milliseconds(),
	}
}
