// Package controllog is the replicated log of the control group as a deterministic state machine:
// elections with pre-vote, replication, a leader lease, snapshots and changes of membership.
// A Voter has no goroutine, clock, network or disk; a shell performs its effects.
package controllog

import (
	"math/rand/v2"
	"sort"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Identity names a voter. It is made with the data folder and lost with it.
type Identity string

// Role is what a voter does at present.
type Role int

// Roles of a voter. Learners and processes outside the group are followers.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role as it is shown to operators.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config tells a voter where it runs.
type Config struct {
	Address           string        // IP:port of the own gRPC listener
	Zone              string        // availability zone
	Peers             []string      // addresses of all control VMs, the own one included; empty for a group of one
	Spare             bool          // never forms a group; joins as a learner
	SnapshotEvery     uint64        // committed records between snapshots; 0 means CompactAfter
	HeartbeatInterval time.Duration // time between heartbeats, to which the times of elections and of the lease are in proportion; 0 means Heartbeat
	ReplaceAfter      time.Duration // silence after which a spare replaces a voter; 0 means ReplaceAfter
}

// PersistentState is what a voter finds in its data folder.
type PersistentState struct {
	Term     uint64
	Vote     Identity
	Leader   Identity            // leader of the term; empty if it was not heard
	Snapshot *wire.VoterSnapshot // nil if there is none
	Records  []*wire.LogRecord   // after the snapshot, without gaps
}

// Voter is one voter of the control group. It is not safe for concurrent use.
type Voter struct {
	id     Identity
	config Config
	random *rand.Rand

	term       uint64
	vote       Identity
	termLeader Identity // leader of the term; empty if it was not heard
	role       Role
	log        log
	commit     uint64 // highest index known to be committed
	synced     uint64 // highest index that is durable here

	leaderAddress    string    // address of the leader of the term; empty if unknown
	promiseReleased  bool      // the leader of the term leads no more, so the promise to it has ended
	nonce            uint64    // challenge to a process at the address of the leader of the term; 0 for none
	leaderHeard      time.Time // when the leader of the term was last heard; at start, the start
	electionDeadline time.Time // when to stand for election
	helloSent        time.Time // when Hello was last sent

	verified      uint64        // follower: index up to which the log equals that of the leader of the term
	leaderCommit  uint64        // follower: highest commit index heard
	pendingReply  *pendingReply // follower: reply due when records are durable
	votes         map[Identity]bool
	helloReplies  map[string]*wire.VoterMessage // founder: latest HelloReply by address
	leaderHints   []string                      // leader addresses learned from Hello replies
	snapshotIndex uint64                        // index at which a snapshot was last asked for
	snapshotTail  Synced                        // last record handed over with that snapshot

	termBegan     time.Time // leader: when the term began
	heartbeatSent time.Time // leader: when heartbeats were last sent
	termCommitted bool      // leader: an entry of the own term is committed
	followers     map[Identity]*follower

	effects []Effect
}

// owed is a reply that waits for records to become durable.
type pendingReply struct {
	address string
	to      string
	term    uint64
	sent    int64
}

// follower is what the leader knows of another member.
type follower struct {
	matched      uint64    // durable there and equal
	next         uint64    // index of the next record to send
	lastHeard    time.Time // when it last answered
	acked        time.Time // send time of the latest message it answered in this term; bounds the lease
	snapshotSent time.Time // when a snapshot was last sent
}

// New returns a voter that continues from its data folder. Start counts as hearing from a leader,
// because the time of the latest promise to a leader is not on disk. A voter that may itself have led
// the term has promised nothing, and stands for election at once.
func New(now time.Time, id Identity, config Config, random *rand.Rand, restored PersistentState) *Voter {
	v := &Voter{id: id, config: config, random: random, term: restored.Term, vote: restored.Vote, termLeader: restored.Leader}
	v.helloReplies = map[string]*wire.VoterMessage{}
	if config.SnapshotEvery == 0 {
		v.config.SnapshotEvery = DefaultSnapshotEvery
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
	v.leaderHeard = now
	v.resetElectionTimer(now)
	if v.termLeader == id || (v.termLeader == "" && v.vote == id) {
		v.promiseReleased = true
		v.electionDeadline = now
	}
	return v
}

// paced scales a time of the protocol, which is stated for the default time between heartbeats.
func (v *Voter) scaled(d time.Duration) time.Duration {
	if v.config.HeartbeatInterval == 0 {
		return d
	}
	return time.Duration(float64(d) * float64(v.config.HeartbeatInterval) / float64(DefaultHeartbeatInterval))
}

// Step handles one event. The returned effects are performed in order.
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
		v.resign(now)
	case Synced:
		v.recordsSynced(e)
	case SnapshotSaved:
		v.snapshotSaved(e.Snapshot)
	case SnapshotInstalled:
		v.snapshotInstalled(e.Snapshot)
	}
	return v.effects
}

