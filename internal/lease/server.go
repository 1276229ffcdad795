package lease

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// server divides the connections of one backend server. The counts of all slots together never exceed the
// pool.
type server struct {
	pool         int // connections for entry VMs
	slots        []*slot
	counted      int  // sum of counted over all slots
	blocked      int  // slots with an unknown number of connections; nothing is leased meanwhile
	targetsStale bool // targets must be computed again
}

// slot is what one holder has at one server.
type slot struct {
	entry      EntryID
	want       int
	target     int
	counted    int       // connections that may be open
	unknown    bool      // the number of connections is not known
	ended      bool      // the lease ended; counted until terminated
	returnedAt time.Time // when Expire last returned it
}

// updateServers applies the servers of the views. Connections to a server that is no longer a member need not
// be counted.
func (i *Issuer) updateServers(c *wire.Configuration, views []*wire.View) {
	pools := map[ServerID]int{}
	for _, v := range views {
		g, ok := slices.BinarySearchFunc(c.GetGroups(), v.GetGroup(), func(g *wire.Group, name string) int {
			return cmp.Compare(g.GetName(), name)
		})
		for _, m := range v.GetMembers() {
			if ok {
				pools[ServerID(m.GetServer())] = max(0, int(c.GetGroups()[g].GetConnections())-controlConnections)
			}
		}
	}
	for name := range i.servers {
		if _, ok := pools[name]; !ok {
			delete(i.servers, name)
			for _, h := range i.holders {
				delete(h.slots, name)
			}
		}
	}
	for name, pool := range pools {
		s, ok := i.servers[name]
		if !ok {
			s = &server{}
			i.servers[name] = s
		}
		s.targetsStale = s.targetsStale || s.pool != pool
		s.pool = pool
	}
}

func (s *server) find(entry EntryID) (int, bool) {
	return slices.BinarySearchFunc(s.slots, entry, func(s *slot, e EntryID) int { return cmp.Compare(s.entry, e) })
}

// slotOf returns the slot of a holder and adds it if there is none.
func (s *server) slotOf(entry EntryID) *slot {
	at, ok := s.find(entry)
	if !ok {
		s.slots = slices.Insert(s.slots, at, &slot{entry: entry})
		s.targetsStale = true
	}
	return s.slots[at]
}

// block adds the slot of an expired holder that never reported. The number of its connections is not known, so
// nothing is leased until they are terminated.
func (s *server) block(entry EntryID) *slot {
	b := s.slotOf(entry)
	b.unknown, b.ended = true, true
	s.blocked++
	return b
}

func (s *server) remove(entry EntryID) {
	at, ok := s.find(entry)
	if !ok {
		return
	}
	if s.slots[at].unknown {
		s.blocked--
	}
	s.counted -= s.slots[at].counted
	s.slots = slices.Delete(s.slots, at, at+1)
	s.targetsStale = true
}

// setCounted changes the number of connections that a slot counts.
func (s *server) setCounted(b *slot, counted int) {
	s.counted += counted - b.counted
	b.counted = counted
}

// leaseConnections accounts for the needs of a holder and leases connections.
func (i *Issuer) leaseConnections(h *holder, needs []*wire.Need) []*wire.Budget {
	budgets := make([]*wire.Budget, 0, len(needs))
	listed := make(map[ServerID]bool, len(needs))
	for _, n := range needs {
		name := ServerID(n.GetServer())
		s, ok := i.servers[name]
		if !ok || listed[name] {
			continue
		}
		listed[name] = true
		b := s.slotOf(h.id)
		h.slots[name] = b
		if b.ended {
			// The termination in progress would close new connections too.
			budgets = append(budgets, &wire.Budget{Server: n.GetServer()})
			continue
		}
		budgets = append(budgets, &wire.Budget{Server: n.GetServer(), Connections: uint32(s.lease(b, n, i.unreported))})
	}
	for name, b := range h.slots {
		if !listed[name] && !b.ended {
			i.servers[name].remove(h.id)
			delete(h.slots, name)
		}
	}
	return budgets
}

// lease returns the budget of a holder. The connections that it reports as held count until a later request
// reports fewer.
func (s *server) lease(b *slot, n *wire.Need, unreported int) int {
	s.setCounted(b, int(n.GetHeld()))
	if want := int(n.GetWant()); b.want != want {
		b.want = want
		s.targetsStale = true
	}
	if s.targetsStale {
		s.setTargets()
	}
	free := s.pool - s.counted
	if free > 0 && (unreported > 0 || s.blocked > 0) {
		free = 0
	}
	leased := max(0, min(b.target, b.counted+free))
	s.setCounted(b, max(b.counted, leased))
	return leased
}

// setTargets sets the target of each slot: a status link for each entry VM, a statement connection for each
// if there are enough, and the rest in proportion to demand.
func (s *server) setTargets() {
	s.targetsStale = false
	rest := s.pool
	for _, b := range s.slots {
		b.target = 0
		if b.ended {
			rest -= b.counted
		}
	}
	rest = s.addOneToEach(rest)
	unsatisfied := 0
	for _, b := range s.slots {
		if !b.ended && b.want > b.target {
			unsatisfied++
		}
	}
	if unsatisfied <= rest {
		rest = s.addOneToEach(rest)
	}
	s.addProportionally(rest)
}

// addOneToEach adds one connection to the target of each holder that wants it, in the order of identities,
// and returns what remains.
func (s *server) addOneToEach(rest int) int {
	for _, b := range s.slots {
		if !b.ended && b.want > b.target && rest > 0 {
			b.target++
			rest--
		}
	}
	return rest
}

// addProportionally adds the rest to the targets in proportion to what is wanted beyond them.
func (s *server) addProportionally(rest int) {
	missing := 0
	for _, b := range s.slots {
		if !b.ended {
			missing += b.want - b.target
		}
	}
	if missing == 0 || rest <= 0 {
		return
	}
	// Rounding the running sum keeps the total exact and dependent only on the order of identities.
	share := min(rest, missing)
	sum, given := 0, 0
	for _, b := range s.slots {
		if b.ended {
			continue
		}
		sum += b.want - b.target
		next := share * sum / missing
		b.target += next - given
		given = next
	}
}
