package standin

import (
	"fmt"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// insert executes INSERT.
func (r *run) insert(q *pg.InsertStmt) (*result, error) {
	if q.WithClause != nil || (q.OnConflictClause != nil && q.OnConflictClause.Action != pg.OnConflictAction_ONCONFLICT_NOTHING) {
		return nil, unsupported("WITH and ON CONFLICT DO UPDATE")
	}
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	s, err := r.fromTable(q.Relation, nil, false)
	if err != nil {
		return nil, err
	}
	columns, err := s.columns(q.Cols)
	if err != nil {
		return nil, err
	}
	given, err := s.given(q, columns)
	if err != nil {
		return nil, err
	}
	o, err := r.modify(q.Relation.Relname)
	if err != nil {
		return nil, err
	}
	var done []row
	for _, values := range given {
		inserted, ok, err := s.store(o, columns, values, q.OnConflictClause != nil)
		if err != nil {
			return nil, err
		}
		if ok {
			done = append(done, inserted)
		}
	}
	return s.returning(q.ReturningList, done, fmt.Sprintf("INSERT 0 %d", len(done)))
}

// modify returns the overlay of a table for changes.
func (r *run) modify(name string) (*overlay, error) {
	r.x.server.mu.RLock()
	defer r.x.server.mu.RUnlock()
	return r.x.modify(name)
}

// columns returns the numbers of the named columns, or all.
func (s *source) columns(list []*pg.Node) ([]int, error) {
	var columns []int
	for _, n := range list {
		c, err := s.scope.table.find(n.GetResTarget().Name)
		if err != nil {
			return nil, err
		}
		columns = append(columns, c)
	}
	if len(list) == 0 {
		for c := range s.scope.table.columns {
			columns = append(columns, c)
		}
	}
	return columns, nil
}

// absent marks a value that the DEFAULT keyword leaves out.
type absent struct{}

// given evaluates the rows that an INSERT adds.
func (s *source) given(q *pg.InsertStmt, columns []int) ([][]Value, error) {
	query := q.SelectStmt.GetSelectStmt()
	if query == nil {
		return [][]Value{{}}, nil
	}
	if len(query.ValuesLists) == 0 {
		r, err := s.scope.run.selects(query)
		if err != nil {
			return nil, err
		}
		return r.rows, nil
	}
	outer := scope{run: s.scope.run}
	var rows [][]Value
	for _, list := range query.ValuesLists {
		items := list.GetList().Items
		if len(items) > len(columns) {
			return nil, fault(stateSyntax, "INSERT has more expressions than target columns")
		}
		values := make([]Value, len(items))
		for i, n := range items {
			if n.GetSetToDefault() != nil {
				values[i] = absent{}
				continue
			}
			v, err := outer.eval(n)
			if err != nil {
				return nil, err
			}
			values[i] = v
		}
		rows = append(rows, values)
	}
	return rows, nil
}

// store adds one row. It reports false if a conflict was ignored.
func (s *source) store(o *overlay, columns []int, given []Value, ignore bool) (row, bool, error) {
	x := s.scope.run.x
	x.server.mu.RLock()
	defer x.server.mu.RUnlock()
	id := o.next
	values, err := s.complete(id, columns, given)
	if err != nil {
		return row{}, false, err
	}
	if key, ok := o.conflict(id, values); ok {
		if ignore {
			return row{}, false, nil
		}
		return row{}, false, duplicate(o.base.name, key)
	}
	o.put(id, nil, values)
	x.changes = append(x.changes, rowChange{Kind: changePut, Table: o.base.name, Row: id, Values: values})
	return row{id, values}, true, nil
}

// complete converts the given values and fills in defaults.
func (s *source) complete(id int64, columns []int, given []Value) ([]Value, error) {
	t := s.scope.table
	values := make([]Value, len(t.columns))
	set := make([]bool, len(t.columns))
	for i, v := range given {
		if _, ok := v.(absent); ok {
			continue
		}
		c := columns[i]
		converted, err := convert(v, t.columns[c].kind)
		if err != nil {
			return nil, err
		}
		values[c], set[c] = converted, true
	}
	outer := scope{run: s.scope.run}
	for i, c := range t.columns {
		switch {
		case set[i]:
		case c.serial:
			values[i] = id
		case c.standard != nil:
			v, err := outer.eval(c.standard)
			if err != nil {
				return nil, err
			}
			if values[i], err = convert(v, c.kind); err != nil {
				return nil, err
			}
		}
	}
	return values, t.check(values)
}

// check refuses nulls in required columns.
func (t *table) check(values []Value) error {
	for i, c := range t.columns {
		if c.required && values[i] == nil {
			return fault(stateNotNull, "null value in column %q of relation %q violates not-null constraint", c.name, t.name)
		}
	}
	return nil
}

// update executes UPDATE.
func (r *run) update(q *pg.UpdateStmt) (*result, error) {
	if q.WithClause != nil || len(q.FromClause) > 0 {
		return nil, unsupported("WITH and UPDATE FROM")
	}
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	s, err := r.fromTable(q.Relation, q.WhereClause, true)
	if err != nil {
		return nil, err
	}
	rows, err := s.matching(q.WhereClause)
	if err != nil {
		return nil, err
	}
	columns, err := s.columns(q.TargetList)
	if err != nil {
		return nil, err
	}
	o, err := r.modify(q.Relation.Relname)
	if err != nil {
		return nil, err
	}
	done := make([]row, 0, len(rows))
	for _, old := range rows {
		values, err := s.assign(q.TargetList, columns, old)
		if err != nil {
			return nil, err
		}
		if err := r.replace(o, old, values); err != nil {
			return nil, err
		}
		done = append(done, row{old.id, values})
	}
	return s.returning(q.ReturningList, done, fmt.Sprintf("UPDATE %d", len(done)))
}

// assign evaluates the SET list for one row.
func (s *source) assign(list []*pg.Node, columns []int, old row) ([]Value, error) {
	s.scope.values = old.values
	values := append([]Value{}, old.values...)
	for i, n := range list {
		v, err := s.scope.eval(n.GetResTarget().Val)
		if err != nil {
			return nil, err
		}
		if values[columns[i]], err = convert(v, s.scope.table.columns[columns[i]].kind); err != nil {
			return nil, err
		}
	}
	return values, s.scope.table.check(values)
}

// replace stores a new version of a row.
func (r *run) replace(o *overlay, old row, values []Value) error {
	r.x.server.mu.RLock()
	defer r.x.server.mu.RUnlock()
	if key, ok := o.conflict(old.id, values); ok {
		return duplicate(o.base.name, key)
	}
	o.put(old.id, old.values, values)
	r.x.changes = append(r.x.changes, rowChange{Kind: changePut, Table: o.base.name, Row: old.id, Values: values})
	return nil
}

// delete executes DELETE.
func (r *run) delete(q *pg.DeleteStmt) (*result, error) {
	if q.WithClause != nil || len(q.UsingClause) > 0 {
		return nil, unsupported("WITH and DELETE USING")
	}
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	s, err := r.fromTable(q.Relation, q.WhereClause, true)
	if err != nil {
		return nil, err
	}
	rows, err := s.matching(q.WhereClause)
	if err != nil {
		return nil, err
	}
	if err := r.discard(q.Relation.Relname, rows); err != nil {
		return nil, err
	}
	return s.returning(q.ReturningList, rows, fmt.Sprintf("DELETE %d", len(rows)))
}

// truncate executes TRUNCATE.
func (r *run) truncate(q *pg.TruncateStmt) (*result, error) {
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	for _, n := range q.Relations {
		s, err := r.fromTable(n.GetRangeVar(), nil, true)
		if err != nil {
			return nil, err
		}
		if err := r.discard(n.GetRangeVar().Relname, s.rows); err != nil {
			return nil, err
		}
	}
	return &result{tag: "TRUNCATE TABLE"}, nil
}

// discard deletes visible rows.
func (r *run) discard(name string, rows []row) error {
	r.x.server.mu.RLock()
	defer r.x.server.mu.RUnlock()
	o, err := r.x.modify(name)
	if err != nil {
		return err
	}
	for _, old := range rows {
		o.remove(old)
		r.x.changes = append(r.x.changes, rowChange{Kind: changeRemove, Table: name, Row: old.id})
	}
	return nil
}

// returning evaluates a RETURNING list over the changed rows.
func (s *source) returning(list []*pg.Node, rows []row, tag string) (*result, error) {
	out := &result{tag: tag}
	if len(list) == 0 {
		return out, nil
	}
	fields, targets, err := s.targets(list)
	if err != nil {
		return nil, err
	}
	out.fields = fields
	for _, changed := range rows {
		s.scope.values = changed.values
		values := make([]Value, len(targets))
		for i, t := range targets {
			if values[i], err = s.scope.eval(t); err != nil {
				return nil, err
			}
		}
		out.rows = append(out.rows, values)
	}
	return out, nil
}

// create executes CREATE TABLE.
func (r *run) create(q *pg.CreateStmt, sql string) (*result, error) {
	out := &result{tag: "CREATE TABLE"}
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	r.x.server.mu.RLock()
	defer r.x.server.mu.RUnlock()
	if _, err := r.x.open(q.Relation.Relname); err == nil {
		if q.IfNotExists {
			return out, nil
		}
		return nil, fault(stateTableExists, "relation %q already exists", q.Relation.Relname)
	}
	t, err := newTable(q)
	if err != nil {
		return nil, err
	}
	if r.x.tables == nil {
		r.x.tables = map[string]*overlay{}
	}
	r.x.tables[t.name] = &overlay{base: t, next: t.next}
	r.x.changes = append(r.x.changes, rowChange{Kind: changeCreate, Table: t.name, SQL: sql})
	return out, nil
}

// drop executes DROP TABLE.
func (r *run) drop(q *pg.DropStmt) (*result, error) {
	if q.RemoveType != pg.ObjectType_OBJECT_TABLE {
		return nil, unsupported("DROP of anything but tables")
	}
	if err := r.x.write(r.ctx); err != nil {
		return nil, err
	}
	r.x.server.mu.RLock()
	defer r.x.server.mu.RUnlock()
	for _, n := range q.Objects {
		name := lastName(n.GetList().Items)
		o, err := r.x.modify(name)
		if err != nil {
			if q.MissingOk {
				continue
			}
			return nil, err
		}
		o.dropped = true
		r.x.changes = append(r.x.changes, rowChange{Kind: changeDrop, Table: name})
	}
	return &result{tag: "DROP TABLE"}, nil
}

// apply makes committed changes visible. The caller holds Server.mu.
func (s *Server) apply(changes []rowChange) error {
	for _, c := range changes {
		switch c.Kind {
		case changeCreate:
			tree, err := pg.Parse(c.SQL)
			if err != nil {
				return err
			}
			t, err := newTable(tree.Stmts[0].Stmt.GetCreateStmt())
			if err != nil {
				return err
			}
			s.tables[t.name] = t
		case changeDrop:
			delete(s.tables, c.Table)
		case changePut:
			s.tables[c.Table].put(c.Row, c.Values)
		case changeRemove:
			s.tables[c.Table].remove(c.Row)
		}
	}
	return nil
}

func duplicate(table, key string) error {
	return fault(stateUnique, "duplicate key value violates unique constraint of %q: (%s)", table, key)
}
