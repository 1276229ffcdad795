package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// zoneDistance is the one-way delay to another availability zone of the same region.
const zoneDistance = 5 * time.Millisecond

// settleWait is the pause for a state that includes the answers of a round which just ended.
const settleWait = 5 * time.Millisecond

// router shares the router of a group between traffic goroutines.
type router struct {
	mu         sync.Mutex
	router     *route.Router
	candidates []route.Candidate
}

// choose places a read on a server of the state.
func (r *router) choose(now time.Time, q route.Request, state *groupState) route.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = r.candidates[:0]
	for i := range state.servers {
		s := &state.servers[i]
		running, queued := s.slots.load()
		r.candidates = append(r.candidates, route.Candidate{
			Server: route.ServerID(s.id), Primary: s == state.primary, Retired: s.retired, Down: !s.alive(now),
			Distance: s.distance, Position: s.member.At, History: s.member.History, AsOf: s.member.Fresh,
			Slots: s.allowed, Running: running, Queued: queued,
		})
	}
	return r.router.Choose(now, q, r.candidates)
}

// observe takes the time of an answer.
func (r *router) observe(now time.Time, s *server, elapsed time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Observe(now, route.ServerID(s.id), s.distance, elapsed, lost)
}

// advance takes a reported position.
func (r *router) advance(now time.Time, s *server, at position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Advance(now, route.ServerID(s.id), at)
}

func (r *router) forget(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Forget(route.ServerID(s.id))
}

// readLane waits for a server that may serve a read, a slot and a connection.
func (s *callerSession) readLane(w *wait) (*lane, *outcome.Error) {
	arrived := time.Now()
	floor, refusal := s.waitFloor(w)
	if refusal != nil {
		return nil, refusal
	}
	q := route.Request{Read: true, Floor: floor, MaxAge: s.parameters.ageOn(s.route), Arrived: arrived, Deadline: w.deadline}
	for {
		now := time.Now()
		state := s.route.group.state.Load()
		choice := s.route.group.router.choose(now, q, state)
		if choice.Result == route.Chosen {
			l, again, refusal := s.board(w, &state.servers[choice.Index], true)
			if refusal != nil {
				return nil, refusal
			}
			if again {
				continue
			}
			l.term = state.term
			l.replica = &state.servers[choice.Index] != state.primary
			if l.replica {
				s.vm.metrics.replicaReads.Add(1)
			} else {
				s.vm.metrics.primaryReads.Add(1)
			}
			return l, nil
		}
		if refusal := s.untilPlaced(w, choice, state, &q); refusal != nil {
			return nil, refusal
		}
		if choice.Result == route.Wait {
			q.Waited += time.Since(now)
		}
	}
}

// untilPlaced waits for what a read lacks. For a read of current data that is a majority round sent
// after the statement came: a primary that is cut off does not know of newer writes, so its own word
// is not enough.
func (s *callerSession) untilPlaced(w *wait, choice route.Choice, state *groupState, q *route.Request) *outcome.Error {
	pause := redialWait
	switch choice.Result {
	case route.Wait:
		pause = choice.Wait
	case route.Stale:
		if q.MaxAge == 0 && !s.asked {
			s.asked = true
			defer func() { s.asked = false }()
			if _, ok := s.receiveFloor(w, s.vm.askFloor(s.route.group)); !ok {
				return noMajority(w)
			}
		}
		pause = settleWait
	}
	if !w.until(state.next, pause) {
		state := outcome.NotRun
		if choice.Result == route.NoPrimary {
			state = outcome.NoPrimary
		}
		return w.refusal(state, "no backend server holds the data that the read needs; the statement did not run", "send it again")
	}
	return nil
}
