package renewal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/renewal"
)

// Guards against pauses between a follower and the leader that it names, against two followers that name
// each other without a pause, and against a control VM that is asked again although it does not lead.
func TestCourseFollowsRedirects(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	var c renewal.TargetSelector
	require.Equal(t, "a", renewal.Next(&c, addresses))
	require.Zero(t, renewal.HandleAnswer(&c, "a", renewal.NewAnswer(false, "b", false)))
	require.Equal(t, "b", renewal.Next(&c, addresses))
	require.Zero(t, renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "a", false)))
	require.Positive(t, renewal.HandleAnswer(&c, "a", renewal.NewAnswer(false, "b", false)), "the third redirect waits")

	require.Equal(t, "b", renewal.Next(&c, addresses))
	leads := renewal.HandleAnswer(&c, "b", renewal.NewAnswer(true, "", false))
	require.Greater(t, leads, 100*time.Millisecond)
	require.Equal(t, "b", renewal.Next(&c, addresses), "the leader is asked again")

	renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "b", true))
	require.Equal(t, "b", renewal.Next(&c, addresses), "it leads a new term")
	renewal.HandleAnswer(&c, "b", renewal.NewAnswer(false, "b", false))
	require.NotEqual(t, "b", renewal.Next(&c, addresses))
	before := renewal.Next(&c, addresses)
	renewal.HandleAnswer(&c, before, renewal.RenewAnswer{})
	require.NotEqual(t, before, renewal.Next(&c, addresses), "it knows no leader")
}
