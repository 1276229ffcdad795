package renewal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/renewal"
)

// TestSelectorFollowsRedirects guards against a pause before following a redirect to the leader, against an
// endless loop without pauses between two followers that redirect to each other, and against repeated
// requests to a control VM that does not lead.
func TestSelectorFollowsRedirects(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	var c renewal.TargetSelector
	require.Equal(t, "a", renewal.Next(&c, addresses))
	require.Zero(t, renewal.HandleAnswer(&c, "a", renewal.NewAnswer(false, "b", false)))
	require.Equal(t, "b", renewal.Next(&c, addresses))
	require.Zero(t, renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "a", false)))
	require.Positive(t, renewal.HandleAnswer(&c, "a", renewal.NewAnswer(false, "b", false)), "the third redirect must wait")

	require.Equal(t, "b", renewal.Next(&c, addresses))
	leads := renewal.HandleAnswer(&c, "b", renewal.NewAnswer(true, "", false))
	require.Greater(t, leads, 100*time.Millisecond)
	require.Equal(t, "b", renewal.Next(&c, addresses), "the leader must be used again")

	renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "b", true))
	require.Equal(t, "b", renewal.Next(&c, addresses), "a redirect to itself with a new term must be retried")
	renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "b", false))
	require.NotEqual(t, "b", renewal.Next(&c, addresses))
	before := renewal.Next(&c, addresses)
	renewal.HandleAnswer(&c, before, renewal.RenewAnswer{})
	require.NotEqual(t, before, renewal.Next(&c, addresses), "a control VM that knows no leader must not be retried first")
}
