package controlvm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// resettingListener keeps its connections to reset them.
type resettingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (l *resettingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c.(*net.TCPConn))
	return c, nil
}

// reset resets a share of the connections.
func (l *resettingListener) reset(random *rand.Rand, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*net.TCPConn
	for _, c := range l.conns {
		if random.Float64() >= share {
			kept = append(kept, c)
			continue
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	l.conns = kept
}

// leasedEntry is an entry VM that records its lease and the newest version of the configuration.
type leasedEntry struct {
	mu      sync.Mutex
	until   time.Time
	version uint64
	index   uint64
}

func (e *leasedEntry) FillRequest(_ context.Context, r *wire.RenewRequest) []lease.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Version = e.version
	return nil
}

func (e *leasedEntry) LeaseGranted(granted renewal.ConfigLease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until = granted.Until
}

func (e *leasedEntry) WatchRequest(context.Context) (*wire.WatchRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wire.WatchRequest{Version: e.version, Index: e.index}, true
}

func (e *leasedEntry) Update(u *wire.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.index = max(e.version, u.GetVersion()), max(e.index, u.GetIndex())
}

func (e *leasedEntry) Leased(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.until)
}

func (e *leasedEntry) Renewed(bool) {}

// has reports whether the entry VM has a version of the configuration.
func (e *leasedEntry) has(version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version >= version
}

// TestConnectionsAreReset guards against changes that are lost or decided twice, leases that end and updates that do not
// arrive while connections between voters and to entry VMs are reset again and again.
func TestConnectionsAreReset(t *testing.T) {
	const changes = 40
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			vms := newTestVMs(t, 3)
			var listeners []*resettingListener
			for _, s := range vms {
				l, err := net.Listen("tcp", s.options.Control.Listen)
				require.NoError(t, err)
				listeners = append(listeners, &resettingListener{Listener: l})
				s.options.Listener = listeners[len(listeners)-1]
			}
			startAll(vms)
			leader(t, vms)
			entry := &leasedEntry{}
			holder := renewal.New(entry, renewal.Options{
				Registration: &wire.Registration{Entry: "e", Process: "p"}, Controls: func() []string { return addresses(vms) },
				Dial: controlvm.Dialer(nil), Now: time.Now, MinInterval: renewal.DefaultMinInterval,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go holder.Run(ctx)
			require.Eventually(t, func() bool { return entry.Leased(time.Now()) }, wait, time.Millisecond)

			resetting, stop := context.WithCancel(ctx)
			var faults sync.WaitGroup
			faults.Go(func() {
				random := rand.New(rand.NewPCG(seed, 7))
				for resetting.Err() == nil {
					listeners[random.IntN(len(listeners))].reset(random, 0.7)
					time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
				}
			})
			c, calls := client(t, vms...)
			version := uint64(0)
			for i := range changes {
				before := version
				version = accept(t, calls, c, fmt.Sprint("change", i), version)
				require.Equal(t, before+1, version)
				require.True(t, entry.Leased(time.Now()), "the lease must not end")
			}
			require.Eventually(t, func() bool { return entry.has(version) }, 2500*time.Millisecond, time.Millisecond, "updates must arrive within a lease")
			stop()
			faults.Wait()
			reply, err := c.Status(calls)
			require.NoError(t, err)
			require.Len(t, reply.Configuration.Accounts, changes)
		})
	}
}
