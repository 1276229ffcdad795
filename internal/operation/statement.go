// Package operation holds the typed statements and answers that travel between callers and backend
// servers, whatever protocol either side speaks.
package operation

import "fireflyrudder.example/fireflyrudder/pkg/position"

// Kind says what a statement does.
type Kind uint8

// Kinds of statements. Status, Pause and the like are commands of the system itself.
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
)

// Statement is one statement.
type Statement struct {
	// ID is chosen by the caller; empty for statements of the system itself.
	ID   string
	Kind Kind
	// ReadOnly says of a Begin or a Prepare that it only reads.
	ReadOnly bool
	// Name is the name of a value or of a prepared statement.
	Name string
	// Argument is what follows the name: a value, a shape, or the arguments of an Execute.
	Argument string
	// Shape is what an executed statement was prepared as.
	Shape string
	// Text is the statement as the caller wrote it. It reaches the backend server unchanged.
	Text string
	// After is the position that the log of the backend server must hold for a Read or a Begin;
	// zero for none.
	After position.Position
}

// Writes reports whether the statement changes data by itself.
func (s *Statement) Writes() bool {
	return s.Kind == Write || (s.Kind == Execute && !s.ReadOnly)
}

// NeedsSlot reports whether a backend server needs a slot to run the statement.
func (s *Statement) NeedsSlot() bool {
	switch s.Kind {
	case Read, Write, Execute, Commit, Status:
		return true
	}
	return false
}

// AnyNeedsSlot reports whether a backend server needs a slot to run any of the statements.
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
	Failed // ending it rolls back; nothing else runs
)

// Code is the outcome of a statement.
type Code uint8

// Codes. NotRun tells which of them promise that nothing of the operation is kept.
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

// String names the code in logs and counters.
func (c Code) String() string {
	return [...]string{
		"done", "busy", "aborted", "lagging", "readonly", "misrouted", "connlimit", "nostmt", "indoubt", "timeout",
		"failed", "malformed", "nodb", "noauth",
	}[c]
}

// NotRun reports whether a backend server that answers with the code did not run the statement.
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
	Proof  string // tag by which the backend server signs its answer; "" for answers of the system
	Code   Code
	Detail string
	State  State
	At     position.Position // of the log of the backend server; zero if it names none
}
