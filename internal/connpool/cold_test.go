package connpool_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/warmup"
)

// openConn is a connection that counts what is sent on it, and leaves transactions open until their end.
type openConn struct{ sent *int }

func (c openConn) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	answers := make([]operation.Answer, len(statements))
	for i, st := range statements {
		*c.sent++
		if st.Kind == operation.Begin || st.Kind == operation.Read {
			answers[i].State = operation.Open
		}
	}
	return answers, nil
}

func (c openConn) Close() {}

// TestWorkThatWaitedIsNotSentToAColdInstance guards against statements that were admitted while the instance was warm, or by its
// former owner, and got a slot later.
func TestWorkThatWaitedIsNotSentToAColdInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := 0
	l := warmup.New(1.5, 5)
	var atDial func()
	p := connpool.New(connpool.Options{
		Server: "i", Now: func() time.Time { return now }, Slots: 8, Connections: 40,
		Dial: func(context.Context, connpool.Target) (connpool.Conn, error) { atDial(); return openConn{&sent}, nil },
	})
	p.SetGate(l)
	read := operation.Statement{Kind: operation.Read}
	var refused *connpool.RefusedError
	for account, change := range map[string]func(){
		"cold":  func() { l.SetCold(now, 1000*time.Hour, 1000*time.Hour, 20) },
		"owner": func() { l.SetOwned(now, false) },
	} {
		l.SetOwned(now.Add(-time.Minute), true)
		l.SetCold(now, 0, 0, 0)
		if account == "owner" {
			l.SetCold(now, 1000*time.Hour, 1000*time.Hour, 20)
			now = now.Add(time.Minute)
		}
		atDial = change
		h := p.NewHandle(account, 1, true)
		_, err := h.Run(t.Context(), connpool.Limit{Until: now.Add(time.Second)}, nil, read)
		require.ErrorAs(t, err, &refused, account)
		h.Release()
		require.Zero(t, sent)
		now = now.Add(time.Minute)
	}
}

// TestColdInstanceGetsEachStatementCounted guards against statements that are sent without a unit of the rate of a cold
// instance: new connections, session values and the ends of transactions; and against held back ends of transactions.
func TestColdInstanceGetsEachStatementCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := 0
	p := connpool.New(connpool.Options{
		Server: "i", Now: func() time.Time { return now }, Slots: 8, Connections: 40,
		Dial: func(context.Context, connpool.Target) (connpool.Conn, error) { sent++; return openConn{&sent}, nil },
	})
	l := warmup.New(1.5, 5)
	l.SetOwned(now.Add(-time.Minute), true)
	l.SetCold(now, 1000*time.Hour, 1000*time.Hour, 20) // 5 a second, 10 at once
	p.SetGate(l)
	limit := func() connpool.Limit { return connpool.Limit{Until: now.Add(time.Second)} }
	run := func(h *connpool.Handle, statements ...operation.Statement) error {
		_, err := h.Run(t.Context(), limit(), map[string]string{"color": "red"}, statements...)
		return err
	}
	begin, read := operation.Statement{Kind: operation.Begin}, operation.Statement{Kind: operation.Read}
	var refused *connpool.RefusedError
	h := p.NewHandle("a", 1, true)
	require.ErrorAs(t, run(h, begin, read), &refused, "nothing has accrued")
	require.True(t, refused.Cold)
	require.Zero(t, sent)
	p.OpenAhead(now, []string{"a"})
	require.Zero(t, p.Load().Open, "connections are not opened in advance")

	now = now.Add(time.Minute)
	require.NoError(t, run(h, begin, read))
	require.Equal(t, 4, sent, "a connection, a session value, a begin and a read")
	require.ErrorAs(t, run(p.NewHandle("b", 1, true), read), &refused, "4 units are left, and 4 are for the transaction")
	for range 9 {
		require.NoError(t, run(h, read), "statements of an open transaction are not held back")
	}
	require.NoError(t, run(h, operation.Statement{Kind: operation.Commit}))
	h.Release()
	require.Equal(t, 14, sent)
	require.True(t, l.Blocked(now, 1), "14 of 10 units are spent")
	now = now.Add(700 * time.Millisecond)
	require.True(t, l.Blocked(now, 1))
	now = now.Add(400 * time.Millisecond)
	require.False(t, l.Blocked(now, 1), "units that were taken and not spent are returned")

	now = now.Add(time.Minute)
	proof, err := p.NewHandle("a", 1, true).Prove(t.Context(), limit(), 0)
	require.NoError(t, err)
	require.Equal(t, operation.Done, proof.Answer.Code)
	require.Eventually(t, func() bool { return !l.Blocked(now, 8) && l.Blocked(now, 9) }, time.Second, time.Millisecond,
		"a proof is a begin and a rollback")
}
