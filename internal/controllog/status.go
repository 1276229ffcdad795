package controllog

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Never is the silence of a process that has sent no message, in ms.
const Never = -1

// contactFreshness is the time within which a process that is asked answers. Ballots and Hello are sent again within half of it.
const contactFreshness = LearnerFreshness

// maxContacts is the number of processes whose latest messages are kept.
const maxContacts = 4 * MaxMembers

// Cause says why no leader is known.
type Cause string

// Causes. The first one that applies is reported.
const (
	NoCause    Cause = ""            // a leader is known
	NoGroup    Cause = "no-group"    // this process belongs to no group
	NotMember  Cause = "not-member"  // the group has no member with this identity
	IsLearner  Cause = "learner"     // this process waits for a leader, since it has no vote
	NoMajority Cause = "no-majority" // fewer voters are heard than an election needs
	Behind     Cause = "behind"      // a voter has records that this one lacks
	Promised   Cause = "promised"    // a voter, or this one, still follows a leader
	Electing   Cause = "electing"    // enough voters are heard, but no election has succeeded yet
)

// Refusal says why a voter did not grant its vote.
type Refusal string

// Refusals.
const (
	NotRefused   Refusal = ""
	RefusedLog   Refusal = "behind"   // the candidate's log is not up to date
	RefusedTerm  Refusal = "term"     // the voter has reached a later term
	RefusedVote  Refusal = "voted"    // the voter gave its vote of the term to another candidate, or has records that this one lacks
	RefusedBound Refusal = "promised" // the voter names a leader that it follows
)

// Obstacle says why a leader does not replace a silent voter or add a missing one.
type Obstacle string

// Obstacles. The first one that applies is reported.
const (
	NoObstacle    Obstacle = ""               // no voter is silent or missing, or the change is due
	Uncommitted   Obstacle = "uncommitted"    // an earlier change, or the term's first record, is not committed
	NoLearner     Obstacle = "no-learner"     // the group has no learner
	LearnerSilent Obstacle = "learner-silent" // no learner has replied within LearnerFreshness
	LearnerBehind Obstacle = "learner-behind" // the learners that reply lack committed records
	Waiting       Obstacle = "waiting"        // a learner is ready, but the voter is not silent for long enough
)

// Election is a report of the elections and the members of a control group as one process sees them.
type Election struct {
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Last   uint64 `json:"last"`   // index of the last record
	Commit uint64 `json:"commit"` // highest index known to be committed
	Voting bool   `json:"voting"` // this process is a voter
	Cause  Cause  `json:"cause"`
	Leader string `json:"leader"` // address of the leader last known; empty if there was none
	Heard  int64  `json:"heard"`  // ms since that leader's last message, or since the start of the process
	Needed int    `json:"needed"` // votes that an election needs
	Votes  int    `json:"votes"`  // votes that this process has now, as a candidate for the vote or the pre-vote

	Members  []MemberReport  `json:"members"`
	Contacts []ContactReport `json:"contacts"` // addresses that get Hello while no leader is heard
	Intended int             `json:"intended"` // number of voters that the group grows to
	Obstacle Obstacle        `json:"obstacle"` // only at the leader
}

// MemberReport is the report of one member of the group.
type MemberReport struct {
	Identity string  `json:"identity"`
	Address  string  `json:"address"`
	Learner  bool    `json:"learner"`
	Silent   int64   `json:"silent"`   // ms since its last message, at the leader since its last reply; Never; 0 for this process
	Answered bool    `json:"answered"` // it is this process, or was heard within LearnerFreshness; followers hear only their leader
	Granted  bool    `json:"granted"`  // its latest reply to a ballot, within LearnerFreshness, granted a vote
	Refusal  Refusal `json:"refusal"`  // its latest one within LearnerFreshness
	Lag      uint64  `json:"lag"`      // committed records that it lacks; only at the leader
	Lost     bool    `json:"lost"`     // a voter that must be replaced; only at the leader
}

