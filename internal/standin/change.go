package standin

import (
	"fmt"

	pg "github.com/pganalyze/pg_query_go/v6"
)

func (e *execution) insert(q *pg.InsertStmt) (*result, error) {
	if q.WithClause != nil || (q.OnConflictClause != nil && q.OnConflictClause.Action != pg.OnConflictAction_ONCONFLICT_NOTHING) {
		return nil, errUnsupported("WITH and ON CONFLICT DO UPDATE")
	}
	if err := e.tx.acquireWriteLock(e.ctx); err != nil {
		return nil, err
	}
	s, err := e.fromTable(q.Relation, nil, false)
	if err != nil {
		return nil, err
	}
	columns, err := s.columnIndexes(q.Cols)
	if err != nil {
		return nil, err
	}
	valueLists, err := s.evalInsertRows(q, columns)
	if err != nil {
		return nil, err
	}
	o, err := e.writableOverlay(q.Relation.Relname)
	if err != nil {
		return nil, err
	}
	var insertedRows []row
	for _, values := range valueLists {
		inserted, ok, err := s.insertRow(o, columns, values, q.OnConflictClause != nil)
		if err != nil {
			return nil, err
		}
		if ok {
			insertedRows = append(insertedRows, inserted)
		}
	}
	return s.evalReturning(q.ReturningList, insertedRows, fmt.Sprintf("INSERT 0 %d", len(insertedRows)))
}

// writableOverlay locks Server.mu and returns the transaction's overlay of a table for changes.
func (e *execution) writableOverlay(name string) (*overlay, error) {
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	return e.tx.writableOverlay(name)
}

