package standin

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// followTimeout bounds the time that group_follow waits until the log is reconciled with the primary's. The
// wait only lets the reply show the new role; replication continues in the background.
const followTimeout = 300 * time.Millisecond

// Role is the role of an instance in its group.
type Role string

// Roles. A fenced instance neither accepts writes nor applies records. An instance that was ordered to follow
// the primary of a new term is fenced until its log is reconciled with the primary's.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// groupState is the replication state of an instance: its log, role and terms. It is guarded by Server.mu.
type groupState struct {
	role       Role
	term       position.Term // led, or followed since the log was reconciled with its primary's
	promised   position.Term // highest term promised; never decreases
	history    position.History
	records    []logRecord // record i has offset i+1
	primary    string      // server name of the primary
	leadership leadership
	follow     followTarget
}

// leadership is the right of a primary to commit writes in one term.
type leadership struct {
	term      position.Term
	writeLock chan struct{} // capacity 1; admits one writing transaction at a time
	fenced    chan struct{} // closed when the instance is fenced
}

// followTarget is the primary that the instance was ordered to follow.
type followTarget struct {
	term       position.Term
	address    string
	cancel     context.CancelFunc
	reconciled chan struct{} // closed once the log is reconciled with the primary's
}

func (g *groupState) offset() position.Offset {
	return position.Offset(len(g.records))
}

// lastPosition returns the position of the last log record.
func (g *groupState) lastPosition() position.Position {
	if len(g.records) == 0 {
		return position.Position{}
	}
	r := g.records[len(g.records)-1]
	return position.Position{Term: r.Term, Offset: r.Offset}
}

func (g *groupState) append(r logRecord) {
	g.records = append(g.records, r)
}

// stopLeading fences a primary, which aborts its open writing transactions.
func (g *groupState) stopLeading() {
	if g.role == RolePrimary {
		close(g.leadership.fenced)
		g.role = RoleFenced
	}
}

func (g *groupState) stopFollowing() {
	if g.follow.cancel != nil {
		g.follow.cancel()
	}
	g.follow = followTarget{}
}

// Status is the state of an instance as group_status reports it.
type Status struct {
	Server      string
	Group       string
	Role        Role
	Term        position.Term
	LastTerm    position.Term
	Offset      position.Offset
	History     position.History
	Primary     string
	Promised    position.Term
	Slots       int
	Connections int
}

// Status returns the state of the instance.
func (s *Server) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.status()
}

func (s *Server) status() Status {
	g := &s.state
	return Status{
		Server: s.config.Server, Group: s.config.Group, Role: g.role, Term: g.term, LastTerm: g.lastPosition().Term,
		Offset: g.offset(), History: append(position.History{}, g.history...), Primary: g.primary,
		Promised: g.promised, Slots: s.config.Slots, Connections: s.config.Connections,
	}
}

// leadership returns the current leadership, or an error if the instance is not primary.
func (s *Server) leadership() (leadership, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.state.role != RolePrimary {
		return leadership{}, sqlErrorf(stateReadOnly, "cannot write on a %s instance", s.state.role)
	}
	return s.state.leadership, nil
}

// Fence records the promise to reject lower terms and stops the instance from leading or following. It has no
// effect if the instance already leads or follows the given term, and fails after a promise to a higher term.
func (s *Server) Fence(term position.Term) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.state
	if g.promised > term {
		return s.status(), errPromisedHigher(g.promised, term)
	}
	if g.promised == term && (g.term == term || g.follow.term == term) {
		return s.status(), nil
	}
	g.promised = term
	g.stopLeading()
	g.stopFollowing()
	g.role = RoleFenced
	s.broadcastPosition()
	s.log.WithField("term", term).Info("fenced")
	return s.status(), nil
}

// Promote makes the instance primary of the term that it promised. A repeated call has no effect.
func (s *Server) Promote(term position.Term) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.state
	if g.promised != term {
		return s.status(), sqlErrorf(stateNotInPrerequisiteState, "the promise is to term %d, not %d", g.promised, term)
	}
	if g.role == RolePrimary && g.term == term {
		return s.status(), nil
	}
	if g.term == term || g.follow.term == term {
		return s.status(), sqlErrorf(stateNotInPrerequisiteState, "the instance follows another primary of term %d", term)
	}
	g.role, g.term, g.primary = RolePrimary, term, s.config.Server
	g.history = append(g.history, position.Position{Term: term, Offset: g.offset()})
	g.leadership = leadership{term: term, writeLock: make(chan struct{}, 1), fenced: make(chan struct{})}
	s.broadcastPosition()
	s.log.WithField("term", term).WithField("offset", g.offset()).Info("promoted")
	return s.status(), nil
}

