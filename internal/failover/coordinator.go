// Package failover decides on the failovers, switchovers and membership changes of all database groups.
package failover

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Coordinator is the Policy for instances that promise terms: a server is promoted after a majority of the
// members of its group has promised the term. Each control leader creates a new Coordinator. It is not safe
// for concurrent use.
//
// Invariants: no call carries a term that is not durable in the control log. At most one server is
// called to promote for a term, after a majority of the members has promised the term. A promotion
// is recorded only when a majority follows the new primary and has all of its log up to the start
// of the term, so later promotions keep that log.
type Coordinator struct {
	id           string
	groups       map[GroupID]*group
	sortedGroups []*group // sorted by id
	retired      map[ServerID]bool
	lastStep     time.Time
	effects      []Effect // of the current Step
}

// New returns the Coordinator of a control leader. The id is added to the reasons of its terms in the log.
func New(id string) *Coordinator {
	return &Coordinator{id: id, groups: map[GroupID]*group{}, retired: map[ServerID]bool{}}
}

// Step handles an event and returns the effects in the order in which they are due.
func (c *Coordinator) Step(now time.Time, e Event) []Effect {
	c.effects = nil
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > pauseThreshold {
		c.resetSilence(now)
	}
	c.lastStep = now
	switch e := e.(type) {
	case ViewApplied:
		c.group(GroupID(e.View.GetGroup())).viewApplied(now, e.View)
	case ConfigurationApplied:
		c.configure(now, e)
	case Announced:
		c.announced(now, e.Report)
	case ReachabilityReported:
		c.reachabilityReported(now, e)
	case CallCompleted:
		if g, ok := c.groups[e.Call.Group]; ok {
			g.callCompleted(now, e)
		}
	case Tick:
		for _, g := range c.sortedGroups {
			g.tick(now)
		}
	case SwitchoverRequested:
		if g, ok := c.groups[e.Group]; ok {
			g.startSwitchover(now, e.To)
		}
	}
	return c.effects
}

// resetSilence discards evidence of silent primaries from a time in which this process did not run.
func (c *Coordinator) resetSilence(now time.Time) {
	for _, g := range c.sortedGroups {
		g.primaryConfirmed = now
		clear(g.entryReports)
	}
}

// group returns the group and creates it if needed.
func (c *Coordinator) group(id GroupID) *group {
	if g, ok := c.groups[id]; ok {
		return g
	}
	g := &group{
		coordinator:  c,
		id:           id,
		view:         &wire.View{Group: string(id)},
		servers:      map[ServerID]*server{},
		entryReports: map[string]entryReport{},
		promises:     map[ServerID]Report{},
	}
	c.groups[id] = g
	i, _ := slices.BinarySearchFunc(c.sortedGroups, id, func(g *group, id GroupID) int { return cmp.Compare(g.id, id) })
	c.sortedGroups = slices.Insert(c.sortedGroups, i, g)
	return g
}

func (c *Coordinator) configure(now time.Time, e ConfigurationApplied) {
	for _, g := range c.sortedGroups {
		g.configured = 0
	}
	for _, configured := range e.Groups {
		c.group(GroupID(configured.GetName())).configured = int(configured.GetMembers())
	}
	clear(c.retired)
	for _, id := range e.Retired {
		c.retired[ServerID(id)] = true
	}
	for _, g := range c.sortedGroups {
		for _, s := range g.servers {
			s.setRetired(now, c.retired[s.id])
		}
	}
	c.sortedGroups = slices.DeleteFunc(c.sortedGroups, func(g *group) bool {
		if g.configured == 0 {
			delete(c.groups, g.id)
		}
		return g.configured == 0
	})
}

func (c *Coordinator) announced(now time.Time, r Report) {
	g, ok := c.groups[r.Group]
	if !ok || r.Server == "" || r.Address == "" {
		return
	}
	s := g.server(r.Server)
	s.address, s.zone = r.Address, r.Zone
	g.recordReport(now, s, r)
}

func (c *Coordinator) reachabilityReported(now time.Time, e ReachabilityReported) {
	for _, sight := range e.Sights {
		if g, ok := c.groups[GroupID(sight.GetGroup())]; ok {
			g.recordEntryReport(now, e.Entry, sight)
		}
	}
}

func (c *Coordinator) propose(e *wire.Entry) {
	c.effects = append(c.effects, Propose{e})
}
