package entryvm_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// Guards against writes and reads that an unmodified driver cannot run in one of its query modes.
func TestDriverWritesAndReads(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	ctx := context.Background()
	_, err := c.Exec(ctx, "CREATE TABLE claim (id bigint PRIMARY KEY, owner text NOT NULL)")
	require.NoError(t, err)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for i, mode := range modes {
		tag, err := c.Exec(ctx, "INSERT INTO claim (id, owner) VALUES ($1, $2)", mode, i, "owner")
		require.NoError(t, err, mode)
		require.EqualValues(t, 1, tag.RowsAffected())
		for range 3 {
			var owner string
			require.NoError(t, c.QueryRow(ctx, "SELECT owner FROM claim WHERE id = $1", mode, i).Scan(&owner), mode)
			require.Equal(t, "owner", owner)
		}
	}
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "DELETE FROM claim")
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(ctx))
	var count int
	require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM claim").Scan(&count))
	require.Equal(t, len(modes), count)
}
