package controlvm_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Guards against a planned switchover that is not performed or promotes the wrong server, and against
// accepting one to a server that cannot take over.
func TestSwitch(t *testing.T) {
	s := newTestVM(t)
	s.start()
	c, ctx := client(t, s)
	_, err := c.Apply(ctx, &wire.Change{Id: "group", Edits: putGroup(3)})
	require.NoError(t, err)
	instances(t, []string{s.options.Control.Announce}, "a", "b", "c")
	var first *wire.View
	require.Eventually(t, func() bool {
		first = view(ctx, c)
		return first.GetPhase() == wire.Phase_PHASE_STEADY && first.GetPrimary() != ""
	}, wait, 50*time.Millisecond)
	to := "a"
	if first.Primary == to {
		to = "b"
	}
	reply, err := c.Switch(ctx, "main", to)
	require.NoError(t, err)
	require.True(t, reply.Done, "%v", reply.View)
	require.Equal(t, to, reply.View.Primary)
	_, err = c.Switch(ctx, "main", "nobody")
	require.ErrorContains(t, err, "cannot take over")
	_, err = c.Switch(ctx, "main", to)
	require.ErrorContains(t, err, "cannot take over")
}
