package failover

import (
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// GroupID names a database group.
type GroupID string

// ServerID names a backend server.
type ServerID string

// Report is what an instance says of itself, in an announcement or as the answer to a call.
type Report struct {
	Server       ServerID
	Group        GroupID
	Address      string // IP:port of its PostgreSQL listener; may be empty in an answer
	Zone         string // may be empty in an answer
	Role         string
	Term         position.Term // term that it follows or leads
	LastTerm     position.Term // term of its last log record
	Offset       position.Offset
	History      position.History
	Promised     position.Term
	Primary      string
	Slots        int
	Connections  int
	ShuttingDown bool          // it says that it shuts down
	Lag          time.Duration // age of its data against the primary, as it states it
}

// ErrRefused marks the error of a call that the other side refused, unlike one without an answer.
var ErrRefused = errors.New("failover: the call was refused")

// Policy orders the failovers of all database groups. Each control leader makes a new one. It is
// stepped by one goroutine.
type Policy interface {
	Step(now time.Time, e Event) []Effect
}

// rolePrimary is the role of an instance that accepts writes.
const rolePrimary = "primary"

// last is the place of the last log record, by which candidates compare.
func (r *Report) lastPosition() position.Position {
	return position.Position{Term: r.LastTerm, Offset: r.Offset}
}

// at is the position under the term that the instance follows.
func (r *Report) currentPosition() position.Position {
	return position.Position{Term: r.Term, Offset: r.Offset}
}

// Function is a function of the platform interface.
type Function string

// Functions that a Coordinator calls.
const (
	Status  Function = "group_status"
	Fence   Function = "group_fence"
	Promote Function = "group_promote"
	Follow  Function = "group_follow"
)

// Event is what a Coordinator reacts to.
type Event interface{ event() }

// ViewApplied tells the view of a group as applied from the control log. A new Coordinator is told all
// views; it must not be made before the leader has applied an entry of its own term, so that every
// later term of a group is its own proposal.
type ViewApplied struct{ View *wire.View }

// ConfigurationApplied tells the configured groups and the retired servers.
type ConfigurationApplied struct {
	Groups  []*wire.Group
	Retired []string
}

// Announced is an announcement of an instance.
type Announced struct{ Report Report }

// ReachabilityReported is what an entry VM saw of the primaries.
type ReachabilityReported struct {
	Entry  string
	Sights []*wire.Sight
}

// CallCompleted is the outcome of a Call. Report is valid if Err is nil. A shell answers every Call, at
// the latest after its timeout.
type CallCompleted struct {
	Call   Call
	Report Report
	Err    error
}

// InstanceStopped tells that an instance ended as planned.
type InstanceStopped struct{ Server ServerID }

// Tick lets time pass; due every 50 ms.
type Tick struct{}

// SwitchoverRequested asks for a planned switchover. With an empty To, the Coordinator chooses.
type SwitchoverRequested struct {
	Group GroupID
	To    ServerID
}

func (ViewApplied) event()          {}
func (ConfigurationApplied) event() {}
func (Announced) event()            {}
func (ReachabilityReported) event() {}
func (CallCompleted) event()        {}
func (InstanceStopped) event()      {}
func (Tick) event()                 {}
func (SwitchoverRequested) event()  {}

// Effect is what a Coordinator asks of its shell.
type Effect interface{ effect() }

// Propose appends an entry to the control log. It may be lost; the Coordinator proposes again.
type Propose struct{ Entry *wire.Entry }

// Call calls a function of an instance. The shell bounds it to Timeout.
type Call struct {
	Group    GroupID
	Server   ServerID
	Address  string
	Function Function
	Term     position.Term
	Primary  string        // address to follow
	Limit    time.Duration // longest wait for the answer; 0 means CallTimeout
}

// Timeout returns the longest time that a shell waits for the answer.
func (c Call) Timeout() time.Duration {
	if c.Limit > 0 {
		return c.Limit
	}
	return CallTimeout
}

func (Propose) effect() {}
func (Call) effect()    {}

const (
	// CallTimeout is the longest time that a shell waits for the answer to most calls.
	CallTimeout = 300 * time.Millisecond
	// silence of the primary towards the control VM before it is suspected. Three announcements and
	// five probes are missed by then, so 5% loss does not reach it.
	suspicionTimeout = 1500 * time.Millisecond
	// probeAfter is the silence after which the control VM asks by itself.
	probeAfter = 600 * time.Millisecond
	// probeInterval is the time between two probes, and between repeated calls.
	probeInterval = 200 * time.Millisecond
	// sightSilence is how long an entry VM must have been without the primary for its report to count.
	minReportedSilence = time.Second
	// sightAge is how long the report of an entry VM counts.
	entryReportTTL = time.Second
	// blindSilence replaces the reports of entry VMs if there are none.
	noReportsTimeout = 5 * time.Second
	// pollInterval is the time between status calls while a group waits for replicas.
	pollInterval = 20 * time.Millisecond
	// stepGap is the time without a Step after which silence is no sign: the control VM itself slept.
	pauseThreshold = 500 * time.Millisecond
	// proposeAgain is the time after which an entry that had no effect is proposed again.
	proposeRetryInterval = time.Second
	// drainLeast lets entry VMs see a planned switchover and end open transactions.
	minDrain = 150 * time.Millisecond
	// drainMost bounds the wait for the target, so that the switchover stays below 1 s.
	maxDrain = 500 * time.Millisecond
	// settledPolls is the number of polls in a row that must find the target level.
	requiredCatchUpPolls = 2
	// targetWait is how long a planned switchover waits for the promise of its target after a majority.
	targetPromiseTimeout = 100 * time.Millisecond
	// attemptSilence of the server being promoted ends the attempt; a new term is raised.
	promotionTimeout = 700 * time.Millisecond
	// retireWait is longer than a configuration lease (2.5 s). After it no entry VM counts a
	// confirmation of a retired member any more.
	dismissDelay = 3 * time.Second
	// switchBackoff is the time between switchovers away from a retired primary.
	switchoverBackoff = 5 * time.Second
	// partialWait is how long a new group waits for its missing members before its first primary.
	bootstrapTimeout = 5 * time.Second
	// forgetServer is the silence after which a server that is no member is forgotten.
	forgetAfter = 30 * time.Second
)
