// Package route chooses the backend server for a statement.
package route

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// ServerID names a backend server.
type ServerID string

// Policy says how reads are spread. Writes always go to the primary.
type Policy uint8

// Policies.
const (
	// LeastCost sends reads to the cheapest replica that may serve them.
	LeastCost Policy = iota
	// PrimaryOnly sends every read to the primary. It is the baseline of measurements.
	PrimaryOnly
)

// NoMaxAge is the MaxAge of a read that is bounded by its session floor alone.
const NoMaxAge time.Duration = -1

// MaxWait bounds how long a read waits for a replica to catch up.
const MaxWait = 20 * time.Millisecond

// Request is one statement or transaction to be placed.
type Request struct {
	// Read says that the whole request is proved to be read-only.
	Read bool
	// Floor is the session floor: the chosen server holds everything up to it.
	Floor position.Position
	// MaxAge bounds the age of the data; AnyAge for no bound. Data known to be current at Arrived or
	// later is young enough for every bound, so a MaxAge of 0 asks for a majority round after arrival.
	MaxAge time.Duration
	// Arrived is when the request reached the entry VM.
	Arrived time.Time
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
	// Waited is how long the request has already waited because of Wait choices.
	Waited time.Duration
}

// Candidate is what the entry VM knows of one member of the database group.
type Candidate struct {
	Server  ServerID
	Primary bool
	// Retired servers are never chosen.
	Retired bool
	// Unreachable says that the entry VM cannot reach the server.
	Unreachable bool
	// NetworkDelay is the one-way delay between the zones of the entry VM and the server.
	NetworkDelay time.Duration
	Position     position.Position
	History      position.History
	// AsOf is the send time of the latest majority round whose result Position covers; zero if none.
	// It is needed for the primary too, since a partitioned primary does not know of newer writes.
	AsOf time.Time
	// Slots is the number of statements that the server runs at once.
	Slots int
	// Running and Queued count the statements of this entry VM at the server.
	Running, Queued int
}

// Result says what to do with a request.
type Result uint8

// Results of Choose.
const (
	// NoServer: no reachable server holds the session floor; not run.
	NoServer Result = iota
	// Chosen: send the request to Server.
	Chosen
	// Wait: Server is about to catch up; choose again after Wait or when a position advances.
	Wait
	// NoPrimary: the group has no reachable primary and the request needs one; not run (FR005).
	NoPrimary
	// Stale: no server is known to be young enough; run a majority round and choose again.
	Stale
)

// Choice is the result of Choose.
type Choice struct {
	Result Result
	Server ServerID
	// Index is the place of Server among the candidates.
	Index int
	// Wait is how long to wait, for the result Wait.
	Wait time.Duration
	// Cost is the expected time to the answer.
	Cost time.Duration
}
