package controllog

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// resetElectionTimer sets a random election timeout.
func (v *Voter) resetElectionTimer(now time.Time) {
	span := int64(v.scaled(MaxElectionTimeout) - v.scaled(MinElectionTimeout))
	v.electionDeadline = now.Add(v.scaled(MinElectionTimeout) + time.Duration(v.random.Int64N(span)))
}

// delayElection schedules the next election for when no leader is expected: after a random time between least
// and twice least, which is shorter than the election timeout.
func (v *Voter) delayElection(now time.Time, least time.Duration) {
	v.electionDeadline = now.Add(least + time.Duration(v.random.Int64N(int64(least))))
}

// becomeFollower enters a term as a follower. The vote is kept if the term does not change.
func (v *Voter) becomeFollower(now time.Time, term uint64, leader string) {
	if v.role == Leader {
		v.emit(LostLeadership{v.term})
	}
	v.role = Follower
	v.followers, v.votes = nil, nil
	if term > v.term {
		v.saveVote(term, "", "")
		v.verified, v.pendingReply = 0, nil
	}
	v.leaderAddress = leader
	v.resetElectionTimer(now)
}

func (v *Voter) saveVote(term uint64, vote, leader Identity) {
	v.term, v.vote, v.termLeader, v.nonce = term, vote, leader, 0
	v.emit(SaveVote{term, vote, leader})
}

// boundByPromise reports whether this voter still promises the leader of the term not to vote for another
// candidate. The leader's lease depends on this promise.
func (v *Voter) boundByPromise(now time.Time) bool {
	return v.knowsGroup() && !v.promiseReleased && now.Sub(v.leaderHeard) < v.scaled(MinElectionTimeout)
}

// releasePromise ends the promise to the leader of the term when that leader resigns or is a candidate for a
// later term: it no longer leads the current term and never will again.
func (v *Voter) releasePromise(now time.Time, candidate Identity, term uint64) {
	if term > v.term && candidate == v.termLeader && !v.promiseReleased {
		v.endPromise(now)
	}
}

// stop prepares for a planned stop. A leader first gives its own vote to a learner, if there is one.
func (v *Voter) stop(now time.Time) {
	if v.isSoleVoter() {
		return
	}
	v.liveness.announceStop(now, v.id)
	if v.role != Leader || v.replacementLearner(now) == "" {
		v.resign(now)
		return
	}
	v.heartbeatSent = time.Time{} // a learner that answers this one is there
}

// endsLeadership reports whether a leader resigns: it has given its vote away, or has tried to for HandoverPeriod.
func (v *Voter) endsLeadership(now time.Time) bool {
	at, stops := v.liveness.stopping[v.id]
	given := !v.inAnyQuorum(v.id) && v.log.membership().index <= v.commit
	return given || (stops && now.Sub(at) >= HandoverPeriod)
}

// resign notifies the other members of a planned stop, so that a learner takes the place of this voter, and ends this
// voter's leadership. The election timer restarts with the full timeout, since a voter that stops should not be a candidate.
func (v *Voter) resign(now time.Time) {
	if v.role == Leader {
		v.becomeFollower(now, v.term, "")
		v.termLeader, v.promiseReleased = v.id, true
		v.liveness.clearStop(v.id)
	}
	for _, m := range v.Membership().Members {
		if m.Identity != string(v.id) {
			v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Resign{Resign: &wire.Resign{}}})
		}
	}
}

// endPromise records that the leader of the term no longer leads. This voter may start an election soon, since
// the former leader may lack records that others have.
func (v *Voter) endPromise(now time.Time) {
	v.promiseReleased = true
	v.leaderAddress = ""
	if v.role == Follower {
		v.delayElection(now, v.scaled(MinPreVotePause))
	}
}

// startPreVote asks the other voters whether they would vote for this one. The term stays the same, so that a
// voter that was partitioned does not depose a leader when it returns.
func (v *Voter) startPreVote(now time.Time) {
	v.resetElectionTimer(now)
	if !v.isVoter() {
		return
	}
	v.delayElection(now, v.scaled(MinPreVotePause))
	v.role = PreCandidate
	v.leaderAddress = ""
	v.votes = map[Identity]bool{v.id: true}
	v.requestVotes(true, v.term+1)
	v.countVotes(now)
}

// requestVotes sends a ballot to the other voters.
func (v *Voter) requestVotes(preVote bool, term uint64) {
	for _, m := range v.Membership().Members {
		if !v.inAnyQuorum(Identity(m.Identity)) || m.Identity == string(v.id) {
			continue
		}
		b := &wire.Ballot{Trial: preVote, Term: term, Last: v.log.last(), LastTerm: v.log.lastTerm()}
		v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Ballot{Ballot: b}})
	}
}

