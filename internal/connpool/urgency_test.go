package connpool_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// TestUrgentHandlesGoFirst guards against a priority that is lost between a Handle and the queue, and against statements
// that are ordered by it although Urgency is off.
func TestUrgentHandlesGoFirst(t *testing.T) {
	require.Equal(t, []uint8{0, 1, 7}, admittedOrder(t, true))
	require.Equal(t, []uint8{7, 1, 0}, admittedOrder(t, false))
}

// admittedOrder returns the priorities of statements that wait for one connection, in the order in which they run.
func admittedOrder(t *testing.T, urgency bool) []uint8 {
	i := &instance{}
	var mu sync.Mutex
	observed := 0
	p := connpool.New(connpool.Options{
		Server: "i", Dial: i.dial, Now: time.Now, Slots: 1, Connections: 1, Urgency: urgency,
		ObserveQueue: func(_ uint8, o connpool.QueueOutcome, _ time.Duration) {
			require.Equal(t, connpool.QueueAdmitted, o)
			mu.Lock()
			defer mu.Unlock()
			observed++
		},
	})
	until := connpool.Limit{Until: time.Now().Add(time.Minute)}
	open := p.NewHandle("a", 1, false)
	_, err := open.Run(t.Context(), until, nil, operation.Statement{Kind: operation.Begin}, operation.Statement{Kind: operation.Write})
	require.NoError(t, err)
	var order []uint8
	var all sync.WaitGroup
	for waiting, priority := range []uint32{200, 1, 0} {
		all.Go(func() {
			h := p.NewHandle("a", 1, true)
			defer h.Release()
			h.SetPriority(priority)
			_, err := h.Run(t.Context(), until, nil, operation.Statement{Kind: operation.Read})
			mu.Lock()
			defer mu.Unlock()
			order = append(order, uint8(min(priority, 7)))
			require.NoError(t, err)
		})
		require.Eventually(t, func() bool { return p.Load().Waiting == waiting+1 }, time.Minute, time.Millisecond)
	}
	_, err = open.Run(t.Context(), until, nil, operation.Statement{Kind: operation.Commit})
	require.NoError(t, err)
	open.Release()
	all.Wait()
	require.Equal(t, map[bool]int{true: 5, false: 0}[urgency], observed)
	return order
}
