package entryvm

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/slots"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// maxBatch bounds the number of events handled before the group states are published, so that readers do not wait
// long.
const maxBatch = 256

// idleConnTimeout is the time after which an idle statement connection above the first is closed.
const idleConnTimeout = time.Minute

const (
	// frozenTimeout is the time without an answer after which the connections in use to a replica are closed. It
	// exceeds several TCP retransmissions, so that packet loss alone does not end reads.
	frozenTimeout = 2 * time.Second
	// sweepInterval is the time between two checks for frozen replicas.
	sweepInterval = 250 * time.Millisecond
	// frozenSweeps is the number of consecutive checks that must have found no newer answer as well. After the event loop was
	// blocked all answers are old, since it has sent no requests, and the first check finds none that is newer.
	frozenSweeps = 2
)

// runEventLoop handles events and ticks on the goroutine that owns the control state.
func (vm *VM) runEventLoop() {
	defer close(vm.done)
	defer vm.closeServers()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-vm.ctx.Done():
			return
		case f := <-vm.inbox.C():
			f(time.Now())
			vm.handleQueued()
		case <-ticker.C:
			vm.tick(time.Now())
		}
		for _, g := range vm.groups {
			if g.dirty {
				g.publish()
			}
		}
	}
}

// handleQueued handles up to maxBatch events that are already queued.
func (vm *VM) handleQueued() {
	for range maxBatch {
		select {
		case f := <-vm.inbox.C():
			f(time.Now())
		default:
			return
		}
	}
}

// tick advances the majority rounds, closes connections to frozen replicas and applies connection budgets.
func (vm *VM) tick(now time.Time) {
	for _, g := range vm.groups {
		vm.stepGroup(now, g, watermark.Tick{})
		vm.closeFrozen(now, g)
		for _, s := range g.servers {
			vm.applyBudget(now, s)
		}
	}
}

// closeFrozen closes the connections in use to replicas that have not answered for frozenTimeout and frozenSweeps checks. Reads
// on them would wait for as long as the replica is frozen; they are retried on other servers. Statements on a frozen primary
// end when its term is superseded.
func (vm *VM) closeFrozen(now time.Time, g *group) {
	if now.Sub(g.lastSweep) < sweepInterval {
		return
	}
	g.lastSweep = now
	for _, m := range g.watermarks.Members() {
		s, ok := g.servers[m.Server]
		if !ok {
			continue
		}
		sweeps := s.countSilentSweep(m.LastAnswer)
		frozen := sweeps >= frozenSweeps && now.Sub(m.LastAnswer) > frozenTimeout
		if m.Known && frozen && string(m.Server) != g.view.GetPrimary() {
			s.pool.CloseInUse()
		}
	}
}

// countSilentSweep counts a check for frozen replicas and returns the number of consecutive checks that found no newer
// answer of the server.
func (s *server) countSilentSweep(lastAnswer time.Time) int {
	if !lastAnswer.Equal(s.sweptAnswer) {
		s.sweptAnswer = lastAnswer
		s.silentSweeps = 0
		return 0
	}
	s.silentSweeps++
	return s.silentSweeps
}

// applyBudget limits the connections to a server to the number leased for it. The first of them is the status
// link's.
func (vm *VM) applyBudget(now time.Time, s *server) {
	n := vm.credits.Connections(now, lease.ServerID(s.id))
	if n > 0 && s.startLink != nil {
		s.startLink()
		s.startLink = nil
	}
	s.pool.SetLimit(max(0, n-1))
	s.pool.CloseIdle(now.Add(-idleConnTimeout), 1)
}

func (vm *VM) nextWaitID() watermark.WaitID {
	vm.lastWaitID++
	return watermark.WaitID(vm.lastWaitID)
}

