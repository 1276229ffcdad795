package failover

import (
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// GroupID identifies a database group.
type GroupID string

// ServerID identifies a backend server.
type ServerID string

// Report is the state that an instance reports about itself, in an announcement or in the response to a call.
type Report struct {
	Server       ServerID
	Group        GroupID
	Address      string // IP:port of its PostgreSQL listener; may be empty in a response
	Zone         string // may be empty in a response
	Role         string
	Term         position.Term // term that it follows or leads
	LastTerm     position.Term // term of its last log record
	Offset       position.Offset
	History      position.History
	Promised     position.Term // highest term that it has promised
	Primary      string
	Slots        int
	Connections  int
	ShuttingDown bool          // it has started to shut down
	Lag          time.Duration // replication lag behind the primary, as measured by the instance
	Busy         bool          // it had no slot to state its position: Offset is a lower bound
}

// ErrRefused marks the error of a call that the other side refused, as opposed to one without a response.
var ErrRefused = errors.New("failover: the call was refused")

// ErrNotAccepted marks the error of an order that the platform did not receive or did not take up, so that it will never be
// carried out. An order without a response may still be.
var ErrNotAccepted = errors.New("failover: the platform did not accept the order")

// ErrNoStatus marks the error of a call to an instance that answered, but not with its status.
var ErrNoStatus = errors.New("failover: the instance answered without its status")

// Policy decides on the failovers of all database groups. Each control leader creates a new one. Step is
// called by a single goroutine.
type Policy interface {
	Step(now time.Time, e Event) []Effect
}

// rolePrimary is the role of an instance that accepts writes.
const rolePrimary = "primary"

// lastPosition returns the position of the last log record, by which candidates are compared.
func (r *Report) lastPosition() position.Position {
	return position.Position{Term: r.LastTerm, Offset: r.Offset}
}

// currentPosition returns the log offset together with the term that the instance follows.
func (r *Report) currentPosition() position.Position {
	return position.Position{Term: r.Term, Offset: r.Offset}
}

// Function is the name of a function of the platform interface.
type Function string

// Functions that a Coordinator calls.
const (
	Status  Function = "group_status"
	Fence   Function = "group_fence"
	Promote Function = "group_promote"
	Follow  Function = "group_follow"
	Unfence Function = "group_unfence" // ends a fence without a promotion
	Reach   Function = "reach"         // connects to the platform, without an order; it concerns no server
)

// Event is an input of a Policy.
type Event interface{ event() }

// ViewApplied reports the view of a group as applied from the control log. A new Policy receives all
// views. It must not be created before the leader has applied an entry of its own term, so that every
// later term of a group is its own proposal.
type ViewApplied struct{ View *wire.View }

// ConfigurationApplied reports the configured groups and the retired servers.
type ConfigurationApplied struct {
	Groups  []*wire.Group
	Retired []string
}

// Announced is an announcement of an instance.
type Announced struct{ Report Report }

// ReachabilityReported is the report of the entry VM named Entry on whether it reaches the primaries, with one
// Sight for each group.
type ReachabilityReported struct {
	Entry  string
	Sights []*wire.Sight
}

// CallCompleted is the outcome of a Call. Report is valid if Err is nil. The caller of Step completes every
// Call, at the latest after its timeout.
type CallCompleted struct {
	Call   Call
	Report Report
	Err    error
}

// InstanceStopped reports the planned stop of an instance.
type InstanceStopped struct{ Server ServerID }

// Tick advances time. It is due every 50 ms.
type Tick struct{}

// SwitchoverRequested requests a planned switchover. With an empty To, the Policy chooses the target.
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

// Effect is an output of a Policy, carried out by the caller of Step.
type Effect interface{ effect() }

// Propose appends an entry to the control log. The entry may be lost; the Policy then proposes it again.
type Propose struct{ Entry *wire.Entry }

// Call calls a function of an instance, with Timeout as the deadline.
type Call struct {
	Group    GroupID
	Server   ServerID
	Address  string
	Function Function
	Term     position.Term
	Primary  string        // address of the primary to follow
	Newest   position.Term // of a Fence: highest term of an instance that is known; the fence is above it
	Born     uint64        // announced start of the process that is called; 0 if not known
	Sent     time.Time     // when the Policy returned the call; zero if it does not matter
	Limit    time.Duration // longest wait for the response; 0 means CallTimeout
}

// Timeout returns the longest wait for the response.
func (c Call) Timeout() time.Duration {
	if c.Limit > 0 {
		return c.Limit
	}
	return CallTimeout
}

// PromotionDelayed reports that a failover waits until enough replicas are fenced, or until the platform takes orders.
// Meanwhile the group has no primary.
type PromotionDelayed struct {
	Group            GroupID
	Term             position.Term
	Fenced, Required int  // replicas
	Unreached        bool // the platform takes no orders
}

func (Propose) effect()          {}
func (Call) effect()             {}
func (PromotionDelayed) effect() {}

const (
	// CallTimeout is the longest wait for the response to a call without a Limit.
	CallTimeout = 300 * time.Millisecond
	// suspicionTimeout is the time without a message from the primary after which the control VM suspects
	// it. By then three announcements and five probes were missed, so 5% packet loss does not trigger it.
	suspicionTimeout = 1500 * time.Millisecond
	// probeAfter is the time without a message after which the control VM probes the primary.
	probeAfter = 600 * time.Millisecond
	// probeInterval is the time between two probes and between retries of a call.
	probeInterval = 200 * time.Millisecond
	// minReportedSilence is how long an entry VM must have had no contact with the primary for its report
	// to count against the primary.
	minReportedSilence = time.Second
	// entryReportTTL is how long the report of an entry VM counts.
	entryReportTTL = time.Second
	// noReportsTimeout is the time without a message from the primary after which it is replaced if no
	// entry VM reports on it.
	noReportsTimeout = 5 * time.Second
	// pollInterval is the time between status calls while a group waits for replicas.
	pollInterval = 20 * time.Millisecond
	// pauseThreshold is the gap between two Steps after which missing messages are disregarded, because
	// the control VM itself was paused.
	pauseThreshold = 500 * time.Millisecond
	// proposeRetryInterval is the time after which an entry that had no effect is proposed again.
	proposeRetryInterval = time.Second
	// minDrain gives entry VMs time to learn of a planned switchover and to end open transactions.
	minDrain = 150 * time.Millisecond
	// maxDrain bounds the wait for the target to catch up, so that the switchover stays below 1 s.
	maxDrain = 500 * time.Millisecond
	// requiredCatchUpPolls is the number of consecutive checks, after the first one, that must find the
	// target caught up with the former primary.
	requiredCatchUpPolls = 2
	// targetPromiseTimeout is how long a planned switchover waits for the promise of its target after a
	// majority has promised.
	targetPromiseTimeout = 100 * time.Millisecond
	// promotionTimeout is the time without a message from the server being promoted after which the
	// promotion is abandoned and a new term is raised.
	promotionTimeout = 700 * time.Millisecond
	// dismissDelay is how long a retired member stays in the group. It is longer than a configuration
	// lease (2.5 s), after which no entry VM counts a confirmation of a retired member any more.
	dismissDelay = 3 * time.Second
	// switchoverBackoff is the time between switchovers away from a retired primary.
	switchoverBackoff = 5 * time.Second
	// bootstrapTimeout is how long a new group waits for missing members before it promotes its first
	// primary.
	bootstrapTimeout = 5 * time.Second
	// forgetAfter is the time without a message after which a server that is not a member is removed.
	forgetAfter = 30 * time.Second
)
