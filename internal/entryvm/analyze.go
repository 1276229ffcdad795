package entryvm

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Limits of one session.
const (
	// maxPending bounds the size of the extended messages that wait for Sync, in bytes.
	maxPending = 32 << 20
	// maxStatements bounds the number of prepared statements of one session.
	maxStatements = 10_000
)

// SQLSTATEs that this package sends or handles itself.
const (
	stateSyntax             outcome.SQLState = "42601"
	stateUndefinedStatement outcome.SQLState = "26000"
	stateDuplicateStatement outcome.SQLState = "42P05"
	stateUndefinedPortal    outcome.SQLState = "34000"
	stateFailedTransaction  outcome.SQLState = "25P02"
	stateReadOnly           outcome.SQLState = "25006"
	stateQueryCanceled      outcome.SQLState = "57014"
	stateLimitExceeded      outcome.SQLState = "54000"
	stateUniqueViolation    outcome.SQLState = "23505"
	stateUndefinedTable     outcome.SQLState = "42P01"
	stateChangedResult      outcome.SQLState = "0A000"
	stateActiveStatement    outcome.SQLState = "25001"
)

// step is one extended message, copied from the read buffer.
type step struct {
	message  pgproto3.FrontendMessage
	prepared *prepared // of Parse, Bind, Describe and Execute
}

// request is a simple query, or the extended messages up to Sync or Flush.
type request struct {
	text      string // simple query
	statement *statement.Statement
	steps     []step
	sync      bool // the caller waits for ReadyForQuery

	runs      []*statement.Statement // statements to execute, in order
	read      bool                   // the statements only read or set session parameters
	mayCommit bool                   // the request may commit
	cost      float64                // in rate credits
}

// collect copies an extended message until Sync or Flush.
func (s *callerSession) collect(m pgproto3.FrontendMessage) error {
	if s.skipping {
		return nil
	}
	one, size := copyMessage(m)
	s.pendingBytes += size
	if s.pendingBytes > maxPending {
		s.conn.Fatal(outcome.New(stateLimitExceeded, "more than 32 MB of messages wait for Sync", "send Sync more often"))
		return errEnd
	}
	s.pending = append(s.pending, step{message: one})
	return nil
}

// copyMessage returns a copy that does not share memory with the read buffer, and its size in bytes.
func copyMessage(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, int) {
	const overhead = 64
	switch m := m.(type) {
	case *pgproto3.Parse:
		return &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: slices.Clone(m.ParameterOIDs)},
			overhead + len(m.Query) + 4*len(m.ParameterOIDs)
	case *pgproto3.Bind:
		return copyBind(m)
	case *pgproto3.Describe:
		one := *m
		return &one, overhead
	case *pgproto3.Execute:
		one := *m
		return &one, overhead
	case *pgproto3.Close:
		one := *m
		return &one, overhead
	}
	return m, overhead
}

// copyBind copies a Bind message, with its values in one buffer.
func copyBind(m *pgproto3.Bind) (pgproto3.FrontendMessage, int) {
	size := 0
	for _, value := range m.Parameters {
		size += len(value)
	}
	buffer := make([]byte, 0, size)
	values := make([][]byte, len(m.Parameters))
	for i, value := range m.Parameters {
		if value == nil {
			continue
		}
		from := len(buffer)
		buffer = append(buffer, value...)
		values[i] = buffer[from:len(buffer):len(buffer)]
	}
	return &pgproto3.Bind{
		DestinationPortal:    m.DestinationPortal,
		PreparedStatement:    m.PreparedStatement,
		ParameterFormatCodes: slices.Clone(m.ParameterFormatCodes),
		Parameters:           values,
		ResultFormatCodes:    slices.Clone(m.ResultFormatCodes),
	}, 64 + size + 32*len(values)
}

// newPrepared returns the classified statement of a Parse message.
func (vm *VM) newPrepared(m *pgproto3.Parse) *prepared {
	p := &prepared{sql: m.Query, oids: m.ParameterOIDs}
	key := make([]byte, 0, len(m.Query)+1+4*len(m.ParameterOIDs))
	key = append(key, m.Query...)
	key = append(key, 0)
	for _, oid := range m.ParameterOIDs {
		key = binary.BigEndian.AppendUint32(key, oid)
	}
	p.key = string(key)
	p.statement, p.refusal = vm.classify(m.Query)
	return p
}

// classify returns the classification of a text, or why it is not supported.
func (vm *VM) classify(sql string) (*statement.Statement, *outcome.Error) {
	st, err := vm.cache.Classify(sql)
	var syntax *statement.SyntaxError
	if errors.As(err, &syntax) {
		o := outcome.New(stateSyntax, syntax.Message, "correct the statement")
		return st, o
	}
	if err != nil {
		return st, outcome.New(stateSyntax, err.Error(), "correct the statement")
	}
	if refusal := st.Refusal(); refusal != nil {
		return st, refusal
	}
	return st, refuseUnpoolable(st)
}

