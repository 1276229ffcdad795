// Package statement classifies SQL texts by their parse tree. A statement that is not proven to be a read
// counts as a write.
package statement

import (
	"fmt"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Kind determines how the proxy treats a statement.
type Kind uint8

// Kinds of statements. Write is the zero value, so an unset kind never reaches a replica.
const (
	Write          Kind = iota // anything that is not proven to be of another kind
	Read                       // proven free of side effects; may run on a replica
	Begin                      // BEGIN, START TRANSACTION
	Commit                     // COMMIT, END
	Rollback                   // ROLLBACK, ABORT
	Savepoint                  // SAVEPOINT name
	Release                    // RELEASE SAVEPOINT name
	RollbackTo                 // ROLLBACK TO SAVEPOINT name
	SetTransaction             // SET TRANSACTION; only within a transaction
	Set                        // SET name, SET LOCAL name, SET name TO DEFAULT
	Show                       // SHOW name, SHOW ALL
	Reset                      // RESET name, RESET ALL
	Prepare                    // PREPARE name AS ...
	Execute                    // EXECUTE name(...)
	Deallocate                 // DEALLOCATE name, DEALLOCATE ALL
	Discard                    // DISCARD ALL, PLANS, SEQUENCES or TEMP
	Empty                      // no statement in the text
	Multiple                   // several statements; see Parts
	Unsupported                // refused; see Reason
)

var kindNames = [...]string{
	Write: "write", Read: "read", Begin: "begin", Commit: "commit", Rollback: "rollback",
	Savepoint: "savepoint", Release: "release", RollbackTo: "rollback to", SetTransaction: "set transaction",
	Set: "set", Show: "show", Reset: "reset", Prepare: "prepare", Execute: "execute",
	Deallocate: "deallocate", Discard: "discard", Empty: "empty", Multiple: "multiple",
	Unsupported: "unsupported",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// All is the Name of SHOW ALL, RESET ALL, DEALLOCATE ALL and DISCARD ALL.
const All = "all"

// Statement is the classification of one text. It is immutable and may be shared.
type Statement struct {
	Kind Kind
	// Name is the parameter of Set, Show and Reset (in lower case), the prepared statement of Prepare, Execute
	// and Deallocate, the savepoint of Savepoint, Release and RollbackTo, the target of Discard, or All. It is
	// All for RESET ALL even though a parameter could have that name.
	Name string
	// Value is the new value of Set. Several values are joined by ", ".
	Value string
	// Default reports that Set resets the parameter to its default.
	Default bool
	// Local reports that the effect of Set ends with the transaction.
	Local bool
	// ReadOnly is set for Begin and SetTransaction with READ ONLY.
	ReadOnly bool
	// ReadWrite is set for Begin and SetTransaction with READ WRITE.
	ReadWrite bool
	// Chain reports that Commit or Rollback begins the next transaction at once (AND CHAIN).
	Chain bool
	// Body is the kind of the statement that Prepare prepares: Read or Write.
	Body Kind
	// Parts are the statements of Multiple, in order. None of them is Multiple or Unsupported.
	Parts []Statement
	// Text is the text of the statement; for a part of Multiple, only that part.
	Text string
	// Reason is what is not supported, and Remedy what the caller can do.
	Reason string
	Remedy string
}

// IsRead reports whether all statements of the text are proven reads.
func (s *Statement) IsRead() bool {
	if s.Kind != Multiple {
		return s.Kind == Read
	}
	for i := range s.Parts {
		if s.Parts[i].Kind != Read {
			return false
		}
	}
	return true
}

// Refusal returns the error that a caller receives for an unsupported statement, and nil for other kinds.
func (s *Statement) Refusal() *outcome.Error {
	if s.Kind != Unsupported {
		return nil
	}
	return outcome.New(outcome.Unsupported, s.Reason, s.Remedy)
}

// SyntaxError is returned for a text that is not valid SQL. The statement did not run (SQLSTATE 42601).
type SyntaxError struct {
	Message string
	// Position is the byte position in the text, counted from 1; 0 if unknown.
	Position int
}

// Error returns the message with the remedy.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("statement: %s (position %d); correct the statement and send it again", e.Message, e.Position)
}
