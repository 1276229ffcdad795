// Package outcome names the three results of a request: done, not run, unknown. Every result other
// than done has a SQLSTATE and a message that names the remedy.
package outcome

import "fmt"

// State is a five-character SQLSTATE.
type State string

// SQLSTATEs that callers see from the proxy itself.
const (
	NotRun        State = "FR001" // not run; may be sent again at once
	OverRate      State = "FR002" // not run; the client account is above its rate
	Late          State = "FR003" // not run; the deadline cannot be met
	NoLease       State = "FR004" // not run; the entry VM holds no configuration lease
	NoPrimary     State = "FR005" // not run; the database group has no primary now
	ReusedRequest State = "FR006" // not run; the request id belongs to another statement
	Unknown       State = "08007" // the outcome is not known
	BadKey        State = "28P01" // the key is not valid
	NoAccess      State = "28000" // the client account may not use the route
	Withdrawn     State = "57P01" // the key was withdrawn or the entry VM shuts down
	Unsupported   State = "0A000" // the feature is not carried
	BadProtocol   State = "08P01" // malformed message
	BadValue      State = "22023" // bad value of a run-time parameter
)

// Error is a result other than done, as shown to a caller.
type Error struct {
	State   State
	Message string
	Remedy  string // what the caller can do; sent as the hint
}

// New returns an Error.
func New(state State, message, remedy string) *Error {
	return &Error{State: state, Message: message, Remedy: remedy}
}

// Error writes the message, the SQLSTATE and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("outcome: %s (SQLSTATE %s); %s", e.Message, e.State, e.Remedy)
}

// NotRun reports whether the state says that the request did not run.
func (s State) NotRun() bool {
	switch s {
	case Unknown, "":
		return false
	case NotRun, OverRate, Late, NoLease, NoPrimary, ReusedRequest, BadKey, NoAccess, Unsupported, BadValue:
		return true
	}
	return false
}
