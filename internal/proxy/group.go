package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// proofRefreshAge is the age of the newest proof at which another one is fetched while the group is in use.
	// It is well below the smallest maximum staleness that the first users configured, 1.5 s.
	proofRefreshAge = 400 * time.Millisecond
	// sharedProofAge is the age up to which the entry VMs share the proof of the one that owns the connections
	// to the primary. Otherwise the statements for proofs would grow with the number of entry VMs.
	sharedProofAge = 100 * time.Millisecond
	// activePeriod is how long a group counts as in use after its last statement.
	activePeriod = 5 * time.Second
	// proofTimeout bounds one attempt to fetch a proof. The attempt needs no slot.
	proofTimeout = 400 * time.Millisecond
	// requestMargin is subtracted from the maximum staleness for the transit of the caller's request to this VM.
	requestMargin = 20 * time.Millisecond
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
	lastPeer   string                   // entry VM used last for the instance; guarded by group.mu
	born       uint64
	zone       string
	slots      int
	leaving    bool
	owners     []placement.EntryVM  // that may own the connections, preferred first; guarded by group.mu
	ownersFrom *[]placement.EntryVM // list of entry VMs from which owners was computed; guarded by group.mu
}

// candidates returns the entry VMs that may own the connections to the instance, preferred first. The caller
// holds the lock of the group.
func (m *member) candidates(entries *[]placement.EntryVM) []placement.EntryVM {
	if m.ownersFrom != entries {
		m.owners, m.ownersFrom = placement.Owners(string(m.id), m.zone, *entries), entries
	}
	return m.owners
}

// group is the state of a database group on this VM. It is safe for concurrent use.
type group struct {
	name           string
	now            func() time.Time
	zoneRTT        func(zone string) time.Duration
	usableOwner    func(m *member, now time.Time) string // see Proxy.usableOwner
	preferredOwner func(m *member) string                // see Proxy.preferredOwner
	forward        *forward.Client
	proofFlight    singleflight.Group

	mu            sync.Mutex
	members       []*member            // in the order of the view
	ids           []placement.ServerID // of members, for the finder
	primary       string               // according to the control group
	term          uint64               // of the group, according to the control group
	switching     bool                 // a planned switchover is in progress; new writes wait
	finder        *placement.Finder
	reader        *placement.ReadBalancer
	proofs        freshness.Tracker
	lastUsed      time.Time
	recentAccount string        // client account served last
	viewChanged   chan struct{} // closed and replaced when the view changes

	revision uint64 // of the view applied last; accessed only by the event loop
}

func newGroup(name string, p *Proxy) *group {
	return &group{
		name: name, now: p.options.Now, zoneRTT: p.zoneRTT, usableOwner: p.usableOwner, preferredOwner: p.preferredOwner, forward: p.forward,
		finder: placement.NewFinder(), reader: placement.NewReadBalancer(rand.Uint64()), viewChanged: make(chan struct{}),
	}
}

