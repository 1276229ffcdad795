package entryvm

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// textOID is the OID of the type text, which SHOW returns.
const textOID = 25

// handleSimple handles a simple query.
func (s *callerSession) handleSimple(text string) error {
	s.flushing, s.skipping = false, false
	st, refusal := s.vm.classify(text)
	if refusal != nil {
		return s.refuse(refusal)
	}
	if isLocalStatement(st) {
		return s.simpleLocal(st)
	}
	r := &request{text: text, statement: st, sync: true, runs: []*statement.Statement{st}}
	r.analyze(s.status != txIdle)
	return s.perform(r)
}

// simpleLocal answers a simple query that the VM answers itself.
func (s *callerSession) simpleLocal(st *statement.Statement) error {
	if st.Kind == statement.Empty {
		if err := s.conn.Send(&pgproto3.EmptyQueryResponse{}); err != nil {
			return err
		}
		return s.sendReady()
	}
	if s.status == txFailed {
		return s.sendError(outcome.New(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block", "send ROLLBACK"))
	}
	value, tag, refusal := s.runLocal(st)
	if refusal != nil {
		return s.refuse(refusal)
	}
	if st.Kind == statement.Show {
		if err := s.conn.Send(showDescription(st)); err != nil {
			return err
		}
		if err := s.conn.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); err != nil {
			return err
		}
	}
	if err := s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}); err != nil {
		return err
	}
	return s.sendReady()
}

