package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// crossZoneDelay is the assumed one-way delay to another availability zone of the same region.
const crossZoneDelay = 5 * time.Millisecond

// router makes the route.Router of a group safe for concurrent use by session goroutines.
type router struct {
	mu         sync.Mutex
	router     *route.Router
	candidates []route.Candidate
}

// choose chooses a server of the state for a read. A server whose data is older than age is excluded. An age of 0
// excludes none, since the floor already requires current data.
func (r *router) choose(now time.Time, q route.Request, age time.Duration, state *groupState) route.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = r.candidates[:0]
	for i := range state.servers {
		s := &state.servers[i]
		running, queued := s.slots.Load()
		r.candidates = append(r.candidates, route.Candidate{
			Server: route.ServerID(s.id), Primary: s == state.primary, Retired: s.retired, Unreachable: !s.alive(now) || (age > 0 && now.Sub(s.member.FreshAsOf) > age),
			NetworkDelay: s.networkDelay, Position: s.member.At, History: s.member.History, AsOf: s.member.FreshAsOf,
			Slots: s.slotLimit, Running: running, Queued: queued,
		})
	}
	return r.router.Choose(now, q, r.candidates)
}

// observe records the time that an answer took.
func (r *router) observe(now time.Time, s *server, elapsed time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Observe(now, route.ServerID(s.id), s.networkDelay, elapsed, lost)
}

// recordPosition records a reported position.
func (r *router) recordPosition(now time.Time, s *server, at position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.ObservePosition(now, route.ServerID(s.id), at)
}

func (r *router) remove(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Remove(route.ServerID(s.id))
}

// acquireForRead waits for a server that may serve a read, a slot and a connection.
func (s *callerSession) acquireForRead(w *requestWait) (*serverConn, *outcome.Error) {
	arrived := time.Now()
	floor, refusal := s.waitFloor(w)
	if refusal != nil {
		return nil, refusal
	}
	age := s.parameters.ageFor(s.route)
	if age == 0 {
		// Current data includes everything up to the result of a majority round that starts now. A partitioned
		// primary does not know of newer writes, so its own position is not sufficient.
		current, ok := s.receiveFloor(w, s.vm.requestFloor(s.route.group))
		if !ok {
			return nil, noMajority(w)
		}
		floor = current
	}
	q := route.Request{Read: true, Floor: floor, MaxAge: route.NoMaxAge, Arrived: arrived, Deadline: w.deadline}
	for {
		now := time.Now()
		state := s.route.group.state.Load()
		choice := s.route.group.router.choose(now, q, age, state)
		if choice.Result == route.Chosen {
			sc, again, refusal := s.acquire(w, &state.servers[choice.Index], true)
			if refusal != nil {
				return nil, refusal
			}
			if again {
				continue
			}
			sc.term = state.term
			sc.replica = &state.servers[choice.Index] != state.primary
			if sc.replica {
				s.vm.metrics.replicaReads.Add(1)
			} else {
				s.vm.metrics.primaryReads.Add(1)
			}
			return sc, nil
		}
		if refusal := waitForServer(w, choice, state); refusal != nil {
			return nil, refusal
		}
		if choice.Result == route.Wait {
			q.Waited += time.Since(now)
		}
	}
}

// waitForServer waits for a newer state, or the pause, after which a server may be found for the read.
func waitForServer(w *requestWait, choice route.Choice, state *groupState) *outcome.Error {
	pause := redialBackoff
	if choice.Result == route.Wait {
		pause = choice.Wait
	}
	if w.waitFor(state.next, pause) {
		return nil
	}
	reason := outcome.NotRun
	if choice.Result == route.NoPrimary {
		reason = outcome.NoPrimary
	}
	return w.refusal(reason, "no backend server holds the data that the read needs; the statement did not run", "send it again")
}
