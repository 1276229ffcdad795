package standin

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// source is the FROM clause of a statement: at most one table or function.
type source struct {
	scope scope
	rows  []row
}

// from opens the FROM clause. If read is set, it also reads the rows that the WHERE condition may select.
func (e *execution) from(clause []*pg.Node, where *pg.Node, read bool) (*source, error) {
	if len(clause) == 0 {
		return &source{scope: scope{exec: e}, rows: []row{{}}}, nil
	}
	if len(clause) > 1 {
		return nil, errUnsupported("more than one table in FROM")
	}
	switch n := clause[0].Node.(type) {
	case *pg.Node_RangeVar:
		return e.fromTable(n.RangeVar, where, read)
	case *pg.Node_RangeFunction:
		return e.fromFunction(n.RangeFunction, read)
	}
	return nil, errUnsupported("this FROM clause")
}

func (e *execution) fromTable(v *pg.RangeVar, where *pg.Node, read bool) (*source, error) {
	e.tx.server.mu.RLock()
	defer e.tx.server.mu.RUnlock()
	o, err := e.tx.visibleTable(v.Relname)
	if err != nil {
		return nil, err
	}
	s := &source{scope: scope{exec: e, table: o.base, alias: v.Alias.GetAliasname()}}
	if !read {
		return s, nil
	}
	if found, ok := s.lookupByKey(o, where); ok {
		s.rows = found
		return s, nil
	}
	s.rows = o.scan()
	return s, nil
}

// lookupByKey finds the row through a unique key if the condition compares all columns of the key for
// equality. It returns false if no key is covered.
func (s *source) lookupByKey(o *overlay, where *pg.Node) ([]row, bool) {
	equalities := map[int]Value{}
	s.collectEqualities(where, equalities)
	for k, columns := range o.base.keys {
		values := make([]Value, len(o.base.columns))
		covered := true
		for _, c := range columns {
			v, ok := equalities[c]
			covered = covered && ok
			values[c] = v
		}
		if !covered {
			continue
		}
		key, ok := o.base.key(k, values)
		if !ok {
			return nil, true
		}
		if found, ok := o.lookup(k, key); ok {
			return []row{found}, true
		}
		return nil, true
	}
	return nil, false
}

// collectEqualities collects the columns that a conjunction compares for equality with constants or
// parameters.
func (s *source) collectEqualities(n *pg.Node, equalities map[int]Value) {
	if b := n.GetBoolExpr(); b != nil && b.Boolop == pg.BoolExprType_AND_EXPR {
		for _, a := range b.Args {
			s.collectEqualities(a, equalities)
		}
		return
	}
	e := n.GetAExpr()
	if e == nil || e.Kind != pg.A_Expr_Kind_AEXPR_OP || lastName(e.Name) != "=" || e.Lexpr.GetColumnRef() == nil {
		return
	}
	if e.Rexpr.GetAConst() == nil && e.Rexpr.GetParamRef() == nil {
		return
	}
	c, err := s.scope.columnIndex(e.Lexpr.GetColumnRef())
	if err != nil {
		return
	}
	v, err := s.scope.eval(e.Rexpr)
	if err != nil {
		return
	}
	if v, err = convert(v, s.scope.table.columns[c].typeOID); err == nil {
		equalities[c] = v
	}
}

// filter returns the rows for which the condition is true.
func (s *source) filter(where *pg.Node) ([]row, error) {
	if where == nil {
		return s.rows, nil
	}
	var found []row
	for _, candidate := range s.rows {
		s.scope.values = candidate.values
		v, err := s.scope.eval(where)
		if err != nil {
			return nil, err
		}
		if v == true {
			found = append(found, candidate)
		}
	}
	return found, nil
}

// executeSelect executes a SELECT or VALUES.
func (e *execution) executeSelect(q *pg.SelectStmt) (*result, error) {
	if err := checkSupported(q); err != nil {
		return nil, err
	}
	if len(q.ValuesLists) > 0 {
		return e.executeValues(q)
	}
	if len(q.LockingClause) > 0 {
		if err := e.tx.acquireWriteLock(e.ctx); err != nil {
			return nil, err
		}
	}
	s, err := e.from(q.FromClause, q.WhereClause, true)
	if err != nil {
		return nil, err
	}
	fields, targets, err := s.expandTargets(q.TargetList)
	if err != nil {
		return nil, err
	}
	rows, err := s.filter(q.WhereClause)
	if err != nil {
		return nil, err
	}
	out, err := s.project(q, rows, targets)
	if err != nil {
		return nil, err
	}
	if out, err = e.applyLimit(q, out); err != nil {
		return nil, err
	}
	return &result{fields: fields, rows: out, tag: fmt.Sprintf("SELECT %d", len(out))}, nil
}

