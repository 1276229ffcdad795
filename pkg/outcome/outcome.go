// Package outcome defines the results of a request: done, not run, or unknown. Every result other than done
// has a SQLSTATE, a message and a remedy.
package outcome

import "fmt"

// SQLState is a five-character SQLSTATE.
type SQLState string

// SQLSTATE codes that the proxy itself returns to callers.
const (
	NotRun            SQLState = "FR001" // not run; may be retried at once
	RateLimited       SQLState = "FR002" // not run; the client account exceeds its rate limit
	DeadlineUnmet     SQLState = "FR003" // not run; the deadline cannot be met
	NoLease           SQLState = "FR004" // not run; the entry VM has no configuration lease
	NoPrimary         SQLState = "FR005" // not run; the database group has no primary at present
	RequestIDReused   SQLState = "FR006" // not run; the request id belongs to another statement
	Unknown           SQLState = "08007" // the outcome is unknown; the request may have run
	InvalidKey        SQLState = "28P01" // the key is not valid
	AccessDenied      SQLState = "28000" // the client account may not use the route
	SessionTerminated SQLState = "57P01" // the key was revoked or the entry VM shuts down
	Unsupported       SQLState = "0A000" // the feature is not supported
	ProtocolViolation SQLState = "08P01" // malformed message
	InvalidParameter  SQLState = "22023" // invalid value of a run-time parameter
)

// Error is a result other than done, as returned to a caller.
type Error struct {
	State   SQLState
	Message string
	Remedy  string // what the caller can do; sent as the hint
}

// New returns an Error.
func New(state SQLState, message, remedy string) *Error {
	return &Error{State: state, Message: message, Remedy: remedy}
}

// Error returns the message with the SQLSTATE and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("outcome: %s (SQLSTATE %s); %s", e.Message, e.State, e.Remedy)
}

// NotRun reports whether the code guarantees that the request did not run.
func (s SQLState) NotRun() bool {
	switch s {
	case Unknown, "":
		return false
	case NotRun, RateLimited, DeadlineUnmet, NoLease, NoPrimary, RequestIDReused, InvalidKey, AccessDenied, Unsupported, InvalidParameter:
		return true
	}
	return false
}