// applyView applies a view. The pools of instances that left the group are closed.
func (g *group) applyView(now time.Time, v *wire.View, retired map[string]bool, newPool func(m *wire.Member) *connpool.Pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	former := g.primary
	g.updateMembers(v, retired, newPool)
	g.primary, g.term = v.GetPrimary(), v.GetTerm()
	g.switching = v.GetPhase() == wire.Phase_PHASE_SWITCHING
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
func (g *group) updateMembers(v *wire.View, retired map[string]bool, newPool func(m *wire.Member) *connpool.Pool) {
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
		members = append(members, &member{
			id: id, pool: m.pool, stats: m.stats, avoidUntil: m.avoidUntil, lastPeer: m.lastPeer, born: m.born, zone: w.GetZone(), slots: int(w.GetSlots()),
			leaving: w.GetLeaving() || w.GetRetired() || retired[w.GetServer()],
		})
	}
	for _, m := range g.members {
		if !slices.ContainsFunc(members, func(n *member) bool { return n.pool == m.pool }) {
			m.pool.Close()
		}
	}
	g.members, g.ids = members, ids
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

// setConnectionLimits sets how many connections this VM may open to each instance: maxConnections if it owns
// the connections to the instance, else fallbackConnections.
func (g *group) setConnectionLimits(now time.Time, ownID string, entries *[]placement.EntryVM, maxConnections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		limit, idle := fallbackConnections, fallbackIdleTimeout
		if owners := m.candidates(entries); len(owners) > 0 && owners[0].ID == ownID {
			limit, idle = max(maxConnections, limit), ownerIdleTimeout
		}
		m.pool.SetLimit(limit)
		m.pool.CloseIdle(now, idle)
	}
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
// try again, unless changed closes before. With fresh set, it returns none during a planned switchover.
func (g *group) primaryTarget(now time.Time, fresh bool) (m *member, wait time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	if g.switching && fresh {
		return nil, switchoverRetry, g.viewChanged
	}
	id, wait, ok := g.finder.Primary(now, g.ids)
	if !ok {
		return nil, wait, g.viewChanged
	}
	return g.find(id), 0, g.viewChanged
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

// floor returns the minimum log position that a read of a session must see. It queries the primary if no
// proof is recent enough. It returns false if ctx ended before a proof arrived.
func (g *group) floor(ctx context.Context, account string, age time.Duration, session position.Position) (position.Position, bool) {
	for {
		g.mu.Lock()
		g.lastUsed = g.now()
		if g.recentAccount == "" {
			g.recentAccount = account
		}
		at, ok := g.proofs.Floor(g.lastUsed, age-requestMargin)
		if ok && !session.IsZero() {
			at = freshness.Max(at, g.proofs.EffectiveFloor(session))
		}
		g.mu.Unlock()
		if ok {
			return at, true
		}
		if !g.awaitProof(ctx) {
			return position.Position{}, false
		}
	}
}

// awaitProof fetches a proof; concurrent callers share one attempt. It returns false if ctx ended before.
func (g *group) awaitProof(ctx context.Context) bool {
	select {
	case <-g.fetchProof():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// fetchProof starts an attempt to fetch a proof unless one is in progress. The channel receives when the
// attempt has ended.
func (g *group) fetchProof() <-chan singleflight.Result {
	return g.proofFlight.DoChan("", func() (any, error) {
		g.queryProof()
		return nil, nil
	})
}

// queryProof queries the end of the primary's log with a statement that succeeds only on an instance that leads.
func (g *group) queryProof() {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	m, wait, changed := g.primaryTarget(g.now(), false)
	if m == nil {
		select {
		case <-changed:
		case <-time.After(min(wait, proofTimeout)):
		}
		return
	}
	h := g.newConn(m, connRequest{account: g.proofAccount(), weight: 1, read: true})
	defer h.Release()
	sent := g.now()
	proof, err := h.Prove(ctx, connpool.Limit{Until: sent.Add(proofTimeout)}, sharedProofAge)
	switch {
	case err != nil:
		g.recordPrimaryAnswer(m, sent, nil, err)
	case proof.Answer.Code == operation.Done && proof.Sent.Before(sent):
		g.recordPosition(proof.Sent, proof.Answer.At)
	default:
		g.recordPrimaryAnswer(m, sent, []operation.Answer{proof.Answer}, nil)
	}
}

// recordPosition records a proof from before the request for it. It does not show which instance leads now.
func (g *group) recordPosition(sent time.Time, at position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proofs.Observe(sent, at)
}

// recordPrimaryAnswer records whether an instance leads, according to its answer to the beginning of a
// read-write transaction or to a write.
func (g *group) recordPrimaryAnswer(m *member, sent time.Time, answers []operation.Answer, err error) {
	switch {
	case len(answers) > 0 && answers[0].Code == operation.Done:
		g.recordPrimary(sent, string(m.id), answers[0].At)
	case len(answers) > 0 && answers[0].Code == operation.ReadOnly:
		g.recordNotPrimary(string(m.id))
	case isUnreachable(err):
		g.recordUnreachable(string(m.id))
	}
}

// refreshProof fetches a proof before the newest one becomes too old, while the group is in use.
func (g *group) refreshProof(now time.Time) {
	g.mu.Lock()
	sent, _, ok := g.proofs.Newest()
	due := now.Sub(g.lastUsed) < activePeriod && (!ok || now.Sub(sent) >= proofRefreshAge)
	g.mu.Unlock()
	if due {
		g.fetchProof()
	}
}

// readTarget returns the instance to use for a read, or nil if there is none left to try.
func (g *group) readTarget(now time.Time, floor position.Position, tried []string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	candidates := make([]placement.Candidate, 0, len(g.members))
	members := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		if m.leaving {
			continue
		}
		seen, ago := m.stats.LastPosition(now)
		members = append(members, m)
		candidates = append(candidates, placement.Candidate{
			Server: m.id, Primary: string(m.id) == g.primary, RoundTrip: g.zoneRTT(m.zone), Latency: m.stats.Latency(now),
			Slots: m.slots, Waiting: m.stats.Waiting(now), LastPosition: seen, PositionAge: ago, Failing: m.stats.Failing(),
			Tried: slices.Contains(tried, string(m.id)),
		})
	}
	if i := g.reader.Choose(floor, candidates); i >= 0 {
		return members[i]
	}
	return nil
}

// sight returns the report to the control group on whether this VM reaches the primary. It is nil without
// traffic.
func (g *group) sight(now time.Time) *wire.Sight {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(placement.ServerID(g.primary))
	if m == nil || now.Sub(g.lastUsed) >= activePeriod {
		return nil
	}
	silent := m.stats.Silence(now)
	if via := m.lastPeer; via != "" && silent >= silenceThreshold && !g.forward.Usable(via) {
		silent = 0 // the entry VM that forwards to the primary does not answer, not the primary
	}
	return &wire.Sight{
		Group: g.name, Term: g.term, Server: g.primary, Reachable: silent < silenceThreshold, Silent: silent.Milliseconds(),
	}
}
