package controlvm_test

import (
	"context"
	"expvar"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// watch opens a stream of updates of a control VM until the test ends and passes them on. The channel is closed at its end.
func watch(t *testing.T, s *testVM) <-chan *wire.Update {
	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	stream, err := wire.NewControlClient(conn).Watch(t.Context(), &wire.WatchRequest{Entry: "e", Entries: true, Trusts: true, Parts: true})
	require.NoError(t, err)
	updates := make(chan *wire.Update, 100)
	go func() {
		defer close(updates)
		for {
			u, err := stream.Recv()
			if err != nil {
				return
			}
			updates <- u
		}
	}()
	return updates
}

// TestRestartedVMSendsNoOldState guards against a control VM that sends the state of its last snapshot to entry VMs after a
// restart, before it knows what has been committed since: after a restart of all VMs that delays the current state.
func TestRestartedVMSendsNoOldState(t *testing.T) {
	vms := newTestVMs(t, 3)
	for _, s := range vms {
		s.options.SnapshotEvery = 4
	}
	startAll(vms)
	c, ctx := client(t, vms...)
	version := uint64(0)
	for i := range 11 {
		version = accept(t, ctx, c, fmt.Sprint("change", i), version)
	}
	for _, s := range vms {
		s.stop()
	}
	vms[0].start()
	updates := watch(t, vms[0])
	select {
	case u := <-updates:
		require.Failf(t, "an update without a leader", "version %d of %d", u.Version, version)
	case <-time.After(300 * time.Millisecond):
	}
	vms[1].start()
	vms[2].start()
	first, open := <-updates
	require.True(t, open, "the stream has ended")
	require.Equal(t, version, first.Version)
}

// TestRegistrationsWakeStreamsTogether guards against streams that are woken by each registration: after a restart of all
// entry VMs there are as many registrations as streams.
func TestRegistrationsWakeStreamsTogether(t *testing.T) {
	const streams, registrations = 20, 100
	s := newTestVM(t)
	s.start()
	c, ctx := client(t, s)
	accept(t, ctx, c, "one", 0)
	var known [streams]atomic.Int64
	for i := range streams {
		updates := watch(t, s)
		go func() {
			for u := range updates {
				known[i].Add(int64(len(u.Entries)))
			}
		}()
	}
	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(100 * time.Millisecond)
	before, began := lookups(t, s), time.Now()
	for i := range registrations {
		renew(t, ctx, wire.NewControlClient(conn), fmt.Sprint("e", i))
	}
	for i := range known {
		require.Eventually(t, func() bool { return known[i].Load() == registrations }, 5*time.Second, time.Millisecond)
	}
	notices := int(time.Since(began)/(200*time.Millisecond)) + 2
	require.LessOrEqual(t, lookups(t, s)-before, streams*(notices+int(time.Since(began)/time.Second)+1))
}

// renew registers an entry VM.
func renew(t *testing.T, ctx context.Context, c wire.ControlClient, entry string) {
	_, err := c.Renew(ctx, &wire.RenewRequest{Registration: &wire.Registration{Entry: entry, Name: entry, Process: entry}, Sequence: 1})
	require.NoError(t, err)
}

// lookups returns how often streams have looked for updates.
func lookups(t *testing.T, s *testVM) int {
	n, err := strconv.Atoi(s.vm.Process().Vars.Get("lookups").(*expvar.Int).String())
	require.NoError(t, err)
	return n
}
