// Package controllog is the replicated log of the control group as a deterministic state machine:
// elections with pre-vote, replication, a leader lease, snapshots and changes of membership.
// A Voter uses no goroutine, clock, network or disk. The caller of Step performs its effects.
package controllog

import (
	"math/rand/v2"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Identity identifies a voter. It is created with the data folder and lost with it.
type Identity string

// Role is the current role of a voter.
type Role int

// Roles of a voter. Learners and processes outside the group are followers.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role as shown to operators.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is the configuration of a voter.
type Config struct {
	Address           string        // IP:port of its gRPC listener
	Zone              string        // availability zone
	Peers             []string      // addresses of all control VMs, including its own; empty for a group of one
	Spare             bool          // never forms a group; joins as a learner
	Voters            int           // voting members that the group grows to; 0 means those that formed it
	SnapshotEvery     uint64        // committed records between snapshots; 0 means DefaultSnapshotEvery
	SnapshotBytes     uint64        // size of stored records that a snapshot makes superfluous; 0 means DefaultSnapshotBytes
	HeartbeatInterval time.Duration // election timeouts and the lease scale with it; 0 means DefaultHeartbeatInterval
	ReplaceAfter      time.Duration // time without a message after which a voter is replaced; 0 means DefaultReplaceAfter
}

// PersistentState is the state that a voter restores from its data folder.
type PersistentState struct {
	Term     uint64
	Vote     Identity
	Leader   Identity            // leader of the term; empty if it has sent no message
	Snapshot *wire.VoterSnapshot // nil if there is none
	Records  []*wire.LogRecord   // after the snapshot, without gaps
	Stored   uint64              // size of the stored records in bytes, with those that others replaced
}

// Voter is one voter of the control group. It is not safe for concurrent use.
type Voter struct {
	id     Identity
	config Config
	random *rand.Rand

	term       uint64
	vote       Identity
	termLeader Identity // leader of the term; empty if it has sent no message
	role       Role
	log        log
	commit     uint64 // highest index known to be committed
	synced     uint64 // highest index that is durable on this voter

	leaderAddress    string    // address of the leader of the term; empty if unknown
	promiseReleased  bool      // the leader of the term no longer leads, so the promise to it has ended
	nonce            uint64    // challenge to a process at the address of the leader of the term; 0 for none
	leaderHeard      time.Time // last message from the leader of the term; initially the start of the process
	electionDeadline time.Time // when to start an election
	helloSent        time.Time // when Hello was last sent

	verified      uint64        // follower: index up to which the log equals that of the leader of the term
	leaderCommit  uint64        // follower: highest commit index received from a leader
	pendingReply  *pendingReply // follower: reply due when records are durable; nil if none
	votes         map[Identity]bool
	liveness      liveness
	helloReplies  map[string]*wire.VoterMessage // process outside a group: latest HelloReply by address
	leaderHint    string                        // leader address from the latest HelloReply that named one
	snapshotIndex uint64                        // index of the last snapshot that was requested, installed or restored
	snapshotTail  Synced                        // last record of the log when that snapshot was requested
	stored        uint64                        // bytes of the stored records, with those that others replaced

	termBegan     time.Time // leader: when this voter became leader
	heartbeatSent time.Time // leader: when heartbeats were last sent
	termCommitted bool      // leader: a record of its own term is committed
	followers     map[Identity]*follower

	formerLeader string     // address of the process that led last; only reports use it
	contacts     []*contact // latest messages of other processes; only reports use them

	effects []Effect
}

// pendingReply is a reply to the leader that waits for records to become durable.
type pendingReply struct {
	address string
	to      string
	term    uint64
	sent    int64
}

// follower is the state of another member as recorded by the leader.
type follower struct {
	matched      uint64    // index up to which its log is durable and equal
	next         uint64    // index of the next record to send
	replied      time.Time // when it last replied in this term; zero before
	acked        time.Time // send time of the latest message that it replied to in this term; bounds the lease
	snapshotSent time.Time // when a snapshot was last sent
	rewound      time.Time // when records were last sent again from an earlier index on
}

// New returns a voter that continues from its data folder. The start counts as a message from the leader,
// because the time of the latest promise to a leader is not on disk. A voter that may itself have led
// the term has promised nothing, and starts an election immediately.
func New(now time.Time, id Identity, config Config, random *rand.Rand, restored PersistentState) *Voter {
	v := &Voter{id: id, config: config, random: random, term: restored.Term, vote: restored.Vote, termLeader: restored.Leader}
	v.helloReplies = map[string]*wire.VoterMessage{}
	v.liveness = newLiveness(now)
	if config.SnapshotEvery == 0 {
		v.config.SnapshotEvery = DefaultSnapshotEvery
	}
	if config.SnapshotBytes == 0 {
		v.config.SnapshotBytes = DefaultSnapshotBytes
	}
	if config.ReplaceAfter == 0 {
		v.config.ReplaceAfter = DefaultReplaceAfter
	}
	if s := restored.Snapshot; s != nil {
		v.log.reset(s)
		v.commit, v.snapshotIndex = s.Index, s.Index
	}
	if len(restored.Records) > 0 {
		v.log.replaceFrom(restored.Records)
	}
	v.synced = v.log.last()
	v.stored = restored.Stored
	v.leaderHeard = now
	v.resetElectionTimer(now)
	if v.termLeader == id || (v.termLeader == "" && v.vote == id) {
		v.promiseReleased = true
		v.electionDeadline = now
	}
	return v
}

// scaled scales a duration of the protocol, which is stated for DefaultHeartbeatInterval, to the configured
// heartbeat interval.
func (v *Voter) scaled(d time.Duration) time.Duration {
	if v.config.HeartbeatInterval == 0 {
		return d
	}
	return time.Duration(float64(d) * float64(v.config.HeartbeatInterval) / float64(DefaultHeartbeatInterval))
}

// Step handles one event. The returned effects are due in order.
func (v *Voter) Step(now time.Time, e Event) []Effect {
	v.effects = nil
	switch e := e.(type) {
	case Tick:
		v.tick(now)
	case MessageReceived:
		v.receive(now, e.Message)
	case Proposed:
		v.propose(now, e)
	case Stopping:
		v.stop(now)
	case Synced:
		v.recordsSynced(e)
	case SnapshotSaved:
		v.snapshotSaved(e.Snapshot)
	case SnapshotInstalled:
		v.snapshotInstalled(e.Snapshot)
	}
	return v.effects
}

// knowsGroup reports whether the voter is part of a group, or has voted in one or followed its leader without any record yet.
func (v *Voter) knowsGroup() bool { return v.InGroup() || v.termLeader != "" || v.vote != "" }

// Role returns the current role.
func (v *Voter) Role() Role { return v.role }

// Term returns the current term.
func (v *Voter) Term() uint64 { return v.term }

// Committed returns the highest index known to be committed.
func (v *Voter) Committed() uint64 { return v.commit }

// Membership returns the membership in force. It is read-only.
func (v *Voter) Membership() *wire.Membership { return v.log.membership().membership }

// InGroup reports whether the voter is, or was, part of a group.
func (v *Voter) InGroup() bool { return v.Membership().Group != "" }

// LeaderAddress returns the address of the leader's gRPC listener, or "" if no leader has sent a message
// within the longest election timeout.
func (v *Voter) LeaderAddress(now time.Time) string {
	if v.role == Leader {
		return v.config.Address
	}
	if now.Sub(v.leaderHeard) > v.scaled(MaxElectionTimeout) {
		return ""
	}
	return v.leaderAddress
}

// CaughtUp reports whether this voter has committed what its leader had when it was heard last. A leader knows what was
// committed before its term once a record of that term is committed.
func (v *Voter) CaughtUp() bool {
	if v.role == Leader {
		return v.termCommitted
	}
	term, ok := v.log.term(v.commit)
	return v.leaderCommit > 0 && v.commit >= v.leaderCommit && ok && term == v.term
}

// HoldsLease reports whether this voter is certainly the only leader at now, and its applied state is
// current. A caller that prepares a reply must read the clock and check again before it sends the reply.
func (v *Voter) HoldsLease(now time.Time) bool {
	return v.role == Leader && v.termCommitted && now.Before(v.quorumSince(now).Add(v.scaled(LeaderLease)))
}

// Members returns the state of every member, sorted by identity. A learner that becomes a voter, and a voter that another one
// replaces, are learners until the change is complete. Only the leader reports the silence and the
// matched index of other members.
func (v *Voter) Members(now time.Time) []*wire.VoterStatus {
	out := make([]*wire.VoterStatus, 0, MaxMembers)
	committed := v.log.membershipAt(v.commit)
	if committed == nil {
		committed = v.Membership()
	}
	for _, m := range v.Membership().Members {
		s := &wire.VoterStatus{Identity: m.Identity, Address: m.Address, Zone: m.Zone, Role: "learner"}
		if inEveryQuorum(Identity(m.Identity), v.Membership()) && inEveryQuorum(Identity(m.Identity), committed) {
			s.Role = "follower"
		}
		switch f := v.followers[Identity(m.Identity)]; {
		case Identity(m.Identity) == v.id:
			s.Matched = v.synced
			if v.role == Leader && s.Role == "follower" {
				s.Role = Leader.String()
			}
		case v.role == Leader && f != nil:
			s.Matched = f.matched
			s.Silent = v.liveness.silence(now, Identity(m.Identity)).Milliseconds()
		}
		out = append(out, s)
	}
	return out
}

func (v *Voter) emit(e Effect) {
	v.effects = append(v.effects, e)
}

// send sends a message to a member or, with an empty identity, to any process that listens at the address.
func (v *Voter) send(address, to string, m *wire.VoterMessage) {
	m.Group = v.Membership().Group
	m.From = string(v.id)
	m.To = to
	m.Address = v.config.Address
	m.Term = v.term
	v.emit(Send{address, m})
}

// tick handles the timeouts of the current role.
func (v *Voter) tick(now time.Time) {
	v.sendHello(now)
	if v.role == Leader {
		v.tickLeader(now)
		return
	}
	if !now.Before(v.electionDeadline) || v.isSoleVoter() {
		v.startPreVote(now)
	}
}

// receive handles a message. Messages of another group are dropped, so that the logs of two groups never mix.
func (v *Voter) receive(now time.Time, m *wire.VoterMessage) {
	if !wellFormed(m) {
		return
	}
	own := v.Membership().Group
	foreign := m.Group != "" && own != "" && m.Group != own
	if foreign || m.From == string(v.id) {
		return
	}
	if m.To != "" && m.To != string(v.id) {
		v.hintLeader(m)
		return
	}
	v.recordContact(now, m)
	switch b := m.Body.(type) {
	case *wire.VoterMessage_Ballot:
		v.handleBallot(now, m, b.Ballot)
	case *wire.VoterMessage_BallotReply:
		v.handleBallotReply(now, m, b.BallotReply)
	case *wire.VoterMessage_Append:
		v.handleAppend(now, m, b.Append)
	case *wire.VoterMessage_AppendReply:
		v.handleAppendReply(now, m, b.AppendReply)
	case *wire.VoterMessage_Install:
		v.handleInstallSnapshot(now, m, b.Install)
	case *wire.VoterMessage_Hello:
		v.handleHello(now, m, b.Hello)
	case *wire.VoterMessage_HelloReply:
		v.handleHelloReply(now, m, b.HelloReply)
	case *wire.VoterMessage_Resign:
		v.liveness.announceStop(now, Identity(m.From))
		v.releasePromise(now, Identity(m.From), m.Term+1)
	}
}

// voters returns the identities of the voting members, sorted.
func (v *Voter) voters() []Identity { return voters(v.Membership()) }

// quorums returns the sets of voters of the membership in force of each of which a majority decides.
func (v *Voter) quorums() [][]Identity { return quorums(v.Membership()) }

// inAnyQuorum reports whether a process is in a set of voters that decides.
func (v *Voter) inAnyQuorum(id Identity) bool {
	return slices.ContainsFunc(v.quorums(), func(set []Identity) bool { return slices.Contains(set, id) })
}

// isVoter reports whether this process is a voting member.
func (v *Voter) isVoter() bool { return v.inAnyQuorum(v.id) }

// isSoleVoter reports whether this process is the only voting member, so that no other can lead the group.
func (v *Voter) isSoleVoter() bool {
	return !slices.ContainsFunc(v.quorums(), func(set []Identity) bool { return len(set) != 1 || set[0] != v.id })
}
