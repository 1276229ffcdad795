// Package outcome names the three results of a request: done, not run, unknown. Every result other
// than done has a SQLSTATE and a message that names the remedy.
package outcome

import "fmt"

// SQLState is a five-character SQLSTATE.
type SQLState string

// SQLSTATEs that callers see from the proxy itself.
const (
	NotRun            SQLState = "FR001" // not run; may be sent again at once
	RateLimited       SQLState = "FR002" // not run; the client account is above its rate
	DeadlineUnmet     SQLState = "FR003" // not run; the deadline cannot be met
	NoLease           SQLState = "FR004" // not run; the entry VM holds no configuration lease
	NoPrimary         SQLState = "FR005" // not run; the database group has no primary now
	RequestIDReused   SQLState = "FR006" // not run; the request id belongs to another statement
	Unknown           SQLState = "08007" // the outcome is not known
	InvalidKey        SQLState = "28P01" // the key is not valid
	AccessDenied      SQLState = "28000" // the client account may not use the route
	SessionTerminated SQLState = "57P01" // the key was withdrawn or the entry VM shuts down
	Unsupported       SQLState = "0A000" // the feature is not carried
	ProtocolViolation SQLState = "08P01" // malformed message
	InvalidParameter  SQLState = "22023" // bad value of a run-time parameter
)

// Error is a result other than done, as shown to a caller.
type Error struct {
	State   SQLState
	Message string
	Remedy  string // what the caller can do; sent as the hint
}

// New returns an Error.
func New(state SQLState, message, remedy string) *Error {
	return &Error{State: state, Message: message, Remedy: remedy}
}

// Error writes the message, the SQLSTATE and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("outcome: %s (SQLSTATE %s); %s", e.Message, e.State, e.Remedy)
}

// NotRun reports whether the state says that the request did not run.
func (s SQLState) NotRun() bool {
	switch s {
	case Unknown, "":
		return false
	case NotRun, RateLimited, DeadlineUnmet, NoLease, NoPrimary, RequestIDReused, InvalidKey, AccessDenied, Unsupported, InvalidParameter:
		return true
	}
	return false
}
