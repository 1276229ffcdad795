// Package admission schedules the statements that one entry VM sends to a backend server, fairly between
// client accounts. Its Queue is a deterministic state machine without locks; package slots makes it usable
// from several goroutines.
package admission

import "time"

// AccountID is the name of a client account.
type AccountID string

// Policy selects the order in which waiting statements run.
type Policy uint8

// Policies.
const (
	// Fair is start-time fair queueing of slot time, weighted by client account.
	Fair Policy = iota
	// FIFO runs statements in order of arrival. It is the baseline for measurements.
	FIFO
)

// DefaultMaxWaiting is the default limit of waiting statements per client account and server.
const DefaultMaxWaiting = 256

// MaxPriority is the largest Ticket.Priority that is distinguished.
const MaxPriority = 7

// PrimaryReadShare is the Settings.ReadShare of a primary. At the sizes of both users a quarter leaves writes
// more than they use, so that replication lag, which sends many reads to the primary, delays writes little.
const PrimaryReadShare = 0.25

// Settings configures a Queue.
type Settings struct {
	Policy Policy
	// Slots is the number of statements that the server runs concurrently for all entry VMs; at least 1.
	Slots int
	// Fixed keeps the concurrency limit at Slots. Otherwise the limit follows the observed latency between 1
	// and Slots, because other entry VMs use the same slots.
	Fixed bool
	// MaxWaiting limits the waiting statements of one client account, with Urgency in each priority; 0 means
	// DefaultMaxWaiting.
	MaxWaiting int
	// ReadShare is the share of the slot time that reads may use while writes wait; 0 means no limit. It is
	// set for primaries.
	ReadShare float64
	// Connections is the number of connections that statements may use at once; 0 means no limit. A statement
	// outside a transaction is admitted only if one is free, and uses it until ReleaseConnection. Statements of
	// open transactions have theirs already.
	Connections int
	// Urgency orders statements by Ticket.Priority. Otherwise all have the same priority.
	Urgency bool
}

// Ticket is a statement that requests a slot.
type Ticket struct {
	Account AccountID
	// Weight is the weight of the client account relative to others; 0 means 1.
	Weight float64
	Read   bool
	// InTransaction marks a statement of a transaction that is already open at the server. It goes first,
	// since the transaction holds a connection and locks, but its slot time is charged like any other.
	InTransaction bool
	// Priority is the urgency of the route, 0 being the most urgent; values above MaxPriority count as MaxPriority.
	// It is used only with Settings.Urgency.
	Priority uint8
	// Yielded is set by Pop if a Late statement was returned in favor of a more urgent one.
	Yielded bool
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Target is when an answer becomes late for the caller; zero for none. A statement that is already late
	// waits behind those of its client account that are not. Otherwise the backlog after an outage would make
	// every statement late until it is worked off.
	Target time.Time
	// Tag is set by the caller and returned by Pop.
	Tag any

	flow *flow // set by Pop
}

// Handle identifies a waiting ticket.
type Handle struct {
	index      int32
	generation uint32
}

// Result is the state of a ticket after Push or Pop.
type Result uint8

// Results of Push and Pop. A ticket with Full or Late has not run and will not run.
const (
	// None means that no ticket can be admitted now.
	None Result = iota
	// Waiting means that the ticket is queued; Pop returns it later.
	Waiting
	// Admitted means that the ticket occupies a slot until Done.
	Admitted
	// Full means that the client account has too many waiting statements (FR001).
	Full
	// Late means that the deadline cannot be met (FR003).
	Late
)
