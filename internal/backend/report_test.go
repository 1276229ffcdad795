package backend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Guards against a session that cannot read after a failover until the next write. Its floor may be on the
// superseded branch, beyond the last record of the new primary.
func TestPositionNamesTermWithoutRecords(t *testing.T) {
	columns := []string{"term", "last_term", "pos", "history"}
	at, err := backend.ParsePosition(columns, []string{"2", "1", "4", "1/0,2/4"})
	require.NoError(t, err)
	require.Equal(t, position.Position{Term: 2, Offset: 4}, at)
	history := position.History{{Term: 1}, {Term: 2, Offset: 4}}
	require.True(t, history.Covers(at, position.Position{Term: 1, Offset: 5}))
}
