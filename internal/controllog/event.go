package controllog

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Event is an input of a Voter.
type Event interface{ event() }

// Tick lets time pass. It is due at least every 20 ms.
type Tick struct{}

// MessageReceived is a message from another voter.
type MessageReceived struct{ Message *wire.VoterMessage }

// Proposed asks the leader to append an entry. Tag returns with Accepted or Refused.
type Proposed struct {
	Tag   uint64
	Entry *wire.Entry
}

// Stopping tells that the process is about to stop. A leader hands over to the others.
type Stopping struct{}

// Synced tells that the records up to Index, the last one of the given term, are durable.
type Synced struct{ Index, Term uint64 }

// SnapshotSaved tells that a snapshot of the own state is durable.
type SnapshotSaved struct{ Snapshot *wire.VoterSnapshot }

// SnapshotInstalled tells that a snapshot received from the leader is durable and applied.
type SnapshotInstalled struct{ Snapshot *wire.VoterSnapshot }

func (Tick) event()              {}
func (MessageReceived) event()   {}
func (Proposed) event()          {}
func (Synced) event()            {}
func (SnapshotSaved) event()     {}
func (Stopping) event()          {}
func (SnapshotInstalled) event() {}

// Effect is an output of a Voter. Effects are performed in order. SaveVote, Append and Install are
// durable before any later Send leaves, except that AppendRecords need not wait for Append: the
// leader counts itself only after Synced.
type Effect interface{ effect() }

// Send sends a message. It may be lost.
type Send struct {
	Address string
	Message *wire.VoterMessage
}

// SaveVote makes the term, the vote and the leader of the term durable. Vote and Leader are empty if
// there is none yet.
type SaveVote struct {
	Term   uint64
	Vote   Identity
	Leader Identity
}

// Append makes records durable. They replace all records from the first one's index on. The shell
// answers with Synced.
type Append struct{ Records []*wire.LogRecord }

// Commit hands over records for application, in order and without gaps.
type Commit struct{ Records []*wire.LogRecord }

// TakeSnapshot asks for a snapshot of the state as of Index, which the shell has just applied. Rest are
// the records after it; they become durable with it. The shell answers with Compacted before any
// other event.
type TakeSnapshot struct {
	Index, Term uint64
	Membership  *wire.Membership
	Tail        []*wire.LogRecord
}

// InstallSnapshot makes a received snapshot durable in place of the log, with the records of Rest behind
// it. The shell answers with Installed before any other event.
type InstallSnapshot struct {
	Snapshot *wire.VoterSnapshot
	Tail     []*wire.LogRecord
}

// Accepted tells where a proposal was appended. It is not yet committed.
type Accepted struct{ Tag, Index, Term uint64 }

// Refused tells that this voter is not the leader; the proposal was not appended.
type Refused struct {
	Tag    uint64
	Leader string // address of the leader's gRPC listener; empty if unknown
}

// BecameLeader tells that an entry of the own term is committed: the applied state is current.
type BecameLeader struct{ Term uint64 }

// LostLeadership tells that the voter stopped leading. Proposals that are not committed have an unknown outcome.
type LostLeadership struct{ Term uint64 }

func (Send) effect()            {}
func (SaveVote) effect()        {}
func (Append) effect()          {}
func (Commit) effect()          {}
func (TakeSnapshot) effect()    {}
func (InstallSnapshot) effect() {}
func (Accepted) effect()        {}
func (Refused) effect()         {}
func (BecameLeader) effect()    {}
func (LostLeadership) effect()  {}

// Intervals of the protocol.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	MinElectionTimeout       = 600 * time.Millisecond
	MaxElectionTimeout       = 900 * time.Millisecond
	LeaderLease              = 495 * time.Millisecond // 500 ms less the 1% by which clocks may drift
	MinElectionPause         = 200 * time.Millisecond // least pause after an election without a winner; above twice the round trip of zones
	HelloInterval            = 500 * time.Millisecond
	StartupPeriod            = time.Second            // after the start, in which introductions follow each other soon
	LeaderSilence            = 2 * time.Second        // silence of the leader after which a member introduces itself again
	DefaultReplaceAfter      = 30 * time.Second       // silence after which a spare replaces a voter
	SupersededAfter          = 3 * time.Second        // the same when a new identity speaks from the voter's own address
	LearnerFreshness         = time.Second            // a learner heard from within this time may become a voter
	MinPreVotePause          = 100 * time.Millisecond // least pause between pre-votes; a few voters may have heard the leader a little later
	SnapshotResendInterval   = 2 * time.Second
)

// Limits of memory and message size.
const (
	MaxBatchRecords      = 256  // records in one message
	RetainedRecords      = 500  // records before a snapshot kept in memory for slow followers
	MaxMembers           = 9    // voters and learners
	DefaultSnapshotEvery = 1000 // committed records between snapshots
)