func checkSupported(q *pg.SelectStmt) error {
	switch {
	case q == nil:
		return errUnsupported("this query")
	case q.Op != pg.SetOperation_SETOP_NONE && q.Op != pg.SetOperation_SET_OPERATION_UNDEFINED:
		return errUnsupported("UNION, INTERSECT and EXCEPT")
	case q.WithClause != nil:
		return errUnsupported("WITH")
	case q.IntoClause != nil:
		return errUnsupported("SELECT INTO")
	case q.HavingClause != nil, len(q.WindowClause) > 0:
		return errUnsupported("HAVING and WINDOW")
	}
	return nil
}

// outputRow is a projected row with the values of its ORDER BY expressions.
type outputRow struct {
	values   []Value
	sortKeys []Value
}

// project evaluates the target list for each row or group.
func (s *source) project(q *pg.SelectStmt, rows []row, targets []*pg.Node) ([][]Value, error) {
	var outputs []outputRow
	add := func() error {
		o := outputRow{}
		for _, t := range targets {
			v, err := s.scope.eval(t)
			if err != nil {
				return err
			}
			o.values = append(o.values, v)
		}
		for _, n := range q.SortClause {
			v, err := s.sortKey(n.GetSortBy().Node, q.TargetList, o.values)
			if err != nil {
				return err
			}
			o.sortKeys = append(o.sortKeys, v)
		}
		outputs = append(outputs, o)
		return nil
	}
	if len(q.GroupClause) > 0 || slices.ContainsFunc(targets, hasAggregate) {
		groups, err := s.groupRows(q.GroupClause, rows)
		if err != nil {
			return nil, err
		}
		for _, g := range groups {
			s.scope.group, s.scope.values = g, nil
			if len(g) > 0 {
				s.scope.values = g[0].values
			}
			if err := add(); err != nil {
				return nil, err
			}
		}
	} else {
		for _, candidate := range rows {
			s.scope.values = candidate.values
			if err := add(); err != nil {
				return nil, err
			}
		}
	}
	return sortAndDeduplicate(q, outputs)
}

// groupRows splits rows by the GROUP BY expressions, in order of first appearance.
func (s *source) groupRows(by []*pg.Node, rows []row) ([][]row, error) {
	if len(by) == 0 {
		return [][]row{append([]row{}, rows...)}, nil
	}
	number := map[string]int{}
	var groups [][]row
	for _, candidate := range rows {
		s.scope.values = candidate.values
		var key strings.Builder
		for _, n := range by {
			v, err := s.scope.eval(n)
			if err != nil {
				return nil, err
			}
			fmt.Fprintf(&key, "%t%q,", v == nil, text(v))
		}
		i, ok := number[key.String()]
		if !ok {
			i = len(groups)
			number[key.String()] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], candidate)
	}
	return groups, nil
}

// sortKey evaluates one ORDER BY expression: a column number, an output name or an expression.
func (s *source) sortKey(n *pg.Node, targets []*pg.Node, values []Value) (Value, error) {
	if c := n.GetAConst(); c.GetIval() != nil {
		if i := int(c.GetIval().Ival); i >= 1 && i <= len(values) {
			return values[i-1], nil
		}
		return nil, sqlErrorf(stateSyntax, "ORDER BY position is not in select list")
	}
	if ref := n.GetColumnRef(); ref != nil && len(ref.Fields) == 1 && len(targets) == len(values) {
		for i, t := range targets {
			if t.GetResTarget().Name == lastName(ref.Fields) {
				return values[i], nil
			}
		}
	}
	return s.scope.eval(n)
}

// sortAndDeduplicate sorts the output rows, and removes duplicates for DISTINCT. Nulls come after all other
// values, so they come first in descending order.
func sortAndDeduplicate(q *pg.SelectStmt, outputs []outputRow) ([][]Value, error) {
	var sortErr error
	slices.SortStableFunc(outputs, func(a, b outputRow) int {
		for i, n := range q.SortClause {
			c, err := compareKeys(a.sortKeys[i], b.sortKeys[i])
			if err != nil {
				sortErr = err
			}
			if n.GetSortBy().SortbyDir == pg.SortByDir_SORTBY_DESC {
				c = -c
			}
			if c != 0 {
				return c
			}
		}
		return 0
	})
	rows := make([][]Value, 0, len(outputs))
	seen := map[string]bool{}
	for _, o := range outputs {
		key := fmt.Sprintf("%#v", o.values)
		if len(q.DistinctClause) > 0 && seen[key] {
			continue
		}
		seen[key] = true
		rows = append(rows, o.values)
	}
	return rows, sortErr
}