// ContactReport is the report of one address that gets Hello.
type ContactReport struct {
	Address  string `json:"address"`
	Silent   int64  `json:"silent"`   // ms since the last message from there; Never
	Answered bool   `json:"answered"` // a message arrived within LearnerFreshness
	Gateway  bool   `json:"gateway"`  // a control VM without a disk listens there
	Formed   bool   `json:"formed"`   // its latest HelloReply says that it has a group, or knows one
	Leader   string `json:"leader"`   // that its latest HelloReply names
}

// contact is what another process sent last.
type contact struct {
	identity Identity // empty for a gateway
	address  string
	heard    time.Time
	ballot   time.Time // of the latest BallotReply
	granted  bool
	refusal  Refusal
	greeted  time.Time // of the latest HelloReply
	reply    *wire.HelloReply
}

// recordContact records a message. If there are too many processes, the one that is silent for longest is forgotten.
func (v *Voter) recordContact(now time.Time, m *wire.VoterMessage) {
	c := v.contact(Identity(m.From), m.Address)
	c.heard = now
	if r := m.GetHelloReply(); r != nil {
		c.greeted, c.reply = now, r
	}
	if r := m.GetBallotReply(); r != nil {
		c.ballot, c.granted, c.refusal = now, r.Granted, refusalOf(m, r)
	}
}

// contact returns the contact of a process, which is new if it has none.
func (v *Voter) contact(id Identity, address string) *contact {
	oldest := 0
	for i, c := range v.contacts {
		if c.identity == id && c.address == address {
			return c
		}
		if c.heard.Before(v.contacts[oldest].heard) {
			oldest = i
		}
	}
	c := &contact{identity: id, address: address}
	if len(v.contacts) < maxContacts {
		v.contacts = append(v.contacts, c)
	} else {
		v.contacts[oldest] = c
	}
	return c
}

// refusalOf returns the reason of a reply to a ballot. A voter tells it only by its term.
func refusalOf(m *wire.VoterMessage, r *wire.BallotReply) Refusal {
	switch {
	case r.Granted:
		return NotRefused
	case m.Term > r.Term || (r.Trial && m.Term == r.Term):
		return RefusedTerm
	case r.Trial:
		return RefusedLog
	}
	return RefusedVote
}

// Election returns a report of the elections and the members.
func (v *Voter) Election(now time.Time) Election {
	e := Election{
		Role: v.role.String(), Term: v.term, Last: v.log.last(), Commit: v.commit, Voting: v.isVoter(),
		Leader: v.lastLeader(), Heard: now.Sub(v.leaderHeard).Milliseconds(),
		Intended: v.intendedVoters(), Members: v.memberReports(now), Contacts: v.contactReports(now),
	}
	e.Votes, e.Needed = v.missingVotes(func(id Identity) bool { return v.votes[id] })
	if v.role == Leader {
		e.Heard = 0
		e.Obstacle = v.obstacle(now, e.Members)
	}
	e.Cause = v.cause(now, &e)
	return e
}

// missingVotes returns the number of voters that have a property and of those that an election needs, in the set of voters in
// which most are missing.
func (v *Voter) missingVotes(has func(Identity) bool) (votes, needed int) {
	for i, set := range v.quorums() {
		count := 0
		for _, id := range set {
			if has(id) {
				count++
			}
		}
		if majority := len(set)/2 + 1; i == 0 || majority-count > needed-votes {
			votes, needed = count, majority
		}
	}
	return votes, needed
}

// lastLeader returns the address of the leader last known, or "".
func (v *Voter) lastLeader() string {
	for _, address := range []string{v.leaderAddress, v.formerLeader, v.termLeaderAddress()} {
		if address != "" {
			return address
		}
	}
	return v.leaderHint
}

