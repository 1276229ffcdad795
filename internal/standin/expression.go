package standin

import (
	"context"
	"strconv"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// scope is the environment in which an expression is evaluated.
type scope struct {
	exec   *execution
	table  *table
	alias  string
	values []Value // of the current row
	group  []row   // rows of the current GROUP BY group, for aggregates; nil where aggregates are not allowed
}

// execution is the state of one statement while it is executed or described.
type execution struct {
	ctx        context.Context
	session    *session
	tx         *transaction
	params     []Value
	paramTypes []oid // grows while types are inferred; 0 is unknown
}

// columnIndex returns the index of the column that a reference names.
func (s *scope) columnIndex(ref *pg.ColumnRef) (int, error) {
	name := lastName(ref.Fields)
	if s.table == nil {
		return 0, sqlErrorf(stateNoColumn, "column %q does not exist", name)
	}
	if len(ref.Fields) == 2 {
		if q := ref.Fields[0].GetString_().GetSval(); q != s.alias && q != s.table.name && q != "excluded" {
			return 0, sqlErrorf(stateNoTable, "missing FROM-clause entry for table %q", q)
		}
	}
	return s.table.columnIndex(name)
}

func (s *scope) eval(n *pg.Node) (Value, error) {
	switch e := n.GetNode().(type) {
	case nil:
		return nil, nil
	case *pg.Node_AConst:
		return constantValue(e.AConst)
	case *pg.Node_ParamRef:
		if i := int(e.ParamRef.Number); i >= 1 && i <= len(s.exec.params) {
			return s.exec.params[i-1], nil
		}
		return nil, sqlErrorf(stateBadProtocol, "parameter $%d is missing", e.ParamRef.Number)
	case *pg.Node_ColumnRef:
		i, err := s.columnIndex(e.ColumnRef)
		if err != nil {
			return nil, err
		}
		if s.values == nil {
			return nil, nil
		}
		return s.values[i], nil
	case *pg.Node_TypeCast:
		to, err := typeOfName(e.TypeCast.TypeName)
		if err != nil {
			return nil, err
		}
		v, err := s.eval(e.TypeCast.Arg)
		if err != nil {
			return nil, err
		}
		return convert(v, to)
	case *pg.Node_AExpr:
		return s.evalOperator(e.AExpr)
	case *pg.Node_BoolExpr:
		return s.evalBool(e.BoolExpr)
	case *pg.Node_NullTest:
		v, err := s.eval(e.NullTest.Arg)
		return (v == nil) == (e.NullTest.Nulltesttype == pg.NullTestType_IS_NULL), err
	case *pg.Node_CoalesceExpr:
		for _, a := range e.CoalesceExpr.Args {
			if v, err := s.eval(a); v != nil || err != nil {
				return v, err
			}
		}
		return nil, nil
	case *pg.Node_FuncCall:
		return s.callFunction(e.FuncCall)
	case *pg.Node_SqlvalueFunction:
		return s.exec.tx.now, nil
	case *pg.Node_SubLink:
		return s.evalSubquery(e.SubLink)
	}
	return nil, errUnsupported("this expression")
}

func constantValue(c *pg.A_Const) (Value, error) {
	if c.Isnull {
		return nil, nil
	}
	switch v := c.Val.(type) {
	case *pg.A_Const_Ival:
		return int64(v.Ival.Ival), nil
	case *pg.A_Const_Fval:
		if n, err := strconv.ParseInt(v.Fval.Fval, 10, 64); err == nil {
			return n, nil
		}
		return toFloat(v.Fval.Fval)
	case *pg.A_Const_Boolval:
		return v.Boolval.Boolval, nil
	case *pg.A_Const_Sval:
		return v.Sval.Sval, nil
	}
	return nil, errUnsupported("this constant")
}

func (s *scope) evalBool(e *pg.BoolExpr) (Value, error) {
	unknown := false
	for _, a := range e.Args {
		v, err := s.eval(a)
		if err != nil {
			return nil, err
		}
		if v == nil {
			unknown = true
			continue
		}
		b, err := toBool(v)
		if err != nil {
			return nil, err
		}
		switch {
		case e.Boolop == pg.BoolExprType_NOT_EXPR:
			return b != true, nil
		case e.Boolop == pg.BoolExprType_AND_EXPR && b == false:
			return false, nil
		case e.Boolop == pg.BoolExprType_OR_EXPR && b == true:
			return true, nil
		}
	}
	if unknown {
		return nil, nil
	}
	return e.Boolop == pg.BoolExprType_AND_EXPR, nil
}

func (s *scope) evalOperator(e *pg.A_Expr) (Value, error) {
	operator := lastName(e.Name)
	left, err := s.eval(e.Lexpr)
	if err != nil {
		return nil, err
	}
	if e.Kind == pg.A_Expr_Kind_AEXPR_IN {
		return s.evalIn(left, e.Rexpr, operator == "<>")
	}
	if list := e.Rexpr.GetList(); list != nil && (e.Kind == pg.A_Expr_Kind_AEXPR_BETWEEN || e.Kind == pg.A_Expr_Kind_AEXPR_NOT_BETWEEN) {
		return s.evalBetween(left, list.Items, e.Kind == pg.A_Expr_Kind_AEXPR_NOT_BETWEEN)
	}
	right, err := s.eval(e.Rexpr)
	if err != nil {
		return nil, err
	}
	switch e.Kind {
	case pg.A_Expr_Kind_AEXPR_OP:
		if e.Lexpr == nil {
			return arithmetic(operator, int64(0), right)
		}
		return binaryOperator(operator, left, right)
	case pg.A_Expr_Kind_AEXPR_LIKE:
		if left == nil || right == nil {
			return nil, nil
		}
		return matchesLike(text(left), text(right)) == (operator == "~~"), nil
	}
	return nil, errUnsupported("operator " + operator)
}

func (s *scope) evalIn(left Value, list *pg.Node, negate bool) (Value, error) {
	if left == nil {
		return nil, nil
	}
	for _, item := range list.GetList().GetItems() {
		v, err := s.eval(item)
		if err != nil {
			return nil, err
		}
		if v == nil {
			continue
		}
		c, err := compare(left, v)
		if err != nil {
			return nil, err
		}
		if c == 0 {
			return !negate, nil
		}
	}
	return negate, nil
}

func (s *scope) evalBetween(left Value, bounds []*pg.Node, negate bool) (Value, error) {
	low, err := s.eval(bounds[0])
	if err != nil {
		return nil, err
	}
	high, err := s.eval(bounds[1])
	if err != nil || left == nil || low == nil || high == nil {
		return nil, err
	}
	a, err := compare(left, low)
	if err != nil {
		return nil, err
	}
	b, err := compare(left, high)
	return (a >= 0 && b <= 0) != negate, err
}

func binaryOperator(operator string, left, right Value) (Value, error) {
	if left == nil || right == nil {
		return nil, nil
	}
	switch operator {
	case "=", "<>", "<", "<=", ">", ">=":
		c, err := compare(left, right)
		if err != nil {
			return nil, err
		}
		return comparisonResult(operator, c), nil
	case "||":
		return text(left) + text(right), nil
	}
	return arithmetic(operator, left, right)
}

func comparisonResult(operator string, c int) bool {
	switch operator {
	case "=":
		return c == 0
	case "<>":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}

func arithmetic(operator string, left, right Value) (Value, error) {
	if left == nil || right == nil {
		return nil, nil
	}
	left, right, err := coerce(left, right)
	if err != nil {
		return nil, err
	}
	if a, ok := left.(float64); ok {
		return floatArithmetic(operator, a, right.(float64))
	}
	a, err := toInteger(left)
	if err != nil {
		return nil, err
	}
	b, err := toInteger(right)
	if err != nil {
		return nil, err
	}
	x, y := a.(int64), b.(int64)
	switch operator {
	case "+":
		return x + y, nil
	case "-":
		return x - y, nil
	case "*":
		return x * y, nil
	case "/", "%":
		if y == 0 {
			return nil, sqlErrorf(stateDivisionByZero, "division by zero")
		}
		if operator == "/" {
			return x / y, nil
		}
		return x % y, nil
	}
	return nil, errUnsupported("operator " + operator)
}

func floatArithmetic(operator string, a, b float64) (Value, error) {
	switch operator {
	case "+":
		return a + b, nil
	case "-":
		return a - b, nil
	case "*":
		return a * b, nil
	case "/":
		if b == 0 {
			return nil, sqlErrorf(stateDivisionByZero, "division by zero")
		}
		return a / b, nil
	}
	return nil, errUnsupported("operator " + operator)
}

// matchesLike matches a LIKE pattern with % and _, byte by byte.
func matchesLike(s, pattern string) bool {
	if pattern == "" {
		return s == ""
	}
	switch pattern[0] {
	case '%':
		for i := 0; i <= len(s); i++ {
			if matchesLike(s[i:], pattern[1:]) {
				return true
			}
		}
		return false
	case '_':
		return s != "" && matchesLike(s[1:], pattern[1:])
	}
	return s != "" && s[0] == pattern[0] && matchesLike(s[1:], pattern[1:])
}

// evalSubquery evaluates an uncorrelated subquery, either EXISTS or a scalar one.
func (s *scope) evalSubquery(l *pg.SubLink) (Value, error) {
	q := l.Subselect.GetSelectStmt()
	if q == nil {
		return nil, errUnsupported("this subquery")
	}
	r, err := s.exec.executeSelect(q)
	if err != nil {
		return nil, err
	}
	switch l.SubLinkType {
	case pg.SubLinkType_EXISTS_SUBLINK:
		return len(r.rows) > 0, nil
	case pg.SubLinkType_EXPR_SUBLINK:
		if len(r.rows) == 0 {
			return nil, nil
		}
		return r.rows[0][0], nil
	}
	return nil, errUnsupported("this kind of subquery")
}