func showDescription(st *statement.Statement) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(st.Name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// runLocal runs a statement that the VM answers itself, and returns its value and command tag.
func (s *callerSession) runLocal(st *statement.Statement) (value, tag string, refusal *outcome.Error) {
	name, _ := ownParameter(st.Name)
	switch st.Kind {
	case statement.Set:
		text := st.Value
		if st.Default {
			text = ""
		}
		return "", "SET", s.parameters.set(name, text, s.vm.options.Entry.Wait)
	case statement.Reset:
		return "", "RESET", s.parameters.set(name, "", s.vm.options.Entry.Wait)
	case statement.Show:
		value, refusal = s.showParameter(name)
		return value, "SHOW", refusal
	case statement.Deallocate:
		if st.Name == statement.All {
			clear(s.statements)
			return "", "DEALLOCATE ALL", nil
		}
		if _, ok := s.statements[st.Name]; !ok {
			return "", "", undefinedStatement(st.Name)
		}
		delete(s.statements, st.Name)
		return "", "DEALLOCATE", nil
	case statement.Discard:
		return "", "DISCARD " + strings.ToUpper(st.Name), s.discard(st.Name)
	}
	return "", "", nil
}

// discard resets the session. The connections that the session used are reset before others use them.
func (s *callerSession) discard(part string) *outcome.Error {
	if part != statement.All {
		return nil
	}
	if s.status != txIdle {
		return outcome.New(stateActiveStatement, "DISCARD ALL cannot run inside a transaction block", "end the transaction first")
	}
	clear(s.statements)
	s.removeSetting(statement.All)
	s.parameters = parameters{deadline: s.vm.options.Entry.Wait}
	return nil
}

// handleExtended runs the messages collected up to Sync or Flush.
func (s *callerSession) handleExtended(sync bool) error {
	r := &request{steps: s.pending, sync: sync}
	s.pending, s.pendingBytes = nil, 0
	s.flushing = !sync
	if s.skipping {
		if !sync {
			return s.conn.Flush()
		}
		s.skipping = false
		r.steps = nil
	}
	if len(r.steps) == 0 && !s.unsynced {
		if !sync {
			return s.conn.Flush()
		}
		return s.sendReady()
	}
	if refusal := s.resolve(r); refusal != nil {
		return s.refuse(refusal)
	}
	r.analyze(s.status != txIdle)
	if refusal := s.refuseSequence(r); refusal != nil {
		return s.refuse(refusal)
	}
	if s.onlyLocal(r) {
		return s.performLocal(r)
	}
	return s.perform(r)
}

// refuseSequence refuses sequences of messages that cannot be answered as the protocol requires.
func (s *callerSession) refuseSequence(r *request) *outcome.Error {
	settings := 0
	for _, st := range r.runs {
		if isLocalStatement(st) || isSessionSet(st) {
			settings++
		}
	}
	if settings > 0 && len(r.runs) > 1 {
		return outcome.New(outcome.Unsupported, "SET, SHOW, RESET, DISCARD and DEALLOCATE are not carried in one sequence with other statements",
			"send Sync after them")
	}
	if r.sync {
		return nil
	}
	if r.mayCommit {
		return outcome.New(outcome.Unsupported, "Flush after a statement that may commit is not carried: its answer waits for confirmation",
			"send Sync")
	}
	if s.status != txIdle {
		return nil
	}
	for i := range r.steps {
		switch r.steps[i].message.(type) {
		case *pgproto3.Bind, *pgproto3.Execute:
			return outcome.New(outcome.Unsupported, "Flush after Bind is not carried outside a transaction", "send Sync, or BEGIN first")
		}
	}
	return nil
}

// onlyLocal reports whether the VM answers every step itself.
func (s *callerSession) onlyLocal(r *request) bool {
	for i := range r.steps {
		if !isLocalStep(&r.steps[i]) {
			return false
		}
	}
	return !s.unsynced
}

// isLocalStep reports whether the VM answers a step itself.
func isLocalStep(one *step) bool {
	if m, ok := one.message.(*pgproto3.Close); ok {
		return m.ObjectType == 'S'
	}
	return one.prepared != nil && isLocalStatement(one.prepared.statement)
}

// performLocal answers steps without a backend server.
func (s *callerSession) performLocal(r *request) error {
	if s.status == txFailed && len(r.runs) > 0 {
		return s.sendError(outcome.New(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block", "send ROLLBACK"))
	}
	x := newExchange(s, &serverConn{}, false)
	defer x.release()
	for i := range r.steps {
		if err := s.answerStep(x, &r.steps[i]); err != nil {
			return err
		}
		if x.code != "" {
			break
		}
		s.recordStep(&r.steps[i])
	}
	if !r.sync {
		s.skipping = x.code != ""
		return s.conn.Flush()
	}
	return s.sendReady()
}

// answerStep answers one step that the VM answers itself.
func (s *callerSession) answerStep(x *exchange, one *step) error {
	switch m := one.message.(type) {
	case *pgproto3.Parse:
		return x.emit(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return x.emit(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		return x.emit(&pgproto3.CloseComplete{})
	case *pgproto3.Describe:
		return s.describeLocal(x, m, one.prepared.statement)
	case *pgproto3.Execute:
		return s.executeLocal(x, one.prepared.statement)
	}
	return nil
}

func (s *callerSession) describeLocal(x *exchange, m *pgproto3.Describe, st *statement.Statement) error {
	if m.ObjectType == 'S' {
		if err := x.emit(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	if st.Kind == statement.Show {
		return x.emit(showDescription(st))
	}
	return x.emit(&pgproto3.NoData{})
}

func (s *callerSession) executeLocal(x *exchange, st *statement.Statement) error {
	if st.Kind == statement.Empty {
		return x.emit(&pgproto3.EmptyQueryResponse{})
	}
	value, tag, refusal := s.runLocal(st)
	if refusal != nil {
		x.code = string(refusal.State)
		return x.emit(caller.ErrorResponse("ERROR", refusal))
	}
	if st.Kind == statement.Show {
		if err := x.emit(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); err != nil {
			return err
		}
	}
	return x.emit(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// recordStep records the effect of a successful step on the prepared statements and portals of the session.
func (s *callerSession) recordStep(one *step) {
	switch m := one.message.(type) {
	case *pgproto3.Parse:
		if s.statements == nil {
			s.statements = make(map[string]*prepared)
		}
		s.statements[m.Name] = one.prepared
	case *pgproto3.Bind:
		if s.status == txIdle {
			return // the portal ends with the request
		}
		if s.portals == nil {
			s.portals = make(map[string]*prepared)
		}
		s.portals[m.DestinationPortal] = one.prepared
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
	}
}

// wrapPrefix starts the read-only transaction of a simple query on a replica.
const wrapPrefix = "BEGIN READ ONLY;"

// sendWrapped encodes a request and returns its size in bytes. On a replica it runs in a read-only transaction, whose
// BEGIN and COMMIT are sent together with it, since the server flushes its answers at each ReadyForQuery.
func (x *exchange) sendWrapped(r *request) (int, error) {
	if !x.serverConn.replica || r.isBeginReadOnly() || len(r.runs) == 0 {
		return x.send(r)
	}
	if r.text == "" {
		return x.sendSteps(r, true)
	}
	x.wrappedStatements = max(1, len(r.statement.Parts))
	// The newline ends a comment at the end of the text.
	return len(r.text), x.addQuery(wrapPrefix+r.text+"\n;COMMIT", false)
}

// send encodes a request and returns its size in bytes.
func (x *exchange) send(r *request) (int, error) {
	if r.text != "" {
		return len(r.text), x.addQuery(r.text, false)
	}
	return x.sendSteps(r, false)
}

// sendSteps encodes extended messages, within a read-only transaction if wrap is true.
func (x *exchange) sendSteps(r *request, wrap bool) (int, error) {
	if wrap {
		if err := x.addInternalStep(beginReadOnly); err != nil {
			return 0, err
		}
	}
	size := 0
	for i := range r.steps {
		if err := x.sendStep(&r.steps[i]); err != nil {
			return 0, err
		}
		size += stepSize(&r.steps[i])
	}
	if wrap {
		if err := x.addInternalStep(endReadOnly); err != nil {
			return 0, err
		}
	}
	if !r.sync && x.session.status != txIdle {
		x.session.unsynced = true
		return size, x.conn.Send(&pgproto3.Flush{})
	}
	x.expects = append(x.expects, expectedAnswer{kind: 'Z'})
	return size, x.conn.Send(&pgproto3.Sync{})
}

// addInternalStep adds an internal statement without parameters among extended messages.
func (x *exchange) addInternalStep(p *prepared) error {
	name, err := x.ensurePrepared(p)
	if err != nil {
		return err
	}
	x.expects = append(x.expects, expectedAnswer{kind: 'B', internal: true}, expectedAnswer{kind: 'E', internal: true})
	if err := x.conn.Send(&pgproto3.Bind{PreparedStatement: name}); err != nil {
		return err
	}
	return x.conn.Send(&pgproto3.Execute{})
}

func stepSize(one *step) int {
	const overhead = 64
	switch m := one.message.(type) {
	case *pgproto3.Parse:
		return overhead + len(m.Query)
	case *pgproto3.Bind:
		size := overhead
		for _, value := range m.Parameters {
			size += 4 + len(value)
		}
		return size
	}
	return overhead
}

// sendStep encodes one step, with the statement names of this connection.
func (x *exchange) sendStep(one *step) error {
	if isLocalStep(one) {
		x.expects = append(x.expects, expectedAnswer{local: true, step: one})
		return nil
	}
	switch m := one.message.(type) {
	case *pgproto3.Parse:
		if _, known := x.conn.PreparedName(one.prepared.key); known {
			x.expects = append(x.expects, expectedAnswer{local: true, step: one})
			return nil
		}
		return x.prepare(one.prepared, one)
	case *pgproto3.Bind:
		name, err := x.ensurePrepared(one.prepared)
		if err != nil {
			return err
		}
		x.expects = append(x.expects, expectedAnswer{kind: 'B', step: one})
		bound := *m
		bound.PreparedStatement = name
		return x.conn.Send(&bound)
	case *pgproto3.Describe:
		described := *m
		if m.ObjectType == 'S' {
			name, err := x.ensurePrepared(one.prepared)
			if err != nil {
				return err
			}
			described.Name = name
		}
		x.expects = append(x.expects, expectedAnswer{kind: 'D', step: one})
		return x.conn.Send(&described)
	case *pgproto3.Execute:
		x.expects = append(x.expects, expectedAnswer{kind: 'E', step: one})
	case *pgproto3.Close:
		x.expects = append(x.expects, expectedAnswer{kind: 'C', step: one})
	}
	return x.conn.Send(one.message)
}

// ensurePrepared returns the name of a statement on this connection, and prepares it there if necessary.
func (x *exchange) ensurePrepared(p *prepared) (string, error) {
	if name, known := x.conn.PreparedName(p.key); known {
		return name, nil
	}
	if err := x.prepare(p, nil); err != nil {
		return "", err
	}
	name, _ := x.conn.PreparedName(p.key)
	return name, nil
}

// prepare encodes a Parse message with a new name. Without a step of the caller its answer is not sent to the caller.
func (x *exchange) prepare(p *prepared, of *step) error {
	name := x.conn.AddPrepared(p.key)
	x.unconfirmedNames = append(x.unconfirmedNames, p)
	x.expects = append(x.expects, expectedAnswer{kind: 'P', internal: of == nil, prepared: p, step: of})
	return x.conn.Send(&pgproto3.Parse{Name: name, Query: p.sql, ParameterOIDs: p.oids})
}