// columnIndexes returns the indexes of the named columns, or of all columns if the list is empty.
func (s *source) columnIndexes(list []*pg.Node) ([]int, error) {
	var columns []int
	for _, n := range list {
		c, err := s.scope.table.columnIndex(n.GetResTarget().Name)
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

// defaultMarker stands for the keyword DEFAULT in a list of values.
type defaultMarker struct{}

// evalInsertRows evaluates the VALUES lists or the query of an INSERT.
func (s *source) evalInsertRows(q *pg.InsertStmt, columns []int) ([][]Value, error) {
	query := q.SelectStmt.GetSelectStmt()
	if query == nil {
		return [][]Value{{}}, nil
	}
	if len(query.ValuesLists) == 0 {
		r, err := s.scope.exec.executeSelect(query)
		if err != nil {
			return nil, err
		}
		return r.rows, nil
	}
	outer := scope{exec: s.scope.exec}
	var rows [][]Value
	for _, list := range query.ValuesLists {
		items := list.GetList().Items
		if len(items) > len(columns) {
			return nil, sqlErrorf(stateSyntax, "INSERT has more expressions than target columns")
		}
		values := make([]Value, len(items))
		for i, n := range items {
			if n.GetSetToDefault() != nil {
				values[i] = defaultMarker{}
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

// insertRow adds one row. It returns false if ignore is set and the row conflicts with a unique key.
func (s *source) insertRow(o *overlay, columns []int, given []Value, ignore bool) (row, bool, error) {
	tx := s.scope.exec.tx
	tx.server.mu.RLock()
	defer tx.server.mu.RUnlock()
	id := o.nextID
	values, err := s.buildRow(id, columns, given)
	if err != nil {
		return row{}, false, err
	}
	if key, ok := o.conflict(id, values); ok {
		if ignore {
			return row{}, false, nil
		}
		return row{}, false, errDuplicateKey(o.base.name, key)
	}
	o.put(id, nil, values)
	tx.changes = append(tx.changes, rowChange{Kind: changePut, Table: o.base.name, Row: id, Values: values})
	return row{id, values}, true, nil
}

// buildRow converts the given values to the types of their columns and fills in the defaults of the others.
func (s *source) buildRow(id int64, columns []int, given []Value) ([]Value, error) {
	t := s.scope.table
	values := make([]Value, len(t.columns))
	set := make([]bool, len(t.columns))
	for i, v := range given {
		if _, ok := v.(defaultMarker); ok {
			continue
		}
		c := columns[i]
		converted, err := convert(v, t.columns[c].typeOID)
		if err != nil {
			return nil, err
		}
		values[c], set[c] = converted, true
	}
	outer := scope{exec: s.scope.exec}
	for i, c := range t.columns {
		switch {
		case set[i]:
		case c.serial:
			values[i] = id
		case c.defaultExpr != nil:
			v, err := outer.eval(c.defaultExpr)
			if err != nil {
				return nil, err
			}
			if values[i], err = convert(v, c.typeOID); err != nil {
				return nil, err
			}
		}
	}
	return values, t.checkNotNull(values)
}

// checkNotNull returns an error if a NOT NULL column has a null value.
func (t *table) checkNotNull(values []Value) error {
	for i, c := range t.columns {
		if c.notNull && values[i] == nil {
			return sqlErrorf(stateNotNull, "null value in column %q of relation %q violates not-null constraint", c.name, t.name)
		}
	}
	return nil
}

// lockRows acquires the write lock and returns a table with the rows that a condition selects.
func (e *execution) lockRows(relation *pg.RangeVar, where *pg.Node) (*source, []row, error) {
	if err := e.tx.acquireWriteLock(e.ctx); err != nil {
		return nil, nil, err
	}
	s, err := e.fromTable(relation, where, true)
	if err != nil {
		return nil, nil, err
	}
	rows, err := s.filter(where)
	return s, rows, err
}

func (e *execution) update(q *pg.UpdateStmt) (*result, error) {
	if q.WithClause != nil || len(q.FromClause) > 0 {
		return nil, errUnsupported("WITH and UPDATE FROM")
	}
	s, rows, err := e.lockRows(q.Relation, q.WhereClause)
	if err != nil {
		return nil, err
	}
	columns, err := s.columnIndexes(q.TargetList)
	if err != nil {
		return nil, err
	}
	o, err := e.writableOverlay(q.Relation.Relname)
	if err != nil {
		return nil, err
	}
	updatedRows := make([]row, 0, len(rows))
	for _, old := range rows {
		values, err := s.evalAssignments(q.TargetList, columns, old)
		if err != nil {
			return nil, err
		}
		if err := e.replaceRow(o, old, values); err != nil {
			return nil, err
		}
		updatedRows = append(updatedRows, row{old.id, values})
	}
	return s.evalReturning(q.ReturningList, updatedRows, fmt.Sprintf("UPDATE %d", len(updatedRows)))
}

// evalAssignments evaluates the SET list of an UPDATE and returns the new values of one row.
func (s *source) evalAssignments(list []*pg.Node, columns []int, old row) ([]Value, error) {
	s.scope.values = old.values
	values := append([]Value{}, old.values...)
	for i, n := range list {
		v, err := s.scope.eval(n.GetResTarget().Val)
		if err != nil {
			return nil, err
		}
		if values[columns[i]], err = convert(v, s.scope.table.columns[columns[i]].typeOID); err != nil {
			return nil, err
		}
	}
	return values, s.scope.table.checkNotNull(values)
}

// replaceRow stores a new version of a row in the overlay and records the change.
func (e *execution) replaceRow(o *overlay, old row, values []Value) error {
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	if key, ok := o.conflict(old.id, values); ok {
		return errDuplicateKey(o.base.name, key)
	}
	o.put(old.id, old.values, values)
	e.tx.changes = append(e.tx.changes, rowChange{Kind: changePut, Table: o.base.name, Row: old.id, Values: values})
	return nil
}

func (e *execution) delete(q *pg.DeleteStmt) (*result, error) {
	if q.WithClause != nil || len(q.UsingClause) > 0 {
		return nil, errUnsupported("WITH and DELETE USING")
	}
	s, rows, err := e.lockRows(q.Relation, q.WhereClause)
	if err != nil {
		return nil, err
	}
	if err := e.deleteRows(q.Relation.Relname, rows); err != nil {
		return nil, err
	}
	return s.evalReturning(q.ReturningList, rows, fmt.Sprintf("DELETE %d", len(rows)))
}

func (e *execution) truncate(q *pg.TruncateStmt) (*result, error) {
	if err := e.tx.acquireWriteLock(e.ctx); err != nil {
		return nil, err
	}
	for _, n := range q.Relations {
		s, err := e.fromTable(n.GetRangeVar(), nil, true)
		if err != nil {
			return nil, err
		}
		if err := e.deleteRows(n.GetRangeVar().Relname, s.rows); err != nil {
			return nil, err
		}
	}
	return &result{tag: "TRUNCATE TABLE"}, nil
}

// deleteRows deletes visible rows of a table in the overlay and records the changes.
func (e *execution) deleteRows(name string, rows []row) error {
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	o, err := e.tx.writableOverlay(name)
	if err != nil {
		return err
	}
	for _, old := range rows {
		o.remove(old)
		e.tx.changes = append(e.tx.changes, rowChange{Kind: changeRemove, Table: name, Row: old.id})
	}
	return nil
}

// evalReturning evaluates a RETURNING list for each changed row.
func (s *source) evalReturning(list []*pg.Node, rows []row, tag string) (*result, error) {
	out := &result{tag: tag}
	if len(list) == 0 {
		return out, nil
	}
	fields, targets, err := s.expandTargets(list)
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

func (e *execution) createTable(q *pg.CreateStmt, sql string) (*result, error) {
	out := &result{tag: "CREATE TABLE"}
	if err := e.tx.acquireWriteLock(e.ctx); err != nil {
		return nil, err
	}
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	if _, err := e.tx.visibleTable(q.Relation.Relname); err == nil {
		if q.IfNotExists {
			return out, nil
		}
		return nil, sqlErrorf(stateTableExists, "relation %q already exists", q.Relation.Relname)
	}
	t, err := newTable(q)
	if err != nil {
		return nil, err
	}
	if e.tx.tables == nil {
		e.tx.tables = map[string]*overlay{}
	}
	e.tx.tables[t.name] = &overlay{base: t, nextID: t.nextID}
	e.tx.changes = append(e.tx.changes, rowChange{Kind: changeCreate, Table: t.name, SQL: sql})
	return out, nil
}

func (e *execution) dropTable(q *pg.DropStmt) (*result, error) {
	if q.RemoveType != pg.ObjectType_OBJECT_TABLE {
		return nil, errUnsupported("DROP of anything but tables")
	}
	if err := e.tx.acquireWriteLock(e.ctx); err != nil {
		return nil, err
	}
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	for _, n := range q.Objects {
		name := lastName(n.GetList().Items)
		o, err := e.tx.writableOverlay(name)
		if err != nil {
			if q.MissingOk {
				continue
			}
			return nil, err
		}
		o.dropped = true
		e.tx.changes = append(e.tx.changes, rowChange{Kind: changeDrop, Table: name})
	}
	return &result{tag: "DROP TABLE"}, nil
}

// applyChanges applies committed changes to the tables. The caller must hold Server.mu.
func (s *Server) applyChanges(changes []rowChange) error {
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

func errDuplicateKey(table, key string) error {
	return sqlErrorf(stateUnique, "duplicate key value violates unique constraint of %q: (%s)", table, key)
}
