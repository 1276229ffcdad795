// Package operation defines the typed statements and answers exchanged between callers and backend servers,
// independently of the protocol of either side.
package operation

import "fireflyrudder.example/fireflyrudder/pkg/position"

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements. Status, Pause and Resume are sent by the system itself.
const (
	Begin Kind = iota + 1
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	Reset
	Status
	Pause  // a replica receives nothing of the terms below Argument until Resume or a promotion
	Resume // ends a Pause
)

// Statement is one statement of a session.
type Statement struct {
	// ID is chosen by the caller; it is empty for statements of the system itself.
	ID   string
	Kind Kind
	// ReadOnly reports that the transaction of a Begin, or the statement of a Prepare or an Execute, only
	// reads.
	ReadOnly bool
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Argument is the text after the name: the value of a Set, the shape of a Prepare, or the arguments of an
	// Execute.
	Argument string
	// Shape is the text that the statement of an Execute was prepared with.
	Shape string
	// Text is the statement as the caller sent it. It is forwarded to the backend server unchanged.
	Text string
	// After is the position that the log of the backend server must have reached before a Read or a Begin runs;
	// zero for none.
	After position.Position
}

// Writes reports whether the statement itself changes data.
func (s *Statement) Writes() bool {
	return s.Kind == Write || (s.Kind == Execute && !s.ReadOnly)
}

// NeedsPrimary reports whether the statement succeeds only at an instance that leads its group.
func (s *Statement) NeedsPrimary() bool {
	return s.Writes() || s.Kind == Begin && !s.ReadOnly
}

// NeedsSlot reports whether the statement occupies a slot of the backend server while it runs.
func (s *Statement) NeedsSlot() bool {
	switch s.Kind {
	case Read, Write, Execute, Commit, Status:
		return true
	}
	return false
}

// AnyNeedsSlot reports whether any of the statements occupies a slot of the backend server while it runs.
func AnyNeedsSlot(statements []Statement) bool {
	for i := range statements {
		if statements[i].NeedsSlot() {
			return true
		}
	}
	return false
}

// State is the state of a transaction.
type State uint8

// States of a transaction.
const (
	Idle State = iota
	Open
	Failed // only statements that end the transaction run, and they roll it back
)

// Code is the outcome of a statement.
type Code uint8

// Outcomes of a statement. NotRun reports which of them guarantee that the statement had no effect.
const (
	Done Code = iota
	Busy
	Aborted
	Lagging
	ReadOnly
	Misrouted
	ConnectionLimit
	NoStatement
	InDoubt
	TimedOut
	StatementFailed
	Malformed
	NoDatabase
	NoAccess
)

// String returns the name of the code in logs and counters.
func (c Code) String() string {
	return [...]string{
		"done", "busy", "aborted", "lagging", "readonly", "misrouted", "connlimit", "nostmt", "indoubt", "timeout",
		"failed", "malformed", "nodb", "noauth",
	}[c]
}

// NotRun reports whether the code guarantees that the backend server did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, ConnectionLimit, NoStatement:
		return true
	}
	return false
}

// Answer is the outcome of one statement.
type Answer struct {
	Rows   []string
	Proof  string // tag with which the backend server signs its answer; "" for answers of the system
	Code   Code
	Detail string
	State  State
	At     position.Position // position of the backend server's log; zero if the answer has none
}
