package controllog

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Event is an input of a Voter.
type Event interface{ event() }

// Tick advances time. It is due at least every 20 ms.
type Tick struct{}

// MessageReceived is a message from another voter.
type MessageReceived struct{ Message *wire.VoterMessage }

// Proposed requests the leader to append an entry. Accepted or Refused returns the Tag.
type Proposed struct {
	Tag   uint64
	Entry *wire.Entry
}

// Stopping reports that the process is about to stop. It notifies the other members; a leader does so when it resigns, within
// HandoverPeriod.
type Stopping struct{}

// Synced reports that the records up to Index, the last one of the given term, are durable.
type Synced struct{ Index, Term uint64 }

// SnapshotSaved reports that a snapshot requested by TakeSnapshot is durable.
type SnapshotSaved struct{ Snapshot *wire.VoterSnapshot }

// SnapshotInstalled reports that a snapshot received from the leader is durable and applied.
type SnapshotInstalled struct{ Snapshot *wire.VoterSnapshot }

func (Tick) event()              {}
func (MessageReceived) event()   {}
func (Proposed) event()          {}
func (Synced) event()            {}
func (SnapshotSaved) event()     {}
func (Stopping) event()          {}
func (SnapshotInstalled) event() {}

// Effect is an output of a Voter. Effects are performed in order. SaveVote, Append and InstallSnapshot must be
// durable before any later Send is performed, except that AppendRecords need not wait for Append: the
// leader counts itself only after Synced.
type Effect interface{ effect() }

// Send sends a message. It may be lost.
type Send struct {
	Address string
	Message *wire.VoterMessage
}

// SaveVote makes the term, the vote and the leader of the term durable. Vote and Leader are empty if there is
// none yet.
type SaveVote struct {
	Term   uint64
	Vote   Identity
	Leader Identity
}

// Append makes records durable. They replace all records from the index of the first one on. Synced reports
// the completion.
type Append struct{ Records []*wire.LogRecord }

// Commit passes on committed records to be applied, in order and without gaps.
type Commit struct{ Records []*wire.LogRecord }

// TakeSnapshot requests a snapshot of the state as of Index, which follows the Commit of that index. Tail
// contains the records after it, which become durable together with the snapshot. SnapshotSaved must be the
// next event.
type TakeSnapshot struct {
	Index, Term uint64
	Membership  *wire.Membership
	Tail        []*wire.LogRecord
}

// InstallSnapshot replaces the log by a received snapshot and the records of Tail after it, and makes both
// durable. SnapshotInstalled must be the next event.
type InstallSnapshot struct {
	Snapshot *wire.VoterSnapshot
	Tail     []*wire.LogRecord
}

// Accepted reports where a proposal was appended. The proposal is not yet committed.
type Accepted struct{ Tag, Index, Term uint64 }

// Refused reports that this voter is not a leader with a current state. The proposal was not appended.
type Refused struct {
	Tag    uint64
	Leader string // address of the leader's gRPC listener; empty if unknown
}

// BecameLeader reports that a record of the leader's own term is committed, so the applied state is current.
type BecameLeader struct{ Term uint64 }

// LostLeadership reports that the voter no longer leads. The outcome of proposals that are not committed is
// unknown.
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

// Timeouts and intervals of the protocol.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	MinElectionTimeout       = 600 * time.Millisecond
	MaxElectionTimeout       = 900 * time.Millisecond
	LeaderLease              = 495 * time.Millisecond // 500 ms less the 1% by which clocks may drift
	MinElectionPause         = 200 * time.Millisecond // shortest pause after an election without a winner; above two round trips between zones
	HelloInterval            = 500 * time.Millisecond
	StartupPeriod            = time.Second            // time after the start in which Hello is sent more often
	LeaderSilence            = 2 * time.Second        // time without a message from the leader after which a member sends Hello again
	DefaultReplaceAfter      = 30 * time.Second       // time without a reply after which a learner replaces a voter
	SupersededAfter          = 3 * time.Second        // time without a reply after which a learner is removed whose place is needed
	HandoverPeriod           = 200 * time.Millisecond // time in which a leader that stops gives its vote to a learner
	StopPeriod               = time.Second            // time for which a process that stops may still send messages
	LearnerRetention         = 15 * time.Second       // time without a reply after which a learner is removed
	SilenceNoted             = 500 * time.Millisecond // time without a reply from which on the leader tells the others of it
	LearnerFreshness         = time.Second            // a learner that has replied within this time may become a voter
	MinPreVotePause          = 100 * time.Millisecond // shortest pause between pre-votes; some voters may have received the leader's last message later
	SnapshotResendInterval   = 2 * time.Second
)

// Limits of memory and message size.
const (
	MaxBatchRecords      = 256     // records in one message
	MaxBatchBytes        = 1 << 20 // bytes of the records in one message; a larger record is sent alone
	MaxInFlightBytes     = 4 << 20 // bytes of the records sent to one member that it has not confirmed
	RetainedRecords      = 500     // records up to a snapshot that stay in memory for slow followers
	MaxMembers           = 9       // voters and learners
	DefaultSnapshotEvery = 1000    // committed records between snapshots
	// DefaultSnapshotBytes is the size of the stored records that a snapshot makes superfluous, in bytes. Records of large
	// configurations reach it long before DefaultSnapshotEvery.
	DefaultSnapshotBytes = 16 << 20
	// RetainedBytes bounds the records retained for slow followers in bytes. Beyond it a snapshot is the smaller message.
	RetainedBytes = 4 << 20
	// largeRecord is the size in bytes from which a proposal is refused while too many bytes are not committed yet.
	largeRecord = 64 << 10
)