// Role returns what the voter does at present.
func (v *Voter) Role() Role { return v.role }

// Term returns the current term.
func (v *Voter) Term() uint64 { return v.term }

// Committed returns the highest index known to be committed.
func (v *Voter) Committed() uint64 { return v.commit }

// Membership returns the membership in force. It is read-only.
func (v *Voter) Membership() *wire.Membership { return v.log.membership().membership }

// InGroup reports whether the voter is, or was, part of a group.
func (v *Voter) InGroup() bool { return v.Membership().Group != "" }

// LeaderAddress returns the address of the leader's gRPC listener, or "" if none was heard within
// the longest election timeout.
func (v *Voter) LeaderAddress(now time.Time) string {
	if v.role == Leader {
		return v.config.Address
	}
	if now.Sub(v.leaderHeard) > v.scaled(MaxElectionTimeout) {
		return ""
	}
	return v.leaderAddress
}

// HoldsLease reports whether this voter is certainly the only leader at now, and its applied state is
// current. A shell reads the clock again after preparing a reply and asks once more before sending.
func (v *Voter) HoldsLease(now time.Time) bool {
	return v.role == Leader && v.termCommitted && now.Before(v.quorumSince(now).Add(v.scaled(LeaderLease)))
}

// Members returns the state of every member, sorted by identity. Only the leader knows silence and
// matched indices.
func (v *Voter) Members(now time.Time) []*wire.VoterStatus {
	out := make([]*wire.VoterStatus, 0, MaxMembers)
	for _, m := range v.Membership().Members {
		s := &wire.VoterStatus{Identity: m.Identity, Address: m.Address, Zone: m.Zone, Role: "follower"}
		if m.Learner {
			s.Role = "learner"
		}
		switch f := v.followers[Identity(m.Identity)]; {
		case Identity(m.Identity) == v.id:
			s.Matched = v.synced
			if v.role == Leader {
				s.Role = Leader.String()
			}
		case v.role == Leader && f != nil:
			s.Matched = f.matched
			s.Silent = now.Sub(f.lastHeard).Milliseconds()
		}
		out = append(out, s)
	}
	return out
}

func (v *Voter) emit(e Effect) {
	v.effects = append(v.effects, e)
}

// send addresses a message to a member or, with an empty identity, to whoever listens there.
func (v *Voter) send(address, to string, m *wire.VoterMessage) {
	m.Group = v.Membership().Group
	m.From = string(v.id)
	m.To = to
	m.Address = v.config.Address
	m.Term = v.term
	v.emit(Send{address, m})
}

// tick does what is due.
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

// receive handles a message. Messages of another group are dropped: their logs never mix.
func (v *Voter) receive(now time.Time, m *wire.VoterMessage) {
	own := v.Membership().Group
	foreign := m.Group != "" && own != "" && m.Group != own
	if foreign || (m.To != "" && m.To != string(v.id)) || m.From == string(v.id) {
		return
	}
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
		v.releasePromise(now, Identity(m.From), m.Term+1)
	}
}

// voters returns the identities that count for majorities, sorted.
func (v *Voter) voters() []Identity {
	var ids []Identity
	for _, m := range v.Membership().Members {
		if !m.Learner {
			ids = append(ids, Identity(m.Identity))
		}
	}
	return ids
}

// isVoter reports whether this process counts for majorities.
func (v *Voter) isVoter() bool {
	for _, id := range v.voters() {
		if id == v.id {
			return true
		}
	}
	return false
}

// alone reports whether this process is the whole group, so that nobody else can lead it.
func (v *Voter) isSoleVoter() bool {
	ids := v.voters()
	return len(ids) == 1 && ids[0] == v.id
}

// majority returns the value that a majority of the voters has reached.
func majority[T any](values []T, less func(a, b T) bool) T {
	sort.Slice(values, func(i, j int) bool { return less(values[j], values[i]) })
	return values[len(values)/2]
}
