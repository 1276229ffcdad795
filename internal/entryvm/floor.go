package entryvm

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// groupID returns the name that identifies the group in session tokens.
func (r *callerRoute) groupID() session.GroupID {
	if r.group == nil {
		return ""
	}
	return session.GroupID(r.group.name)
}

// startFloor sets the floor of the session: that of its token, or that of a majority round which it starts. The round
// runs while the caller sends its first statement.
func (s *callerSession) startFloor() {
	if s.floor.session == nil {
		s.floor.session = session.New()
	}
	s.floor.known, s.floor.pending = s.floor.fromToken, nil
	if !s.floor.known && s.route.group != nil {
		s.floor.pending = s.vm.requestFloor(s.route.group)
	}
}

// abandonFloor stops waiting for the result of a majority round.
func (s *callerSession) abandonFloor() {
	s.floor.pending = nil // the channel is buffered, so that a late result blocks no one
}

// waitFloor returns the floor of the session. It waits for a majority round if the floor is not known yet.
func (s *callerSession) waitFloor(w *requestWait) (position.Position, *outcome.Error) {
	for !s.floor.known {
		if s.floor.pending == nil {
			s.floor.pending = s.vm.requestFloor(s.route.group)
		}
		p, ok := s.receiveFloor(w, s.floor.pending)
		if !ok {
			return position.Position{}, noMajority(w)
		}
		s.floor.pending = nil
		s.floor.known = true
		s.floor.session.Raise(s.route.groupID(), p)
	}
	return s.floor.session.Floor(s.route.groupID()), nil
}

func (s *callerSession) receiveFloor(w *requestWait, c chan position.Position) (position.Position, bool) {
	select {
	case p := <-c:
		return p, true
	default:
	}
	select {
	case p := <-c:
		return p, true
	case <-w.context().Done():
		return position.Position{}, false
	}
}

func noMajority(w *requestWait) *outcome.Error {
	return w.refusal(outcome.NotRun, "no majority of the group answers; the statement did not run", "send it again")
}

// raiseFloor raises the floor of the session to the position of an acknowledged write.
func (s *callerSession) raiseFloor(p position.Position) {
	s.floor.session.Raise(s.route.groupID(), p)
}

// token returns the floors of the session as a signed token for the caller, or "" without a signer.
func (s *callerSession) token() string {
	if s.vm.options.Signer == nil {
		return ""
	}
	return s.vm.options.Signer.Token(s.floor.session, s.conn.Startup.Account)
}

// restoreToken restores the floors from the session token in the startup packet.
func (s *callerSession) restoreToken(token string) *outcome.Error {
	if token == "" || s.vm.options.Signer == nil {
		return nil
	}
	known, err := s.vm.options.Signer.Parse(token, s.conn.Startup.Account)
	if err != nil {
		return outcome.New(outcome.InvalidParameter, "the session token is not valid", "connect without fireflyrudder.session, or with the last value received")
	}
	s.floor.session, s.floor.fromToken = known, true
	return nil
}

// requestFloor starts or joins a majority round of the group and returns the channel that receives its result.
func (vm *VM) requestFloor(g *group) chan position.Position {
	c := make(chan position.Position, 1)
	vm.post(func(now time.Time) {
		id := vm.nextWaitID()
		g.floors[id] = c
		vm.stepGroup(now, g, watermark.FloorRequested{Wait: id})
	})
	return c
}

// confirm waits until a majority has stored a commit, and returns the floor for the session that wrote it. It returns
// false if the commit is not confirmed in time.
func (vm *VM) confirm(g *group, server watermark.ServerID, at position.Position) (position.Position, bool) {
	c := make(chan watermark.CommitResolved, 1)
	vm.post(func(now time.Time) {
		id := vm.nextWaitID()
		g.confirmations[id] = c
		vm.stepGroup(now, g, watermark.ConfirmationRequested{Wait: id, Server: server, At: at})
	})
	// The event loop answers within the commit wait; the longer timeout covers a blocked event loop.
	timer := time.NewTimer(watermark.CommitWait + time.Second)
	defer timer.Stop()
	select {
	case s := <-c:
		return s.At, s.Verdict == watermark.Confirmed
	case <-timer.C:
	case <-vm.done:
	}
	return position.Position{}, false
}