// stepGroup applies an event to the majority rounds of a group and executes the resulting effects.
func (vm *VM) stepGroup(now time.Time, g *group, e watermark.Event) {
	for _, effect := range g.watermarks.Step(now, e) {
		switch f := effect.(type) {
		case watermark.RequestStatus:
			for _, id := range f.Servers {
				if s, ok := g.servers[id]; ok {
					s.link.RequestStatus(f.Round)
				}
			}
		case watermark.FloorResolved:
			g.floors[f.Wait] <- f.Floor
			delete(g.floors, f.Wait)
		case watermark.CommitResolved:
			g.confirmations[f.Wait] <- f
			delete(g.confirmations, f.Wait)
		}
	}
	switch e := e.(type) {
	case watermark.StatusReceived:
		g.recordPosition(now, e.Server, e.Report.At)
	case watermark.PositionAdvanced:
		g.recordPosition(now, e.Server, e.At)
	case watermark.LinkLost, watermark.ViewChanged:
		g.dirty = true
	}
}

// recordPosition records the reported position of a server.
func (g *group) recordPosition(now time.Time, id watermark.ServerID, at position.Position) {
	g.dirty = true
	if s, ok := g.servers[id]; ok {
		g.router.recordPosition(now, s, at)
	}
}

// applyUpdate applies an update of the configuration and the views from the control group.
func (vm *VM) applyUpdate(now time.Time, u *wire.Update) {
	before := vm.controlState.Version()
	vm.controlState.ApplyUpdate(u)
	configuration := vm.controlState.Configuration()
	for _, c := range configuration.GetGroups() {
		if _, known := vm.groups[c.GetName()]; !known && vm.serves(c.GetName()) {
			vm.groups[c.GetName()] = newGroup(c.GetName())
		}
	}
	views := make(map[string]*wire.View)
	for _, v := range vm.controlState.Views() {
		views[v.GetGroup()] = controlstate.UsableView(v)
	}
	retired := make(map[string]bool)
	for _, name := range configuration.GetRetired() {
		retired[name] = true
	}
	configured := make(map[string]bool)
	for _, c := range configuration.GetGroups() {
		configured[c.GetName()] = true
		if g, ok := vm.groups[c.GetName()]; ok {
			vm.updateGroup(now, g, c, views[c.GetName()], retired)
		}
	}
	for name, g := range vm.groups {
		if !configured[name] {
			vm.dropGroup(g)
		}
	}
	if vm.controlState.Version() != before || u.GetFull() != nil {
		vm.table.Store(newTable(configuration, vm.groups))
		vm.closeRevoked()
		log.WithField("version", vm.controlState.Version()).Info("configuration applied")
	}
	vm.leases.SetApplied(vm.controlState.Version())
}

func (vm *VM) serves(name string) bool {
	if len(vm.options.Entry.Groups) == 0 {
		return true
	}
	for _, one := range vm.options.Entry.Groups {
		if one == name {
			return true
		}
	}
	return false
}

// updateGroup applies the configuration and the view of a group to its servers and majority rounds.
func (vm *VM) updateGroup(now time.Time, g *group, c *wire.Group, v *wire.View, retired map[string]bool) {
	if v == nil {
		v = &wire.View{Group: g.name}
	}
	changed := g.view.GetRevision() != v.GetRevision() || g.view == nil || g.members != c.GetMembers()
	old := g.view
	g.view, g.members = v, c.GetMembers()
	before := g.retired
	g.retired = make(map[string]bool)
	present := make(map[watermark.ServerID]bool)
	for _, m := range v.GetMembers() {
		id := watermark.ServerID(m.GetServer())
		present[id] = true
		g.retired[m.GetServer()] = m.GetRetired() || m.GetEvacuated() || retired[m.GetServer()]
		if s, ok := g.servers[id]; ok && (s.address != m.GetAddress() || s.slotLimit != int(max(c.GetSlots(), 1))) {
			vm.closeServer(s)
			delete(g.servers, id)
		}
		if _, ok := g.servers[id]; !ok {
			g.servers[id] = vm.newServer(g, c, m)
			vm.control.RenewNow() // requests leases for its connections
		}
	}
	for id, s := range g.servers {
		if !present[id] {
			vm.closeServer(s)
			g.router.remove(s)
			delete(g.servers, id)
		}
	}
	g.dirty = true
	if !changed && maps.Equal(before, g.retired) {
		return
	}
	members := make([]watermark.ServerID, 0, len(v.GetMembers()))
	var leaving []watermark.ServerID
	for _, m := range v.GetMembers() {
		members = append(members, watermark.ServerID(m.GetServer()))
		if m.GetRetired() || retired[m.GetServer()] { // an evacuated replica goes on confirming commits
			leaving = append(leaving, watermark.ServerID(m.GetServer()))
		}
	}
	vm.stepGroup(now, g, watermark.ViewChanged{
		Term: position.Term(v.GetTerm()), History: history(v), Primary: watermark.ServerID(v.GetPrimary()),
		Members: members, Retired: leaving, Count: int(c.GetMembers()),
	})
	vm.closeSuperseded(now, g, old, v)
}

