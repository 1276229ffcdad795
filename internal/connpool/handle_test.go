package connpool_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// instance is a fake backend server that records the session values of its connections.
type instance struct {
	mu     sync.Mutex
	values []map[string]string // of each connection
	ran    []map[string]string // values of the connection at each read
}

// conn is one connection to an instance.
type conn struct {
	instance *instance
	values   map[string]string
}

func (i *instance) dial(context.Context, connpool.Target) (connpool.Conn, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := &conn{i, map[string]string{}}
	i.values = append(i.values, c.values)
	return c, nil
}

func (c *conn) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	c.instance.mu.Lock()
	defer c.instance.mu.Unlock()
	for _, st := range statements {
		switch st.Kind {
		case operation.Set:
			c.values[st.Name] = st.Argument
		case operation.Reset:
			clear(c.values)
		case operation.Read:
			seen := map[string]string{}
			for name, value := range c.values {
				seen[name] = value
			}
			c.instance.ran = append(c.instance.ran, seen)
		}
	}
	return make([]operation.Answer, len(statements)), nil
}

func (c *conn) Close() {}

// TestValuesAfterLateAdjustment guards against a connection on which session values are recorded as applied
// although the deadline passed before they were sent.
func TestValuesAfterLateAdjustment(t *testing.T) {
	i := &instance{}
	now := time.Unix(1000, 0)
	step := time.Duration(0)
	var mu sync.Mutex
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(step)
		return now
	}
	l := connpool.New(connpool.Options{Server: "i", Dial: i.dial, Now: clock, Slots: 2, Connections: 1})
	read := operation.Statement{Kind: operation.Read}
	run := func(color string, limit time.Duration) error {
		h := l.NewHandle("a", 1, true)
		defer h.Release()
		mu.Lock()
		until := now.Add(limit)
		mu.Unlock()
		_, err := h.Run(t.Context(), connpool.Limit{Until: until}, map[string]string{"color": color}, read)
		return err
	}
	require.NoError(t, run("red", time.Second))
	step = 250 * time.Millisecond // the deadline passes while the connection is acquired
	require.Error(t, run("blue", time.Second))
	step = 0
	require.NoError(t, run("blue", time.Second))
	for _, seen := range i.ran[1:] {
		require.Equal(t, map[string]string{"color": "blue"}, seen)
	}
}

// TestLargeAccountMakesRoom guards against an eviction that closes connections of small client accounts while
// a large account keeps several idle ones. Each closed one would have to be reopened, which takes a slot of the
// instance.
func TestLargeAccountMakesRoom(t *testing.T) {
	i := &instance{}
	l := connpool.New(connpool.Options{Server: "i", Dial: i.dial, Now: func() time.Time { return time.Unix(1000, 0) }, Slots: 8, Connections: 6})
	run := func(accounts ...string) {
		var held []*connpool.Handle
		for _, account := range accounts {
			h := l.NewHandle(account, 1, true)
			_, err := h.Run(t.Context(), connpool.Limit{Until: time.Unix(1001, 0)}, nil, operation.Statement{Kind: operation.Read})
			require.NoError(t, err)
			held = append(held, h)
		}
		for _, h := range held {
			h.Release()
		}
	}
	run("small", "smaller", "smallest")
	run("large", "large", "large")
	require.Len(t, i.values, 6)
	run("another")
	require.Len(t, i.values, 7)
	run("small", "smaller", "smallest")
	require.Len(t, i.values, 7, "the connections of the small accounts must still be open")
}

// TestTransactionContinuesWhileOthersWaitForConnections guards against statements that hold all slots while they
// wait for a connection: the transactions that have the connections then get no slot to end.
func TestTransactionContinuesWhileOthersWaitForConnections(t *testing.T) {
	i := &instance{}
	l := connpool.New(connpool.Options{Server: "i", Dial: i.dial, Now: time.Now, Slots: 1, Connections: 1})
	open := l.NewHandle("a", 1, false)
	begin := []operation.Statement{{Kind: operation.Begin}, {Kind: operation.Write}}
	_, err := open.Run(t.Context(), connpool.Limit{Until: time.Now().Add(time.Minute)}, nil, begin...)
	require.NoError(t, err)
	var others sync.WaitGroup
	for _, account := range []string{"b", "c", "d"} {
		others.Go(func() {
			h := l.NewHandle(account, 1, true)
			defer h.Release()
			_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(time.Minute)}, nil, operation.Statement{Kind: operation.Read})
			require.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { load := l.Load(); return load.Running+load.Waiting == 3 }, time.Minute, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = open.Run(ctx, connpool.Limit{Until: time.Now().Add(time.Minute)}, nil, operation.Statement{Kind: operation.Commit})
	require.NoError(t, err)
	open.Release()
	others.Wait()
}
