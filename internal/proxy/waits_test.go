package proxy_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// TestReportsRefuseBeforeForwarding guards against statements that are sent to an owner whose queue is too long for them,
// and against refusals where statements may wait.
func TestReportsRefuseBeforeForwarding(t *testing.T) {
	i := &primary{}
	vm := startZone(t, i, 1)[0]
	vm.UseWaits()
	vm.Forward(t.Context(), "account", []time.Duration{2 * time.Second}, nil)
	for _, kind := range []operation.Kind{operation.Write, operation.Read} {
		a := vm.Run(t.Context(), "account", operation.Statement{ID: "1", Kind: kind}, time.Second)
		require.Equal(t, operation.Busy, a.Code)
		require.Regexp(t, `did not run; come back in 1(\.\d+)?s .*; the shortest wait is (2|1\.[789]\d*)s`, a.Detail)
	}
	require.Equal(t, operation.Busy, vm.RunAged(t.Context(), "account", time.Minute, time.Second).Code)
	require.Zero(t, i.opened.Load(), "nothing was sent")
	require.EqualValues(t, 3, vm.EarlyRefusals())
	require.NotEqual(t, operation.Busy, vm.Run(t.Context(), "account", operation.Statement{ID: "2", Kind: operation.Write}, 5*time.Second).Code, "there is time to wait")
	vm.Forward(t.Context(), "account", []time.Duration{2 * time.Second}, nil)
	require.NotEqual(t, operation.Busy, vm.Run(t.Context(), "another", operation.Statement{ID: "3", Kind: operation.Write}, time.Second).Code)
	require.EqualValues(t, 3, vm.EarlyRefusals())
}

// TestReportsOfLostOwnerAreDropped guards against statements that are refused by the last report of an owner that has died
// since: another entry VM runs them.
func TestReportsOfLostOwnerAreDropped(t *testing.T) {
	vm := startZone(t, &primary{}, 1)[0]
	vm.UseWaits()
	write := operation.Statement{ID: "1", Kind: operation.Write}
	vm.Forward(t.Context(), "account", []time.Duration{2 * time.Second}, nil)
	require.Equal(t, operation.Busy, vm.Run(t.Context(), "account", write, time.Second).Code)
	vm.Forward(t.Context(), "account", nil, errors.Mark(connpool.ErrConnectionLost, forward.ErrPeerLost))
	require.Equal(t, operation.Done, vm.Run(t.Context(), "account", write, time.Second).Code)
	require.EqualValues(t, 1, vm.EarlyRefusals())
}

// TestWaitsAreOffByDefault guards against reports that change decisions where the deployment has not enabled them.
func TestWaitsAreOffByDefault(t *testing.T) {
	vm := startZone(t, &primary{}, 1)[0]
	vm.Forward(t.Context(), "account", []time.Duration{2 * time.Second}, nil)
	a := vm.Run(t.Context(), "account", operation.Statement{ID: "1", Kind: operation.Write}, time.Second)
	require.Equal(t, operation.Done, a.Code)
	require.False(t, vm.KnowsWaits(), "an owner that has them enabled may report them")
}