// closeSuperseded closes the connections in use to a former primary, so that a statement on a frozen one ends:
// immediately if the former primary does not answer, else after supersededGrace, so that it can send its own answers.
func (vm *VM) closeSuperseded(now time.Time, g *group, old, v *wire.View) {
	if old.GetTerm() != v.GetTerm() || old.GetPrimary() != v.GetPrimary() {
		log.WithField("group", g.name).WithField("term", v.GetTerm()).WithField("primary", v.GetPrimary()).Info("view changed")
	}
	primary := watermark.ServerID(v.GetPrimary())
	if primary == "" || primary == g.lastPrimary {
		return
	}
	if former, ok := g.servers[g.lastPrimary]; ok {
		pause := supersededGrace
		if g.unresponsive(now, g.lastPrimary) {
			pause = 0
		}
		time.AfterFunc(pause, former.pool.CloseInUse)
	}
	g.lastPrimary = primary
}

// newServer returns a backend server with its connection pool and status link. No connection opens before a
// connection budget is granted.
func (vm *VM) newServer(g *group, c *wire.Group, m *wire.Member) *server {
	s := &server{
		id:        watermark.ServerID(m.GetServer()),
		address:   m.GetAddress(),
		zone:      m.GetZone(),
		pool:      backend.NewPool(vm.options.Credentials, vm.identity+"/statement", vm.control.RenewNow),
		slotLimit: int(max(c.GetSlots(), 1)),
		slots:     slots.New(admission.Settings{Slots: int(max(c.GetSlots(), 1)), Urgency: vm.options.Entry.Urgency}),
		router:    g.router,
	}
	if s.zone != vm.options.Node.Zone {
		s.networkDelay = crossZoneDelay
	}
	target := backend.Target{Server: s.id, Address: s.address, Database: vm.database(g)}
	s.link = backend.NewLink(target, vm.options.Credentials, vm.identity+"/status", func(e watermark.Event) {
		vm.post(func(now time.Time) { vm.stepGroup(now, g, e) })
	})
	ctx, stop := context.WithCancel(vm.ctx)
	s.stop = stop
	s.startLink = func() { go s.link.Run(ctx) }
	return s
}

// database returns the database to which the status links of a group connect: that of its first route, else postgres.
func (vm *VM) database(g *group) string {
	for _, r := range vm.controlState.Configuration().GetRoutes() {
		if r.GetGroup() == g.name {
			return r.GetDatabase()
		}
	}
	return "postgres"
}

func (vm *VM) closeServer(s *server) {
	s.stop()
	s.pool.Close()
}

// dropGroup removes a group that is no longer configured and closes its servers.
func (vm *VM) dropGroup(g *group) {
	for _, s := range g.servers {
		vm.closeServer(s)
	}
	delete(vm.groups, g.name)
	g.servers = nil
	g.view = nil
	g.publish()
}

func (vm *VM) closeServers() {
	for _, g := range vm.groups {
		for _, s := range g.servers {
			vm.closeServer(s)
		}
	}
}

// closeRevoked closes the sessions whose key or route was withdrawn.
func (vm *VM) closeRevoked() {
	t := vm.table.Load()
	for _, s := range vm.sessions.list() {
		if _, refusal := t.authorize(&s.conn.Startup, s.conn.Startup.Verifier); refusal != nil {
			s.requestClose(outcome.New(outcome.SessionTerminated, refusal.Message, refusal.Remedy), true)
		}
	}
}

// addLease adds a configuration lease from a reply to Renew.
func (vm *VM) addLease(now time.Time, granted renewal.ConfigLease) {
	if vm.leases.Add(now, granted, vm.controlState.Version()) {
		vm.control.ReopenStreams()
	}
}
