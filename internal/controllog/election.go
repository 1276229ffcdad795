package controllog

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// rest sets the next time to stand for election.
func (v *Voter) rest(now time.Time) {
	span := int64(v.paced(MaxElectionTimeout) - v.paced(MinElectionTimeout))
	v.deadline = now.Add(v.paced(MinElectionTimeout) + time.Duration(v.random.Int64N(span)))
}

// pause sets the next time to stand for election when nothing points to a leader: between least
// and twice that.
func (v *Voter) pause(now time.Time, least time.Duration) {
	v.deadline = now.Add(least + time.Duration(v.random.Int64N(int64(least))))
}

// follow enters a term as a follower. An equal term keeps the vote.
func (v *Voter) follow(now time.Time, term uint64, leader string) {
	if v.role == Leader {
		v.emit(LostLeadership{v.term})
	}
	v.role = Follower
	v.followers, v.votes = nil, nil
	if term > v.term {
		v.saveVote(term, "", "")
		v.verified, v.owed = 0, nil
	}
	v.leader = leader
	v.rest(now)
}

func (v *Voter) saveVote(term uint64, vote, leader Identity) {
	v.term, v.vote, v.incumbent, v.nonce = term, vote, leader, 0
	v.emit(SaveVote{term, vote, leader})
}

// isPromised reports whether this voter has promised the leader of the term to vote for nobody yet. The
// leader's lease rests on that.
func (v *Voter) isPromised(now time.Time) bool {
	return v.InGroup() && !v.released && now.Sub(v.heard) < v.paced(MinElectionTimeout)
}

// release ends the promise to the leader of the term when it stands for a later one: it leads the term no
// more and never will again.
func (v *Voter) release(now time.Time, candidate Identity, term uint64) {
	if term > v.term && candidate == v.incumbent && !v.released {
		v.end(now)
	}
}

// resign ends the own lead before a planned stop and tells the others. A voter that stops does not stand
// for election again soon.
func (v *Voter) resign(now time.Time) {
	if v.role != Leader || v.alone() {
		return
	}
	v.follow(now, v.term, "")
	v.incumbent, v.released = v.id, true
	for _, m := range v.Membership().Members {
		if m.Identity != string(v.id) {
			v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Resign{Resign: &wire.Resign{}}})
		}
	}
}

// end notes that the leader of the term leads no more. This voter may stand for election soon: the former
// leader may lack records that others hold.
func (v *Voter) end(now time.Time) {
	v.released = true
	v.leader = ""
	if v.role == Follower {
		v.pause(now, v.paced(MinPreVotePause))
	}
}

// campaign asks whether votes would be given. The term stays, so that a voter that was cut off
// does not depose a leader when it returns.
func (v *Voter) campaign(now time.Time) {
	v.rest(now)
	if !v.isVoter() {
		return
	}
	v.pause(now, v.paced(MinPreVotePause))
	v.role = PreCandidate
	v.leader = ""
	v.votes = map[Identity]bool{v.id: true}
	v.poll(true, v.term+1)
	v.count(now)
}

// poll sends a ballot to the other voters.
func (v *Voter) poll(trial bool, term uint64) {
	for _, m := range v.Membership().Members {
		if m.Learner || m.Identity == string(v.id) {
			continue
		}
		b := &wire.Ballot{Trial: trial, Term: term, Last: v.log.last(), LastTerm: v.log.lastTerm()}
		v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Ballot{Ballot: b}})
	}
}

// count moves on when a majority has granted.
func (v *Voter) count(now time.Time) {
	granted := 0
	ids := v.voters()
	for _, id := range ids {
		if v.votes[id] {
			granted++
		}
	}
	if granted <= len(ids)/2 {
		return
	}
	switch v.role {
	case PreCandidate:
		v.role = Candidate
		v.pause(now, v.paced(MinElectionPause))
		v.saveVote(v.term+1, v.id, "")
		v.verified, v.owed = 0, nil
		v.votes = map[Identity]bool{v.id: true}
		v.poll(false, v.term)
		v.count(now)
	case Candidate:
		v.startLeading(now)
	}
}

