package statement

import (
	"errors"
	"fmt"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// ErrNotNamed is returned for a text that is not exactly one PREPARE, EXECUTE or DEALLOCATE with a name.
var ErrNotNamed = errors.New("statement: the text names no prepared statement; pass one of kind Prepare, Execute or Deallocate")

// RenamePrepared returns the text of a PREPARE, EXECUTE or DEALLOCATE with another name for the prepared
// statement, for use on a shared connection. The text is generated from the parse tree.
func RenamePrepared(sql, name string) (string, error) {
	if reason := outsideLimits(sql); reason != "" {
		return "", errors.New("statement: " + reason + "; " + simplifyRemedy)
	}
	tree, err := pg.Parse(sql)
	if err != nil {
		return "", fmt.Errorf("statement: %w; correct the statement and send it again", err)
	}
	if len(tree.Stmts) != 1 || !setName(tree.Stmts[0].Stmt, name) {
		return "", ErrNotNamed
	}
	text, err := pg.Deparse(tree)
	if err != nil {
		return "", fmt.Errorf("statement: %w; send the statement without PREPARE", err)
	}
	return text, nil
}

func setName(n *pg.Node, name string) bool {
	switch x := n.GetNode().(type) {
	case *pg.Node_PrepareStmt:
		x.PrepareStmt.Name = name
	case *pg.Node_ExecuteStmt:
		x.ExecuteStmt.Name = name
	case *pg.Node_DeallocateStmt:
		if x.DeallocateStmt.Isall {
			return false
		}
		x.DeallocateStmt.Name = name
	default:
		return false
	}
	return true
}
