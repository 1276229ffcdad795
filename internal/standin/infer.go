package standin

import (
	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// infer returns the type of an expression, or zero if it is unknown. Parameters of unknown type get the
// wanted type.
func (s *scope) infer(n *pg.Node, want oid) oid {
	switch e := n.GetNode().(type) {
	case *pg.Node_AConst:
		return inferConstant(e.AConst, want)
	case *pg.Node_ParamRef:
		return s.exec.paramType(int(e.ParamRef.Number), want)
	case *pg.Node_ColumnRef:
		if i, err := s.columnIndex(e.ColumnRef); err == nil {
			return s.table.columns[i].typeOID
		}
	case *pg.Node_TypeCast:
		to, _ := typeOfName(e.TypeCast.TypeName)
		s.infer(e.TypeCast.Arg, to)
		return to
	case *pg.Node_AExpr:
		return s.inferOperator(e.AExpr, want)
	case *pg.Node_BoolExpr:
		for _, a := range e.BoolExpr.Args {
			s.infer(a, pgtype.BoolOID)
		}
		return pgtype.BoolOID
	case *pg.Node_NullTest:
		s.infer(e.NullTest.Arg, 0)
		return pgtype.BoolOID
	case *pg.Node_CoalesceExpr:
		for _, a := range e.CoalesceExpr.Args {
			if t := s.infer(a, want); t != 0 && want == 0 {
				want = t
			}
		}
		return want
	case *pg.Node_FuncCall:
		return s.inferCall(e.FuncCall)
	case *pg.Node_SqlvalueFunction:
		return pgtype.TimestamptzOID
	case *pg.Node_SubLink:
		if e.SubLink.SubLinkType == pg.SubLinkType_EXISTS_SUBLINK {
			if _, err := s.exec.describeSelect(e.SubLink.Subselect.GetSelectStmt()); err != nil {
				return 0
			}
			return pgtype.BoolOID
		}
		if fields, err := s.exec.describeSelect(e.SubLink.Subselect.GetSelectStmt()); err == nil && len(fields) == 1 {
			return fields[0].typeOID
		}
	}
	return 0
}

func inferConstant(c *pg.A_Const, want oid) oid {
	switch v, _ := constantValue(c); v.(type) {
	case int64:
		if c.GetIval() != nil || c.GetFval() == nil {
			return pgtype.Int4OID
		}
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	}
	return want
}

func (s *scope) inferOperator(e *pg.A_Expr, want oid) oid {
	operator := lastName(e.Name)
	left := s.infer(e.Lexpr, 0)
	var right oid
	if list := e.Rexpr.GetList(); list != nil {
		for _, item := range list.Items {
			right = s.infer(item, left)
		}
	} else {
		right = s.infer(e.Rexpr, left)
	}
	if left == 0 && right != 0 {
		left = s.infer(e.Lexpr, right)
	}
	switch operator {
	case "+", "-", "*", "/", "%":
		if left == 0 && right == 0 && want != 0 {
			s.infer(e.Lexpr, want)
			return s.infer(e.Rexpr, want)
		}
		return max(left, right)
	case "||":
		s.infer(e.Lexpr, pgtype.TextOID)
		s.infer(e.Rexpr, pgtype.TextOID)
		return pgtype.TextOID
	}
	return pgtype.BoolOID
}

// functionTypes are the result types of functions whose type does not depend on their arguments.
var functionTypes = map[string]oid{
	"count": pgtype.Int8OID, "sum": pgtype.Int8OID, "length": pgtype.Int8OID, "abs": pgtype.Int8OID,
	"group_terminate": pgtype.Int4OID, "pg_backend_pid": pgtype.Int4OID,
	"now": pgtype.TimestamptzOID, "clock_timestamp": pgtype.TimestamptzOID,
	"transaction_timestamp": pgtype.TimestamptzOID, "statement_timestamp": pgtype.TimestamptzOID,
	"pg_is_in_recovery": pgtype.BoolOID,
}

// argumentTypes are the argument types of functions that do not take text.
var argumentTypes = map[string]oid{
	"pg_sleep": pgtype.Float8OID, "abs": pgtype.Int8OID, "group_fence": pgtype.Int8OID,
	"group_promote": pgtype.Int8OID, "group_follow": pgtype.Int8OID, "generate_series": pgtype.Int8OID,
}

func (s *scope) inferCall(f *pg.FuncCall) oid {
	name := lastName(f.Funcname)
	first := oid(0)
	for i, a := range f.Args {
		want := argumentTypes[name]
		if want == 0 || (name == "group_follow" && i == 1) {
			want = pgtype.TextOID
		}
		if t := s.infer(a, want); i == 0 {
			first = t
		}
	}
	switch name {
	case "min", "max":
		return first
	case "sum":
		if first == pgtype.Float8OID {
			return first
		}
	}
	if t, ok := functionTypes[name]; ok {
		return t
	}
	return pgtype.TextOID
}

// paramType returns the type of parameter n, after setting it to the wanted type if it is unknown.
func (e *execution) paramType(n int, want oid) oid {
	for len(e.paramTypes) < n {
		e.paramTypes = append(e.paramTypes, 0)
	}
	if e.paramTypes[n-1] == 0 {
		e.paramTypes[n-1] = want
	}
	return e.paramTypes[n-1]
}