func compareKeys(a, b Value) (int, error) {
	switch {
	case a == nil && b == nil:
		return 0, nil
	case a == nil:
		return 1, nil
	case b == nil:
		return -1, nil
	}
	return compare(a, b)
}

func (e *execution) applyLimit(q *pg.SelectStmt, rows [][]Value) ([][]Value, error) {
	s := scope{exec: e}
	bound := func(n *pg.Node, defaultValue int) (int, error) {
		v, err := s.eval(n)
		if err != nil || v == nil {
			return defaultValue, err
		}
		i, err := toInteger(v)
		if err != nil {
			return 0, err
		}
		return int(min(max(i.(int64), 0), int64(len(rows)))), nil
	}
	skip, err := bound(q.LimitOffset, 0)
	if err != nil {
		return nil, err
	}
	rows = rows[skip:]
	count, err := bound(q.LimitCount, len(rows))
	if err != nil {
		return nil, err
	}
	return rows[:min(count, len(rows))], nil
}

// executeValues executes a VALUES statement.
func (e *execution) executeValues(q *pg.SelectStmt) (*result, error) {
	s := scope{exec: e}
	out := &result{}
	for _, list := range q.ValuesLists {
		var values []Value
		for i, n := range list.GetList().Items {
			v, err := s.eval(n)
			if err != nil {
				return nil, err
			}
			values = append(values, v)
			if len(out.rows) == 0 {
				typeOID := s.infer(n, pgtype.TextOID)
				out.fields = append(out.fields, field{name: fmt.Sprintf("column%d", i+1), typeOID: typeOID})
			}
		}
		out.rows = append(out.rows, values)
	}
	out.tag = fmt.Sprintf("SELECT %d", len(out.rows))
	return out, nil
}

// expandTargets expands the select list into result columns and expressions.
func (s *source) expandTargets(list []*pg.Node) ([]field, []*pg.Node, error) {
	var fields []field
	var targets []*pg.Node
	for _, n := range list {
		t := n.GetResTarget()
		if ref := t.Val.GetColumnRef(); ref != nil && ref.Fields[len(ref.Fields)-1].GetAStar() != nil {
			if s.scope.table == nil {
				return nil, nil, sqlErrorf(stateSyntax, "SELECT * with no tables specified is not valid")
			}
			for _, c := range s.scope.table.columns {
				fields = append(fields, field{c.name, c.typeOID})
				targets = append(targets, pg.MakeColumnRefNode([]*pg.Node{pg.MakeStrNode(c.name)}, 0))
			}
			continue
		}
		if ref := t.Val.GetColumnRef(); ref != nil {
			if _, err := s.scope.columnIndex(ref); err != nil {
				return nil, nil, err
			}
		}
		typeOID := s.scope.infer(t.Val, pgtype.TextOID)
		if typeOID == 0 {
			typeOID = pgtype.TextOID
		}
		fields = append(fields, field{targetName(t), typeOID})
		targets = append(targets, t.Val)
	}
	return fields, targets, nil
}

func targetName(t *pg.ResTarget) string {
	if t.Name != "" {
		return t.Name
	}
	v := t.Val
	for v.GetTypeCast() != nil {
		v = v.GetTypeCast().Arg
	}
	switch e := v.GetNode().(type) {
	case *pg.Node_ColumnRef:
		return lastName(e.ColumnRef.Fields)
	case *pg.Node_FuncCall:
		return lastName(e.FuncCall.Funcname)
	case *pg.Node_CoalesceExpr:
		return "coalesce"
	}
	return "?column?"
}

// hasAggregate reports whether an expression contains an aggregate function.
func hasAggregate(n *pg.Node) bool {
	switch e := n.GetNode().(type) {
	case *pg.Node_FuncCall:
		return aggregates[lastName(e.FuncCall.Funcname)] || slices.ContainsFunc(e.FuncCall.Args, hasAggregate)
	case *pg.Node_AExpr:
		return hasAggregate(e.AExpr.Lexpr) || hasAggregate(e.AExpr.Rexpr)
	case *pg.Node_TypeCast:
		return hasAggregate(e.TypeCast.Arg)
	case *pg.Node_CoalesceExpr:
		return slices.ContainsFunc(e.CoalesceExpr.Args, hasAggregate)
	case *pg.Node_BoolExpr:
		return slices.ContainsFunc(e.BoolExpr.Args, hasAggregate)
	case *pg.Node_NullTest:
		return hasAggregate(e.NullTest.Arg)
	}
	return false
}