// ballot answers a candidate. A voter that heard from a leader within the least election timeout
// refuses, unless that leader itself is the candidate.
func (v *Voter) ballot(now time.Time, m *wire.VoterMessage, b *wire.Ballot) {
	v.release(now, Identity(m.From), b.Term)
	if v.role == Leader || v.isPromised(now) {
		if m.Term < v.term {
			v.answer(m, b, false) // tells the candidate the term
		}
		return
	}
	upToDate := b.LastTerm > v.log.lastTerm() || (b.LastTerm == v.log.lastTerm() && b.Last >= v.log.last())
	if b.Trial {
		granted := upToDate && b.Term > v.term
		if granted {
			v.giveWay(now, Identity(m.From))
		}
		v.answer(m, b, granted)
		return
	}
	if b.Term > v.term {
		v.follow(now, b.Term, "")
	}
	granted := upToDate && b.Term == v.term && (v.vote == "" || v.vote == Identity(m.From))
	if granted && v.vote == "" {
		v.saveVote(v.term, Identity(m.From), "")
		v.rest(now)
	}
	v.answer(m, b, granted)
}

// giveWay lets another candidate go first, so that two that stand at the same time do not split
// the votes. Of two pre-candidates the one with the lower identity goes on.
func (v *Voter) giveWay(now time.Time, candidate Identity) {
	switch {
	case v.role == Follower && v.deadline.Before(now.Add(v.paced(MinPreVotePause))):
		v.pause(now, v.paced(MinPreVotePause))
	case v.role == PreCandidate && candidate < v.id:
		v.role, v.votes = Follower, nil
		v.pause(now, v.paced(MinPreVotePause))
	}
}

func (v *Voter) answer(m *wire.VoterMessage, b *wire.Ballot, granted bool) {
	r := &wire.BallotReply{Trial: b.Trial, Term: b.Term, Granted: granted}
	v.send(m.Address, m.From, &wire.VoterMessage{Body: &wire.VoterMessage_BallotReply{BallotReply: r}})
}

// ballotReply counts a vote. Repeated replies count once.
func (v *Voter) ballotReply(now time.Time, m *wire.VoterMessage, r *wire.BallotReply) {
	if !r.Granted {
		if m.Term > v.term {
			v.follow(now, m.Term, "")
		}
		return
	}
	trial := r.Trial && v.role == PreCandidate && r.Term == v.term+1
	real := !r.Trial && v.role == Candidate && r.Term == v.term
	if !trial && !real {
		return
	}
	v.votes[Identity(m.From)] = true
	v.count(now)
}

// startLeading starts the term with an empty record, whose commitment shows that
// everything before it is committed.
func (v *Voter) startLeading(now time.Time) {
	v.role = Leader
	v.leader = v.place.Address
	v.began, v.current = now, false
	v.followers = map[Identity]*follower{}
	v.enroll(now)
	v.write(now, &wire.LogRecord{})
}

// enroll keeps one follower per member.
func (v *Voter) enroll(now time.Time) {
	present := map[Identity]bool{}
	for _, m := range v.Membership().Members {
		id := Identity(m.Identity)
		present[id] = true
		if id != v.id && v.followers[id] == nil {
			v.followers[id] = &follower{next: v.log.last() + 1, heard: now, acked: v.began}
		}
	}
	for id := range v.followers {
		if !present[id] {
			delete(v.followers, id)
		}
	}
}

// quorumSince returns the time of the latest moment at which a majority, this voter included,
// is known to have followed this leader.
func (v *Voter) quorumSince(now time.Time) time.Time {
	var times []time.Time
	for _, id := range v.voters() {
		switch {
		case id == v.id:
			times = append(times, now)
		case v.followers[id] != nil:
			times = append(times, v.followers[id].acked)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	return majority(times, time.Time.Before)
}
