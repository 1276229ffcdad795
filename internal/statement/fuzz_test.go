package statement_test

import (
	"encoding/json"
	"strings"
	"testing"

	pg "github.com/pganalyze/pg_query_go/v6"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/statement"
)

// FuzzClassify guards against a panic and against a read that contains a statement other than SELECT or
// EXPLAIN, a lock or a target table. It examines the JSON output of the parser, which Classify does not use.
func FuzzClassify(f *testing.F) {
	for _, text := range []string{
		"SELECT 1", "WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d", "SELECT * FROM t FOR UPDATE",
		"SELECT * INTO u FROM t", "BEGIN READ ONLY; SELECT 1; COMMIT", "PREPARE p AS INSERT INTO t VALUES ($1)",
		"SET a.b = 'c'", "SELECT nextval('s')", "COPY t FROM STDIN", "EXPLAIN ANALYZE UPDATE t SET a = 1",
		"SELECT a::int[] FROM t ORDER BY b USING <", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SELECT E'\\'' || $1",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s, err := statement.Classify(sql)
		if err != nil || !s.IsRead() {
			return
		}
		tree, err := pg.ParseToJSON(sql)
		require.NoError(t, err)
		var root any
		require.NoError(t, json.Unmarshal([]byte(tree), &root))
		requireRead(t, sql, root)
	})
}

func requireRead(t *testing.T, sql string, node any) {
	switch x := node.(type) {
	case map[string]any:
		require.NotContains(t, []any{"nextval", "setval"}, functionName(x), "%q", sql)
		for key, child := range x {
			allowed := key == "SelectStmt" || key == "ExplainStmt"
			require.False(t, strings.HasSuffix(key, "Stmt") && !allowed, "%q contains %s", sql, key)
			require.NotContains(t, []string{"LockingClause", "lockingClause", "intoClause", "IntoClause"}, key, "%q", sql)
			requireRead(t, sql, child)
		}
	case []any:
		for _, child := range x {
			requireRead(t, sql, child)
		}
	}
}

// functionName returns the unqualified name of a function call, "" for other nodes.
func functionName(x map[string]any) any {
	names, _ := x["funcname"].([]any)
	if len(names) == 0 {
		return ""
	}
	last, _ := names[len(names)-1].(map[string]any)
	word, _ := last["String"].(map[string]any)
	return word["sval"]
}
