package controlvm_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Guards against a leader that accepts a request of an earlier term, against entry VMs that together are
// granted more than the burst, and against registrations of dead entry VMs that are never removed.
func TestRenew(t *testing.T) {
	s := newTestVM(t)
	s.start()
	c, ctx := client(t, s)
	accept(t, ctx, c, "one", 0)
	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	control := wire.NewControlClient(conn)
	renew := func(entry string, sequence, term uint64, leaving bool) *wire.RenewReply {
		reply, err := control.Renew(ctx, &wire.RenewRequest{
			Registration: &wire.Registration{Entry: entry, Name: entry}, Sequence: sequence, Term: term, Leaving: leaving,
			Demands: []*wire.Demand{{Account: "account-one", Want: 100}},
		})
		require.NoError(t, err)
		return reply
	}
	registered := func() int {
		reply, err := c.Status(ctx)
		require.NoError(t, err)
		return len(reply.Registrations)
	}
	first := renew("e", 1, 0, false)
	require.True(t, first.Leader)
	require.NotZero(t, first.Term)
	second := renew("f", 1, 0, false)
	granted := first.Credits[0].Amount + second.Credits[0].Amount
	require.LessOrEqual(t, granted, 5.0)
	require.Equal(t, 2, registered())

	old := renew("e", 2, first.Term-1, false)
	require.False(t, old.Leader)
	require.Empty(t, old.Credits)
	require.Equal(t, s.options.Control.Listen, old.Redirect)
	require.Equal(t, first.Term, old.Term)
	require.True(t, renew("e", 3, old.Term, false).Leader)

	require.True(t, renew("f", 2, first.Term, true).Leader)
	require.Eventually(t, func() bool { return registered() == 1 }, wait, 20*time.Millisecond)
	require.Eventually(t, func() bool { return registered() == 0 }, wait, 20*time.Millisecond)
}

// Guards against requests and replies that repeat what the other side has, at ten a second and entry VM, and against an
// entry VM that is registered without the addresses that others need, because its request has its identity only.
func TestBriefRenew(t *testing.T) {
	s := newTestVM(t)
	s.start()
	c, ctx := client(t, s)
	accept(t, ctx, c, "one", 0)
	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	renew := func(sequence uint64, brief bool, members uint64) *wire.RenewReply {
		r := &wire.RenewRequest{Registration: &wire.Registration{Entry: "e"}, Brief: brief, Members: members, Sequence: sequence}
		if !brief {
			r.Registration = &wire.Registration{Entry: "e", Forward: "host:1", Zone: "z"}
		}
		reply, err := wire.NewControlClient(conn).Renew(ctx, r)
		require.NoError(t, err)
		return reply
	}
	unknown := renew(1, true, 0)
	require.True(t, unknown.Unknown)
	require.False(t, unknown.Leader)
	first := renew(2, false, 0)
	require.True(t, first.Leader)
	require.Equal(t, []string{s.options.Control.Listen}, first.Controls)
	second := renew(3, true, first.Members)
	require.True(t, second.Leader)
	require.Empty(t, second.Controls)
	reply, err := c.Status(ctx)
	require.NoError(t, err)
	require.Len(t, reply.Registrations, 1)
	require.Equal(t, "host:1", reply.Registrations[0].Forward)
}