// memberReports returns the reports of the members, sorted by identity.
func (v *Voter) memberReports(now time.Time) []MemberReport {
	out := make([]MemberReport, 0, MaxMembers)
	for _, s := range v.Members(now) {
		m := MemberReport{Identity: s.Identity, Address: s.Address, Learner: !v.inAnyQuorum(Identity(s.Identity)), Silent: s.Silent}
		switch {
		case s.Identity == string(v.id):
			m.Granted = v.votes[v.id]
		case v.role == Leader:
			m.Lag = v.commit - min(s.Matched, v.commit)
			m.Lost = !m.Learner && v.isLost(now, member(v.Membership(), Identity(s.Identity)))
		default:
			v.reportContact(now, &m)
		}
		m.Answered = m.Silent != Never && m.Silent <= contactFreshness.Milliseconds()
		out = append(out, m)
	}
	return out
}

// reportContact adds what another member sent last.
func (v *Voter) reportContact(now time.Time, m *MemberReport) {
	m.Silent = Never
	for _, c := range v.contacts {
		if c.identity != Identity(m.Identity) || c.address != m.Address {
			continue
		}
		m.Silent = now.Sub(c.heard).Milliseconds()
		if isRecent(now, c.ballot) {
			m.Granted, m.Refusal = c.granted, c.refusal
		}
		if !m.Granted && m.Refusal == NotRefused && isRecent(now, c.greeted) && c.reply.GetLeader() != "" {
			m.Refusal = RefusedBound
		}
	}
}

// contactReports returns the reports of the addresses that get Hello, sorted.
func (v *Voter) contactReports(now time.Time) []ContactReport {
	out := []ContactReport{}
	for _, address := range v.contactAddresses() {
		r := ContactReport{Address: address, Silent: Never}
		var heard time.Time
		for _, c := range v.contacts {
			if c.address != address || c.heard.Before(heard) {
				continue
			}
			heard = c.heard
			r.Silent, r.Answered = now.Sub(heard).Milliseconds(), isRecent(now, heard)
			r.Gateway, r.Formed, r.Leader = c.reply.GetGateway(), c.reply.GetFormed(), c.reply.GetLeader()
		}
		out = append(out, r)
	}
	return out
}

func isRecent(now, t time.Time) bool { return now.Sub(t) <= contactFreshness }

// cause returns why no leader is known.
func (v *Voter) cause(now time.Time, e *Election) Cause {
	switch {
	case v.LeaderAddress(now) != "":
		return NoCause
	case !v.InGroup():
		return NoGroup
	}
	if !e.Voting {
		for _, m := range e.Members {
			if m.Identity == string(v.id) {
				return IsLearner
			}
		}
		return NotMember
	}
	return v.electionCause(now, e)
}

// electionCause returns why this voter does not win an election.
func (v *Voter) electionCause(now time.Time, e *Election) Cause {
	answered := map[Identity]bool{}
	refused := map[Refusal]bool{}
	for _, m := range e.Members {
		if !m.Learner && m.Answered {
			answered[Identity(m.Identity)] = true
			refused[m.Refusal] = true
		}
	}
	heard, needed := v.missingVotes(func(id Identity) bool { return answered[id] })
	switch {
	case heard < needed:
		return NoMajority
	case refused[RefusedLog]:
		return Behind
	case refused[RefusedBound] || v.boundByPromise(now):
		return Promised
	}
	return Electing
}

// obstacle returns why repairMembership does not change the membership at now.
func (v *Voter) obstacle(now time.Time, members []MemberReport) Obstacle {
	due := len(v.voters()) < v.intendedVoters() || slices.ContainsFunc(members, func(m MemberReport) bool { return m.Lost })
	switch {
	case !due && !slices.ContainsFunc(members, func(m MemberReport) bool { return !m.Learner && !m.Answered }):
		return NoObstacle
	case !v.mayChangeMembership():
		return Uncommitted
	case !slices.ContainsFunc(members, func(m MemberReport) bool { return m.Learner }):
		return NoLearner
	case !slices.ContainsFunc(members, func(m MemberReport) bool { return m.Learner && m.Answered }):
		return LearnerSilent
	case v.replacementLearner(now) == "":
		return LearnerBehind
	case !due:
		return Waiting
	}
	return NoObstacle
}
