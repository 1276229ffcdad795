package controlvm_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// wait is the timeout of a test for reaching a state.
const wait = 20 * time.Second

func startAll(vms []*testVM) {
	for _, s := range vms {
		s.start()
	}
}

// leader waits until one of the control VMs leads and returns it.
func leader(t *testing.T, vms []*testVM) *testVM {
	t.Helper()
	c, ctx := client(t, vms...)
	var found *testVM
	require.Eventually(t, func() bool {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		reply, err := c.Status(limited)
		if err != nil || reply.Configuration == nil {
			return false
		}
		for _, s := range vms {
			if s.cancel != nil && s.options.Control.Listen == reply.Leader {
				found = s
			}
		}
		return found != nil
	}, wait, 50*time.Millisecond)
	return found
}

// Guards against a change that is lost, applied twice or reverted when the leader dies, and against a resend
// that is decided again by another leader or after a snapshot.
func TestLeaderKilled(t *testing.T) {
	vms := newTestVMs(t, 3)
	for _, s := range vms {
		s.options.SnapshotEvery = 20
	}
	startAll(vms)
	c, ctx := client(t, vms...)
	version := uint64(0)
	for i := range 30 {
		version = accept(t, ctx, c, fmt.Sprint("before", i), version)
	}
	first := leader(t, vms)
	first.stop()
	for i := range 30 {
		version = accept(t, ctx, c, fmt.Sprint("after", i), version)
	}
	again, err := c.Apply(ctx, &wire.Change{Id: "before7", Base: version, Edits: put("other")})
	require.NoError(t, err)
	require.EqualValues(t, 8, again.Version, "a resend returns the first decision after a snapshot and a change of leader")
	first.start()
	require.Eventually(t, func() bool {
		reply, err := c.Status(ctx)
		if err != nil || reply.Configuration == nil {
			return false
		}
		for _, v := range reply.Voters {
			if v.Matched < reply.Index {
				return false
			}
		}
		return len(reply.Voters) == 3
	}, wait, 50*time.Millisecond, "the former leader catches up from a snapshot")
}

// Guards against a group that restores an older configuration after all its processes were stopped.
func TestAllRestart(t *testing.T) {
	vms := newTestVMs(t, 3)
	for _, s := range vms {
		s.options.SnapshotEvery = 64
	}
	startAll(vms)
	c, ctx := client(t, vms...)
	version := uint64(0)
	for i := range 300 {
		version = accept(t, ctx, c, fmt.Sprint(i), version)
	}
	for _, s := range vms {
		s.stop()
	}
	startAll(vms)
	leader(t, vms)
	reply, err := c.Status(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 300, reply.Configuration.Version)
	require.Equal(t, "299", reply.Configuration.Change)
	require.Len(t, reply.Configuration.Accounts, 300)
}

// Guards against accepting two changes with the same base version from concurrent operators, also during a
// change of leader, and against a conflict that does not report the accepted change.
func TestOperatorsRace(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	for round := range 12 {
		if round == 6 {
			leader(t, vms).stop()
		}
		decisions := make([]*wire.Decision, 2)
		var both sync.WaitGroup
		for i := range decisions {
			c, ctx := client(t, vms...)
			both.Go(func() {
				id := fmt.Sprint(round, "-", i)
				d, err := c.Apply(ctx, &wire.Change{Id: id, Base: uint64(round), Edits: put("a" + id)})
				if err == nil {
					decisions[i] = d
				}
			})
		}
		both.Wait()
		require.NotNil(t, decisions[0])
		require.NotNil(t, decisions[1])
		won, lost := decisions[0], decisions[1]
		if won.Verdict != wire.Verdict_VERDICT_ACCEPTED {
			won, lost = lost, won
		}
		require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, won.Verdict)
		require.Equal(t, wire.Verdict_VERDICT_CONFLICT, lost.Verdict)
		require.Equal(t, won.Change, lost.Winner)
		require.EqualValues(t, round+1, won.Version)
	}
}

// Guards against a control VM that votes under its old identity after its data folder was lost, and against
// a voter that is not replaced although its VM is running again.
func TestLostFolder(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	c, ctx := client(t, vms...)
	version := accept(t, ctx, c, "one", 0)
	lost := leader(t, vms)
	identity := lost.vm.Identity()
	lost.stop()
	require.NoError(t, os.RemoveAll(lost.options.Control.Data))
	lost.start()
	require.NotEqual(t, identity, lost.vm.Identity())
	version = accept(t, ctx, c, "two", version)
	require.Eventually(t, func() bool { return voters(ctx, c)[lost.vm.Identity()] }, wait, 100*time.Millisecond)
	require.NotContains(t, voters(ctx, c), identity)
	for _, s := range vms {
		if s != lost {
			s.stop() // a second VM fails right after the replacement
			break
		}
	}
	accept(t, ctx, c, "three", version)
}

// voters returns the members of the group by identity: true for voters, false for learners.
func voters(ctx context.Context, c *controlvm.Client) map[string]bool {
	out := map[string]bool{}
	limited, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	reply, err := c.Status(limited)
	if err != nil {
		return out
	}
	for _, v := range reply.Voters {
		out[v.Identity] = v.Role != "learner"
	}
	return out
}

// Guards against a frozen leader that grants renewals to entry VMs after another leader was elected.
func TestFrozenLeader(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	c, ctx := client(t, vms...)
	version := accept(t, ctx, c, "one", 0)
	frozen := leader(t, vms)
	conn, err := controlvm.Dial(frozen.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	frozen.vm.Freeze(3 * time.Second)
	renewed := make(chan *wire.RenewReply, 1)
	go func() {
		request := &wire.RenewRequest{Registration: &wire.Registration{Entry: "e"}, Sequence: 1}
		reply, err := wire.NewControlClient(conn).Renew(ctx, request)
		if err != nil {
			reply = nil
		}
		renewed <- reply
	}()
	accept(t, ctx, c, "two", version)
	reply := <-renewed
	require.False(t, reply.GetLeader(), "%v", reply)
	require.Empty(t, reply.GetCredits())
}

// Guards against a spare that does not join the running group, or becomes a voter instead of a learner.
func TestSpareJoins(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	c, ctx := client(t, vms...)
	accept(t, ctx, c, "one", 0)
	spare := newTestVM(t)
	spare.options.Control.Peers = append(addresses(vms), spare.options.Control.Listen)
	spare.options.Control.Join = true
	spare.start()
	require.Eventually(t, func() bool {
		role, present := voters(ctx, c)[spare.vm.Identity()]
		return present && !role
	}, wait, 100*time.Millisecond)
}