// countVotes makes a pre-candidate a candidate, or a candidate the leader, when a majority has granted.
func (v *Voter) countVotes(now time.Time) {
	if !v.isElected() {
		return
	}
	switch v.role {
	case PreCandidate:
		v.role = Candidate
		v.delayElection(now, v.scaled(MinElectionPause))
		v.saveVote(v.term+1, v.id, "")
		v.verified, v.pendingReply = 0, nil
		v.votes = map[Identity]bool{v.id: true}
		v.requestVotes(false, v.term)
		v.countVotes(now)
	case Candidate:
		v.becomeLeader(now)
	}
}

// isElected reports whether a majority has granted.
func (v *Voter) isElected() bool {
	granted := func(id Identity) (bool, bool) { return true, v.votes[id] }
	_, ok := majorityValue(v.quorums(), granted, func(bool, bool) bool { return false })
	return ok
}

// handleBallot replies to a candidate. A voter that has received a message from a leader within the shortest
// election timeout refuses, unless that leader itself is the candidate.
func (v *Voter) handleBallot(now time.Time, m *wire.VoterMessage, b *wire.Ballot) {
	v.releasePromise(now, Identity(m.From), b.Term)
	if v.role == Leader || v.boundByPromise(now) {
		if m.Term < v.term {
			v.replyToBallot(m, b, false) // informs the candidate of the term
		}
		return
	}
	upToDate := b.LastTerm > v.log.lastTerm() || (b.LastTerm == v.log.lastTerm() && b.Last >= v.log.last())
	if b.Trial {
		granted := upToDate && b.Term > v.term
		if granted {
			v.deferTo(now, Identity(m.From))
		}
		v.replyToBallot(m, b, granted)
		return
	}
	if b.Term > v.term {
		v.becomeFollower(now, b.Term, "")
	}
	granted := upToDate && b.Term == v.term && (v.vote == "" || v.vote == Identity(m.From))
	if granted && v.vote == "" {
		v.saveVote(v.term, Identity(m.From), "")
		v.resetElectionTimer(now)
	}
	v.replyToBallot(m, b, granted)
}

// deferTo postpones this voter's own election in favor of another candidate, so that two simultaneous
// candidates do not split the votes. Of two pre-candidates the one with the lower identity continues.
func (v *Voter) deferTo(now time.Time, candidate Identity) {
	switch {
	case v.role == Follower && v.electionDeadline.Before(now.Add(v.scaled(MinPreVotePause))):
		v.delayElection(now, v.scaled(MinPreVotePause))
	case v.role == PreCandidate && candidate < v.id:
		v.role, v.votes = Follower, nil
		v.delayElection(now, v.scaled(MinPreVotePause))
	}
}

func (v *Voter) replyToBallot(m *wire.VoterMessage, b *wire.Ballot, granted bool) {
	r := &wire.BallotReply{Trial: b.Trial, Term: b.Term, Granted: granted}
	v.send(m.Address, m.From, &wire.VoterMessage{Body: &wire.VoterMessage_BallotReply{BallotReply: r}})
}

// handleBallotReply counts a vote. Repeated replies count once.
func (v *Voter) handleBallotReply(now time.Time, m *wire.VoterMessage, r *wire.BallotReply) {
	if !r.Granted {
		if m.Term > v.term {
			v.becomeFollower(now, m.Term, "")
		}
		return
	}
	preVote := r.Trial && v.role == PreCandidate && r.Term == v.term+1
	vote := !r.Trial && v.role == Candidate && r.Term == v.term
	if !preVote && !vote {
		return
	}
	v.votes[Identity(m.From)] = true
	v.countVotes(now)
}

// becomeLeader starts the term with an empty record. Its commit shows that everything before it is committed.
func (v *Voter) becomeLeader(now time.Time) {
	v.role = Leader
	v.leaderAddress, v.formerLeader = v.config.Address, v.config.Address
	v.termBegan, v.termCommitted = now, false
	v.followers = map[Identity]*follower{}
	v.updateFollowers()
	v.appendRecord(now, &wire.LogRecord{})
}

// updateFollowers adds and removes followers, so that there is one for every other member.
func (v *Voter) updateFollowers() {
	present := map[Identity]bool{}
	for _, m := range v.Membership().Members {
		id := Identity(m.Identity)
		present[id] = true
		if id != v.id && v.followers[id] == nil {
			v.followers[id] = &follower{next: v.log.last() + 1, acked: v.termBegan}
		}
	}
	for id := range v.followers {
		if !present[id] {
			delete(v.followers, id)
		}
	}
	v.liveness.retain(v.Membership())
}

// quorumSince returns the latest time at which a majority, including this voter, is known to have followed
// this leader.
func (v *Voter) quorumSince(now time.Time) time.Time {
	acked := func(f *follower) time.Time { return f.acked }
	since, _ := majorityValue(v.quorums(), processValue(v, now, acked), time.Time.Before)
	return since
}