// Follow makes the instance a replica of the primary at an address. It waits at most followTimeout until the
// log is reconciled with the primary's.
func (s *Server) Follow(ctx context.Context, term position.Term, address string) (Status, error) {
	reconciled, err := s.follow(term, address)
	if err != nil {
		return s.Status(), err
	}
	timer := time.NewTimer(followTimeout)
	defer timer.Stop()
	select {
	case <-reconciled:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.Status(), nil
}

func (s *Server) follow(term position.Term, address string) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.state
	if term < g.promised {
		return nil, errPromisedHigher(g.promised, term)
	}
	if g.role == RolePrimary && g.term == term {
		return nil, sqlErrorf(stateNotInPrerequisiteState, "the instance is primary of term %d", term)
	}
	if g.follow.term == term && g.follow.address == address {
		return g.follow.reconciled, nil
	}
	g.promised = term
	g.stopLeading()
	g.stopFollowing()
	if g.term != term {
		g.role = RoleFenced
	}
	ctx, cancel := context.WithCancel(s.ctx)
	g.follow = followTarget{term: term, address: address, cancel: cancel, reconciled: make(chan struct{})}
	f := g.follow
	s.spawn(func() { s.replicationLoop(ctx, f) })
	s.broadcastPosition()
	s.log.WithField("term", term).WithField("primary", address).Info("following")
	return f.reconciled, nil
}

func errPromisedHigher(promised, term position.Term) error {
	return sqlErrorf(stateNotInPrerequisiteState, "a promise to term %d is higher than term %d", promised, term)
}

// statusColumns are the result columns of group_status, group_fence, group_promote and group_follow.
var statusColumns = []column{
	{name: "server", typeOID: pgtype.TextOID}, {name: "grp", typeOID: pgtype.TextOID}, {name: "role", typeOID: pgtype.TextOID},
	{name: "term", typeOID: pgtype.Int8OID}, {name: "last_term", typeOID: pgtype.Int8OID}, {name: "pos", typeOID: pgtype.Int8OID},
	{name: "history", typeOID: pgtype.TextOID}, {name: "primary_server", typeOID: pgtype.TextOID},
	{name: "promised", typeOID: pgtype.Int8OID}, {name: "slots", typeOID: pgtype.Int4OID},
	{name: "connections", typeOID: pgtype.Int4OID},
}

func (t Status) row() []Value {
	return []Value{
		t.Server, t.Group, string(t.Role), int64(t.Term), int64(t.LastTerm), int64(t.Offset), t.History.String(),
		t.Primary, int64(t.Promised), int64(t.Slots), int64(t.Connections),
	}
}

// fromFunction opens a function in FROM, which is a group function or generate_series. It calls the function
// only if read is set.
func (e *execution) fromFunction(f *pg.RangeFunction, read bool) (*source, error) {
	if len(f.Functions) != 1 {
		return nil, errUnsupported("ROWS FROM")
	}
	call := f.Functions[0].GetList().Items[0].GetFuncCall()
	name := lastName(call.GetFuncname())
	t := &table{name: name, columns: statusColumns}
	if name == "generate_series" {
		t.columns = []column{{name: "generate_series", typeOID: pgtype.Int8OID}}
		if f.Alias != nil {
			t.columns = []column{{name: f.Alias.Aliasname, typeOID: pgtype.Int8OID}}
		}
	} else if !groupFunctions[name] {
		return nil, sqlErrorf(stateNoFunction, "function %s does not exist", name)
	}
	s := &source{scope: scope{exec: e, table: t, alias: f.Alias.GetAliasname()}}
	outer := scope{exec: e}
	outer.inferCall(call)
	if !read {
		return s, nil
	}
	args := make([]Value, len(call.Args))
	for i, a := range call.Args {
		v, err := outer.eval(a)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	if name == "generate_series" {
		return s, s.generateSeries(args)
	}
	status, err := e.callGroupFunction(name, args)
	s.rows = []row{{values: status.row()}}
	return s, err
}

func (s *source) generateSeries(args []Value) error {
	if len(args) != 2 {
		return errUnsupported("generate_series with a step")
	}
	low, err := toInteger(args[0])
	if err != nil {
		return err
	}
	high, err := toInteger(args[1])
	if err != nil {
		return err
	}
	for i := low.(int64); i <= high.(int64); i++ {
		s.rows = append(s.rows, row{values: []Value{i}})
	}
	return nil
}

// groupFunctions are the SQL functions of the platform interface. They do not occupy a slot.
var groupFunctions = map[string]bool{
	"group_status": true, "group_fence": true, "group_promote": true, "group_follow": true, "group_terminate": true,
}

func (e *execution) callGroupFunction(name string, args []Value) (Status, error) {
	s := e.session.server
	if name == "group_status" {
		return s.Status(), nil
	}
	if len(args) == 0 || (name == "group_follow") != (len(args) == 2) {
		return Status{}, sqlErrorf(stateNoFunction, "wrong number of arguments of %s", name)
	}
	v, err := toInteger(args[0])
	if err != nil {
		return Status{}, err
	}
	n, ok := v.(int64)
	if !ok || n < 1 {
		return Status{}, sqlErrorf(stateInvalidText, "the term must be positive")
	}
	term := position.Term(n)
	switch name {
	case "group_fence":
		return s.Fence(term)
	case "group_promote":
		return s.Promote(term)
	}
	return s.Follow(e.ctx, term, text(args[1]))
}
