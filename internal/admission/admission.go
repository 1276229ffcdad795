// Package admission shares the slots of a backend server between client accounts.
package admission

import "time"

// AccountID names a client account.
type AccountID string

// Policy says in which order waiting statements run.
type Policy uint8

// Policies.
const (
	// Fair is start-time fair queueing of slot time by the weights of the client accounts.
	Fair Policy = iota
	// FIFO runs statements in order of arrival. It is the baseline of measurements.
	FIFO
)

// DefaultMaxWaiting is the default bound of waiting statements of one client account at one server.
const DefaultMaxWaiting = 256

// PrimaryReadShare is the Settings.Reads of a primary. A quarter leaves writes more than they use at the
// sizes of both users, so that a lag storm, which sends reads to the primary, delays writes little.
const PrimaryReadShare = 0.25

// Settings of a queue.
type Settings struct {
	Policy Policy
	// Slots is the number of statements that the server runs at once, for all entry VMs; at least 1.
	Slots int
	// Fixed keeps the statements in flight at Slots. Otherwise their number follows the observed
	// latency between 1 and Slots, because other entry VMs use the same slots.
	Fixed bool
	// MaxWaiting bounds the waiting statements of one client account; 0 means DefaultLength.
	MaxWaiting int
	// ReadShare is the share of the slot time that reads may take while writes wait; 0 means no bound. It
	// is set for primaries.
	ReadShare float64
}

// Ticket is one statement that asks for a slot.
type Ticket struct {
	Account AccountID
	// Weight is the share of the client account relative to others; 0 means 1.
	Weight float64
	Read   bool
	// InTransaction says that the statement belongs to a transaction that is already open at the server.
	// It goes first, since the transaction holds a connection and locks, and is charged all the same.
	InTransaction bool
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Target is when an answer becomes late for the caller; zero for none. A statement that is late
	// already waits behind those of its client account that are not: after an outage the backlog would
	// otherwise make every statement late until it is worked off.
	Target time.Time
	// Tag is the caller's own mark; the queue hands it back.
	Tag any

	flow *flow // set by Pop
}

// Handle identifies a waiting ticket.
type Handle struct {
	index      int32
	generation uint32
}

// Result says what became of a ticket.
type Result uint8

// Results of Push and Pop. A ticket with Full or Late did not run and never will.
const (
	// None: no ticket can be admitted now.
	None Result = iota
	// Waiting: the ticket is queued; Pop hands it back.
	Waiting
	// Admitted: the ticket holds a slot until Done.
	Admitted
	// Full: the client account has too many waiting statements (FR001).
	Full
	// Late: the deadline cannot be met (FR003).
	Late
)
