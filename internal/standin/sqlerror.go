package standin

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs that the stand-in reports.
const (
	stateNotSupported   = "0A000"
	stateReadOnly       = "25006"
	stateNoTransaction  = "25P01"
	stateFailed         = "25P02"
	stateBadPassword    = "28P01"
	stateNotNull        = "23502"
	stateUnique         = "23505"
	stateDivision       = "22012"
	stateBadText        = "22P02"
	stateSyntax         = "42601"
	stateNoColumn       = "42703"
	stateNoTable        = "42P01"
	stateTableExists    = "42P07"
	stateNoFunction     = "42883"
	stateNoStatement    = "26000"
	stateNoPortal       = "34000"
	stateConnections    = "53300"
	stateWrongState     = "55000"
	stateLockTimeout    = "55P03"
	stateCanceled       = "57014"
	stateShutdown       = "57P01"
	stateInternal       = "XX000"
	stateBadProtocol    = "08P01"
	stateUnknownSetting = "42704"
)

// SQLError is an error with the SQLSTATE that the caller sees.
type SQLError struct {
	State   string
	Message string
}

// Error writes the message and the SQLSTATE.
func (f *SQLError) Error() string {
	return fmt.Sprintf("standin: %s (SQLSTATE %s)", f.Message, f.State)
}

func fault(state, format string, args ...any) error {
	return &SQLError{State: state, Message: fmt.Sprintf(format, args...)}
}

func unsupported(what string) error {
	return fault(stateNotSupported, "the stand-in does not support %s", what)
}

// response returns the protocol message for an error.
func response(err error, severity string) *pgproto3.ErrorResponse {
	var f *SQLError
	if !errors.As(err, &f) {
		f = &SQLError{State: stateInternal, Message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: f.State, Message: f.Message}
}