// refuseUnpoolable refuses valid statements that are not supported on pooled connections.
func refuseUnpoolable(st *statement.Statement) *outcome.Error {
	switch st.Kind {
	case statement.Prepare, statement.Execute:
		return outcome.New(outcome.Unsupported, "PREPARE and EXECUTE are not carried as SQL",
			"use the prepared statements of the protocol, as drivers do")
	case statement.Multiple:
		for i := range st.Parts {
			part := &st.Parts[i]
			if refusal := refuseUnpoolable(part); refusal != nil {
				return refusal
			}
			if isLocalStatement(part) || isSessionSet(part) {
				return outcome.New(outcome.Unsupported, "SET, SHOW, RESET, DISCARD and DEALLOCATE are not carried among other statements",
					"send them on their own")
			}
		}
	}
	return nil
}

// isLocalStatement reports whether the VM answers the statement itself.
func isLocalStatement(st *statement.Statement) bool {
	switch st.Kind {
	case statement.Set, statement.Show, statement.Reset:
		_, is := ownParameter(st.Name)
		return is
	case statement.Deallocate, statement.Discard, statement.Empty:
		return true
	}
	return false
}

// isSessionSet reports whether the statement sets or resets a session parameter at the server.
func isSessionSet(st *statement.Statement) bool {
	switch st.Kind {
	case statement.Set:
		return !st.Local
	case statement.Reset:
		return true
	}
	return false
}

// analyze derives read, mayCommit and cost from the statements of the request.
func (r *request) analyze(inTransaction bool) {
	r.read = true
	for _, st := range r.runs {
		r.analyzeStatement(st, inTransaction)
	}
}

func (r *request) analyzeStatement(st *statement.Statement, inTransaction bool) {
	switch st.Kind {
	case statement.Multiple:
		inside := inTransaction
		for i := range st.Parts {
			r.analyzeStatement(&st.Parts[i], inside)
			switch st.Parts[i].Kind {
			case statement.Begin:
				inside = true
			case statement.Commit, statement.Rollback:
				inside = st.Parts[i].Chain
			}
		}
		return
	case statement.Read, statement.Show:
		r.cost++
		return
	case statement.Commit:
		r.mayCommit = true
	case statement.Rollback:
		r.mayCommit = r.mayCommit || st.Chain
	case statement.Begin, statement.Savepoint, statement.Release, statement.RollbackTo, statement.SetTransaction:
		r.cost++
	case statement.Set, statement.Reset:
		r.cost++
		if !inTransaction {
			return // runs on any server; the setting is replayed on other connections
		}
	default:
		r.cost++
		r.mayCommit = r.mayCommit || !inTransaction
	}
	r.read = false
}

// resolve resolves the statement of each step. If it returns an error, nothing of the request runs, since an error
// aborts everything up to Sync.
func (s *callerSession) resolve(r *request) *outcome.Error {
	names := make(map[string]*prepared)
	portals := make(map[string]*prepared)
	for i := range r.steps {
		if refusal := s.resolveStep(r, &r.steps[i], names, portals); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s *callerSession) resolveStep(r *request, one *step, names, portals map[string]*prepared) *outcome.Error {
	switch m := one.message.(type) {
	case *pgproto3.Parse:
		if m.Name != "" && s.statement(m.Name, names) != nil {
			return outcome.New(stateDuplicateStatement, "prepared statement \""+m.Name+"\" already exists", "close it first or use another name")
		}
		if len(s.statements)+len(names) >= maxStatements {
			return outcome.New(stateLimitExceeded, "too many prepared statements", "close some")
		}
		one.prepared = s.vm.newPrepared(m)
		if one.prepared.refusal != nil {
			return one.prepared.refusal
		}
		names[m.Name] = one.prepared
	case *pgproto3.Bind:
		if one.prepared = s.statement(m.PreparedStatement, names); one.prepared == nil {
			return undefinedStatement(m.PreparedStatement)
		}
		portals[m.DestinationPortal] = one.prepared
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			if one.prepared = s.statement(m.Name, names); one.prepared == nil {
				return undefinedStatement(m.Name)
			}
			return nil
		}
		if one.prepared = s.portal(m.Name, portals); one.prepared == nil {
			return undefinedPortal(m.Name)
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			names[m.Name] = nil
		}
	case *pgproto3.Execute:
		if one.prepared = s.portal(m.Portal, portals); one.prepared == nil {
			return undefinedPortal(m.Portal)
		}
		r.runs = append(r.runs, one.prepared.statement)
	}
	return nil
}

func (s *callerSession) statement(name string, names map[string]*prepared) *prepared {
	if p, ok := names[name]; ok {
		return p
	}
	return s.statements[name]
}

func (s *callerSession) portal(name string, portals map[string]*prepared) *prepared {
	if p, ok := portals[name]; ok {
		return p
	}
	return s.portals[name]
}

func undefinedStatement(name string) *outcome.Error {
	return outcome.New(stateUndefinedStatement, "prepared statement \""+name+"\" does not exist", "prepare it again")
}

func undefinedPortal(name string) *outcome.Error {
	return outcome.New(stateUndefinedPortal, "portal \""+name+"\" does not exist", "bind it again")
}
