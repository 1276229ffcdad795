package standin

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs that the stand-in reports.
const (
	stateNotSupported           = "0A000"
	stateReadOnly               = "25006"
	stateNoTransaction          = "25P01"
	stateFailedTransaction      = "25P02"
	stateBadPassword            = "28P01"
	stateNotNull                = "23502"
	stateUnique                 = "23505"
	stateDivisionByZero         = "22012"
	stateInvalidText            = "22P02"
	stateSyntax                 = "42601"
	stateNoColumn               = "42703"
	stateNoTable                = "42P01"
	stateTableExists            = "42P07"
	stateNoFunction             = "42883"
	stateNoStatement            = "26000"
	stateNoPortal               = "34000"
	stateTooManyConnections     = "53300"
	stateNotInPrerequisiteState = "55000"
	stateLockTimeout            = "55P03"
	stateCanceled               = "57014"
	stateShutdown               = "57P01"
	stateInternal               = "XX000"
	stateBadProtocol            = "08P01"
	stateUnknownSetting         = "42704"
)

// SQLError is an error with the SQLSTATE that is sent to the client.
type SQLError struct {
	State   string
	Message string
}

// Error returns the message followed by the SQLSTATE.
func (e *SQLError) Error() string {
	return fmt.Sprintf("standin: %s (SQLSTATE %s)", e.Message, e.State)
}

func sqlErrorf(state, format string, args ...any) error {
	return &SQLError{State: state, Message: fmt.Sprintf(format, args...)}
}

func errUnsupported(what string) error {
	return sqlErrorf(stateNotSupported, "the stand-in does not support %s", what)
}

// errorResponse returns the ErrorResponse message for an error. An error without a SQLSTATE is an internal
// error.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	var sqlErr *SQLError
	if !errors.As(err, &sqlErr) {
		sqlErr = &SQLError{State: stateInternal, Message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: sqlErr.State, Message: sqlErr.Message}
}
