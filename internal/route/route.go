// Package route chooses the backend server that runs a statement, by expected cost, session floor and
// freshness of the data.
package route

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// ServerID identifies a backend server.
type ServerID string

// Policy selects how reads are distributed. Writes always go to the primary.
type Policy uint8

// Policies.
const (
	// LeastCost sends a read to the replica with the least expected cost among those that may serve it.
	LeastCost Policy = iota
	// PrimaryOnly sends every read to the primary. It is the baseline for measurements.
	PrimaryOnly
)

// NoMaxAge is the MaxAge of a read that is bounded by its session floor alone.
const NoMaxAge time.Duration = -1

// MaxWait is the maximum time that a read waits for a replica to catch up.
const MaxWait = 20 * time.Millisecond

// Request is one statement or transaction to route.
type Request struct {
	// Read reports that the whole request is proven to be read-only.
	Read bool
	// Floor is the session floor, the lowest position that the chosen server must have reached, so that the
	// session reads its own writes.
	Floor position.Position
	// MaxAge bounds the age of the data; NoMaxAge means no bound. Data known to be current at Arrived or later
	// satisfies every bound, so a MaxAge of 0 requires a majority round after arrival.
	MaxAge time.Duration
	// Arrived is when the request reached the entry VM.
	Arrived time.Time
	// Deadline is the time at which the caller gives up; zero for none.
	Deadline time.Time
	// Waited is the time that the request has already spent on Wait results.
	Waited time.Duration
}

// Candidate is the state of one member of the database group as known to the entry VM.
type Candidate struct {
	Server  ServerID
	Primary bool
	// Retired servers are never chosen.
	Retired bool
	// Unreachable reports that the entry VM cannot reach the server.
	Unreachable bool
	// NetworkDelay is the one-way delay between the zones of the entry VM and the server.
	NetworkDelay time.Duration
	Position     position.Position
	History      position.History
	// AsOf is the send time of the latest majority round whose result Position covers; zero if none. The
	// primary needs it too, since a partitioned primary misses newer writes.
	AsOf time.Time
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Running and Queued count the statements of this entry VM at the server.
	Running, Queued int
}

// Result is the decision on a request.
type Result uint8

// Results of Choose.
const (
	// NoServer: no reachable server has reached the session floor; not run.
	NoServer Result = iota
	// Chosen: send the request to Server.
	Chosen
	// Wait: Server is about to catch up; choose again after Wait or when a position advances.
	Wait
	// NoPrimary: the group has no reachable primary and the request needs one; not run (FR005).
	NoPrimary
	// Stale: no server is known to have recent enough data; run a majority round and choose again.
	Stale
)

// Choice is the result of Choose.
type Choice struct {
	Result Result
	Server ServerID
	// Index is the index of Server among the candidates, or -1.
	Index int
	// Wait is the time to wait for the result Wait.
	Wait time.Duration
	// Cost is the expected response time.
	Cost time.Duration
}
