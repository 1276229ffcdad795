package statement

import (
	"errors"
	"strconv"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// cursorOptionHold is the bit for WITH HOLD in DeclareCursorStmt.options (CURSOR_OPT_HOLD in PostgreSQL).
const cursorOptionHold = 0x0020

const simplifyRemedy = "send a shorter or flatter statement"

// Classify returns the classification of a text with any number of statements. It returns a *SyntaxError if the
// text is not valid SQL. It is safe for concurrent use.
func Classify(sql string) (Statement, error) {
	if reason := outsideLimits(sql); reason != "" {
		s := unsupported(reason, simplifyRemedy)
		s.Text = sql
		return s, nil
	}
	tree, err := pg.Parse(sql)
	if err != nil {
		return parseFailure(sql, err)
	}
	switch len(tree.Stmts) {
	case 0:
		return Statement{Kind: Empty, Text: sql}, nil
	case 1:
		s := classifyNode(tree.Stmts[0].Stmt)
		s.Text = sql
		return s, nil
	}
	return classifyParts(sql, tree.Stmts), nil
}

func classifyParts(sql string, raws []*pg.RawStmt) Statement {
	all := Statement{Kind: Multiple, Text: sql, Parts: make([]Statement, 0, len(raws))}
	for _, raw := range raws {
		s := classifyNode(raw.Stmt)
		if s.Kind == Unsupported {
			s.Text = sql
			return s
		}
		s.Text = textOf(sql, int(raw.StmtLocation), int(raw.StmtLen))
		all.Parts = append(all.Parts, s)
	}
	return all
}

// textOf returns the text of one statement of sql. A length of zero means up to the end.
func textOf(sql string, from, length int) string {
	if from < 0 || from > len(sql) {
		return ""
	}
	if length <= 0 || length > len(sql)-from {
		length = len(sql) - from
	}
	return strings.TrimSpace(sql[from : from+length])
}

// parseFailure distinguishes a syntax error from a parse tree that is too deep to be decoded.
func parseFailure(sql string, err error) (Statement, error) {
	var e *parser.Error
	if errors.As(err, &e) {
		return Statement{Kind: Unsupported, Text: sql}, &SyntaxError{Message: e.Message, Position: e.Cursorpos}
	}
	s := unsupported("the statement is too deeply nested", simplifyRemedy)
	s.Text = sql
	return s, nil
}

func unsupported(reason, remedy string) Statement {
	return Statement{Kind: Unsupported, Reason: reason, Remedy: remedy}
}

// classifyNode classifies one statement of a parse tree. Refusals come first: a refused function or table is
// refused wherever it occurs.
func classifyNode(n *pg.Node) Statement {
	if n == nil || n.Node == nil {
		return Statement{Kind: Empty}
	}
	if s, refused := refuseStatement(n); refused {
		return s
	}
	facts := inspect(n)
	if facts.reason != "" {
		return unsupported(facts.reason, facts.remedy)
	}
	switch x := n.Node.(type) {
	case *pg.Node_SelectStmt:
		return readOrWrite(facts)
	case *pg.Node_ExplainStmt:
		return classifyExplain(x.ExplainStmt)
	case *pg.Node_TransactionStmt:
		return classifyTransaction(x.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return classifySet(x.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		return Statement{Kind: Show, Name: strings.ToLower(x.VariableShowStmt.Name)}
	case *pg.Node_PrepareStmt:
		return classifyPrepare(x.PrepareStmt)
	case *pg.Node_ExecuteStmt:
		return Statement{Kind: Execute, Name: x.ExecuteStmt.Name}
	case *pg.Node_DeallocateStmt:
		return classifyDeallocate(x.DeallocateStmt)
	case *pg.Node_DiscardStmt:
		return classifyDiscard(x.DiscardStmt)
	}
	return Statement{Kind: Write}
}

func readOrWrite(f facts) Statement {
	if f.read {
		return Statement{Kind: Read}
	}
	return Statement{Kind: Write}
}

func classifyExplain(x *pg.ExplainStmt) Statement {
	if _, ok := x.Query.GetNode().(*pg.Node_SelectStmt); !ok {
		return Statement{Kind: Write}
	}
	return readOrWrite(inspect(x.Query))
}

func classifyPrepare(x *pg.PrepareStmt) Statement {
	s := Statement{Kind: Prepare, Name: x.Name, Body: Write}
	if _, ok := x.Query.GetNode().(*pg.Node_SelectStmt); ok && inspect(x.Query).read {
		s.Body = Read
	}
	return s
}

func classifyDeallocate(x *pg.DeallocateStmt) Statement {
	if x.Isall {
		return Statement{Kind: Deallocate, Name: All}
	}
	return Statement{Kind: Deallocate, Name: x.Name}
}

func classifyDiscard(x *pg.DiscardStmt) Statement {
	name := All
	switch x.Target {
	case pg.DiscardMode_DISCARD_PLANS:
		name = "plans"
	case pg.DiscardMode_DISCARD_SEQUENCES:
		name = "sequences"
	case pg.DiscardMode_DISCARD_TEMP:
		name = "temp"
	}
	return Statement{Kind: Discard, Name: name}
}

func classifyTransaction(x *pg.TransactionStmt) Statement {
	s := Statement{Name: x.SavepointName, Chain: x.Chain}
	switch x.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN, pg.TransactionStmtKind_TRANS_STMT_START:
		s.Kind = Begin
		s.ReadOnly, s.ReadWrite = accessMode(x.Options)
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		s.Kind = Commit
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		s.Kind = Rollback
	case pg.TransactionStmtKind_TRANS_STMT_SAVEPOINT:
		s.Kind = Savepoint
	case pg.TransactionStmtKind_TRANS_STMT_RELEASE:
		s.Kind = Release
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		s.Kind = RollbackTo
	default:
		return unsupported("two-phase commit is not carried", "use a plain transaction")
	}
	return s
}

// accessMode returns the access mode stated by READ ONLY or READ WRITE. The last one takes effect, as in
// PostgreSQL.
func accessMode(options []*pg.Node) (readOnly, readWrite bool) {
	for _, option := range options {
		e := option.GetDefElem()
		if e.GetDefname() != "transaction_read_only" {
			continue
		}
		readOnly = e.GetArg().GetAConst().GetIval().GetIval() != 0
		readWrite = !readOnly
	}
	return readOnly, readWrite
}

func classifySet(x *pg.VariableSetStmt) Statement {
	name := strings.ToLower(x.Name)
	switch x.Kind {
	case pg.VariableSetKind_VAR_RESET_ALL:
		return Statement{Kind: Reset, Name: All}
	case pg.VariableSetKind_VAR_RESET:
		return Statement{Kind: Reset, Name: name}
	case pg.VariableSetKind_VAR_SET_DEFAULT:
		return Statement{Kind: Set, Name: name, Default: true, Local: x.IsLocal}
	case pg.VariableSetKind_VAR_SET_MULTI:
		if name != "transaction" {
			return unsupported("SET "+x.Name+" is not carried", "state the mode in BEGIN")
		}
		s := Statement{Kind: SetTransaction}
		s.ReadOnly, s.ReadWrite = accessMode(x.Args)
		return s
	case pg.VariableSetKind_VAR_SET_VALUE:
		value := setValue(x.Args)
		if reason, remedy := refuseParameter(name, value); reason != "" {
			return unsupported(reason, remedy)
		}
		return Statement{Kind: Set, Name: name, Value: value, Local: x.IsLocal}
	}
	return unsupported("this form of SET is not carried", "set the parameter to a value")
}

func setValue(args []*pg.Node) string {
	values := make([]string, 0, len(args))
	for _, arg := range args {
		if cast := arg.GetTypeCast(); cast != nil {
			arg = cast.Arg
		}
		values = append(values, constant(arg.GetAConst()))
	}
	return strings.Join(values, ", ")
}

func constant(c *pg.A_Const) string {
	switch x := c.GetVal().(type) {
	case *pg.A_Const_Sval:
		return x.Sval.Sval
	case *pg.A_Const_Fval:
		return x.Fval.Fval
	case *pg.A_Const_Boolval:
		return strconv.FormatBool(x.Boolval.Boolval)
	case *pg.A_Const_Ival:
		return strconv.Itoa(int(x.Ival.Ival))
	case *pg.A_Const_Bsval:
		return x.Bsval.Bsval
	}
	return ""
}
