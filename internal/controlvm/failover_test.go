package controlvm_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func putGroup(members uint32) []*wire.Edit {
	return []*wire.Edit{{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{Name: "main", Members: members, Slots: 3, Connections: 24}}}}
}

// view returns the leader's view of the group, or nil.
func view(ctx context.Context, c *controlvm.Client) *wire.View {
	limited, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	reply, err := c.Status(limited)
	if err != nil || reply.Configuration == nil || len(reply.Views) == 0 {
		return nil
	}
	return reply.Views[0]
}

// Guards against a group that gets no first primary, that is not failed over when its primary and the control
// leader die at the same time, or whose primary differs from the one in the control log.
func TestFailover(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	c, ctx := client(t, vms...)
	d, err := c.Apply(ctx, &wire.Change{Id: "group", Edits: putGroup(3)})
	require.NoError(t, err)
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.Verdict, d.Remedy)
	var announce []string
	for _, s := range vms {
		announce = append(announce, s.options.Control.Announce)
	}
	servers := instances(t, announce, "a", "b", "c")
	var first *wire.View
	require.Eventually(t, func() bool {
		first = view(ctx, c)
		return first.GetPhase() == wire.Phase_PHASE_STEADY && first.GetPrimary() != "" && len(first.Members) == 3
	}, wait, 50*time.Millisecond)
	leader(t, vms).stop()
	for _, s := range servers {
		if s.Status().Server == first.Primary {
			s.Close()
		}
	}
	var second *wire.View
	require.Eventually(t, func() bool {
		second = view(ctx, c)
		return second.GetTerm() > first.Term && second.GetPhase() == wire.Phase_PHASE_STEADY && second.GetPrimary() != ""
	}, wait, 50*time.Millisecond)
	require.NotEqual(t, first.Primary, second.Primary)
	require.Eventually(t, func() bool {
		for _, s := range servers {
			if now := s.Status(); now.Server == second.Primary {
				return string(now.Role) == "primary" && uint64(now.Term) == second.Term
			}
		}
		return false
	}, wait, 50*time.Millisecond)
}
