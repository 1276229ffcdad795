package standin

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// describeChange infers the parameter types and the result columns of INSERT, UPDATE and DELETE.
func (e *execution) describeChange(n *pg.Node) ([]field, error) {
	var relation *pg.RangeVar
	var returning []*pg.Node
	var where *pg.Node
	insert, update, remove := n.GetInsertStmt(), n.GetUpdateStmt(), n.GetDeleteStmt()
	switch {
	case insert != nil:
		relation, returning = insert.Relation, insert.ReturningList
	case update != nil:
		relation, returning, where = update.Relation, update.ReturningList, update.WhereClause
	default:
		relation, returning, where = remove.Relation, remove.ReturningList, remove.WhereClause
	}
	s, err := e.fromTable(relation, nil, false)
	if err != nil {
		return nil, err
	}
	if insert != nil {
		err = s.inferInsert(insert)
	}
	if update != nil {
		err = s.inferUpdate(update)
	}
	if err != nil {
		return nil, err
	}
	s.scope.infer(where, pgtype.BoolOID)
	fields, _, err := s.expandTargets(returning)
	return fields, err
}

func (s *source) inferInsert(q *pg.InsertStmt) error {
	columns, err := s.columnIndexes(q.Cols)
	if err != nil {
		return err
	}
	query := q.SelectStmt.GetSelectStmt()
	if query == nil {
		return nil
	}
	outer := scope{exec: s.scope.exec}
	for _, list := range query.ValuesLists {
		for i, n := range list.GetList().Items {
			if i < len(columns) {
				outer.infer(n, s.scope.table.columns[columns[i]].typeOID)
			}
		}
	}
	if len(query.ValuesLists) == 0 {
		for i, n := range query.TargetList {
			if n.GetResTarget().Val.GetParamRef() != nil && i < len(columns) {
				outer.infer(n.GetResTarget().Val, s.scope.table.columns[columns[i]].typeOID)
			}
		}
		_, err = s.scope.exec.describeSelect(query)
	}
	return err
}

func (s *source) inferUpdate(q *pg.UpdateStmt) error {
	columns, err := s.columnIndexes(q.TargetList)
	if err != nil {
		return err
	}
	for i, n := range q.TargetList {
		s.scope.infer(n.GetResTarget().Val, s.scope.table.columns[columns[i]].typeOID)
	}
	return nil
}

// describeSelect infers the parameter types and the result columns of a SELECT.
func (e *execution) describeSelect(q *pg.SelectStmt) ([]field, error) {
	if err := checkSupported(q); err != nil {
		return nil, err
	}
	if len(q.ValuesLists) > 0 {
		var fields []field
		for i, n := range q.ValuesLists[0].GetList().Items {
			typeOID := (&scope{exec: e}).infer(n, pgtype.TextOID)
			fields = append(fields, field{fmt.Sprintf("column%d", i+1), typeOID})
		}
		return fields, nil
	}
	s, err := e.from(q.FromClause, nil, false)
	if err != nil {
		return nil, err
	}
	fields, _, err := s.expandTargets(q.TargetList)
	if err != nil {
		return nil, err
	}
	s.scope.infer(q.WhereClause, pgtype.BoolOID)
	outer := scope{exec: e}
	outer.infer(q.LimitCount, pgtype.Int8OID)
	outer.infer(q.LimitOffset, pgtype.Int8OID)
	return fields, nil
}
