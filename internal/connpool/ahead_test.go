package connpool_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// accountNames returns n names of client accounts.
func accountNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("account-%03d", i))
	}
	return names
}

// openAhead lets the pool open connections ahead until it has n, all of them idle.
func openAhead(t *testing.T, p *connpool.Pool, accounts []string, n int) {
	require.Eventually(t, func() bool {
		p.OpenAhead(time.Now(), accounts)
		return p.Load().Idle == n
	}, 5*time.Second, time.Millisecond)
}

// runOne runs a read of a client account.
func runOne(t *testing.T, p *connpool.Pool, account string) {
	h := p.NewHandle(account, 1, true)
	defer h.Release()
	_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(time.Second)}, nil, operation.Statement{Kind: operation.Read})
	require.NoError(t, err)
}

// TestFirstStatementsFindConnections plays the first statements of many client accounts after a start: each would wait for
// a new connection, which takes a slot of the instance.
func TestFirstStatementsFindConnections(t *testing.T) {
	i := &instance{}
	var dialed atomic.Int32
	dial := func(ctx context.Context, target connpool.Target) (connpool.Conn, error) {
		dialed.Add(1)
		return i.dial(ctx, target)
	}
	p := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 4, Connections: 162})
	accounts := accountNames(190)
	openAhead(t, p, accounts, 162)
	for _, account := range accounts[:162] {
		runOne(t, p, account)
	}
	require.EqualValues(t, 162, dialed.Load(), "no statement of these accounts waits for a connection")
	p.OpenAhead(time.Now(), accounts)
	runOne(t, p, accounts[189])
	runOne(t, p, accounts[161])
	require.EqualValues(t, 163, dialed.Load(), "the connection used longest ago makes room")
}

// TestUnusedConnectionsMakeRoomFirst guards against connections that were opened ahead and take the place of those in use.
func TestUnusedConnectionsMakeRoomFirst(t *testing.T) {
	i := &instance{}
	p := connpool.New(connpool.Options{Server: "i", Dial: i.dial, Now: time.Now, Slots: 4, Connections: 3})
	runOne(t, p, "used")
	openAhead(t, p, []string{"unused", "unused too"}, 3)
	runOne(t, p, "another")
	runOne(t, p, "used")
	require.Len(t, i.values, 4)
}

// TestOpeningAheadLeavesSlots guards against connections that are opened ahead of statements and take the slots of an
// instance that is busy.
func TestOpeningAheadLeavesSlots(t *testing.T) {
	var opening atomic.Int32
	end := make(chan struct{})
	dial := func(context.Context, connpool.Target) (connpool.Conn, error) {
		opening.Add(1)
		<-end
		return nil, context.Canceled
	}
	p := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 4, Connections: 20})
	for range 10 {
		p.OpenAhead(time.Now(), accountNames(20))
	}
	require.Equal(t, 2, p.Load().Open)
	close(end)
	require.Eventually(t, func() bool { return p.Load().Open == 0 }, 5*time.Second, time.Millisecond)
	p.OpenAhead(time.Now(), accountNames(20))
	require.Zero(t, p.Load().Open, "an instance that refuses connections is left alone for a while")
}
