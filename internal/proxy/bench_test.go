package proxy_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// BenchmarkPeriodic measures the periodic work of an entry VM that owns no connections, with 20 groups of three instances and
// 300 entry VMs. It runs 20 times a second.
func BenchmarkPeriodic(b *testing.B) {
	listeners := make([]net.Listener, 300)
	for i := range listeners {
		listeners[i] = namedListener(fmt.Sprintf("10.1.0.%d:7021", i))
	}
	vm := proxy.StartZone(b.Context(), listeners, connpool.Dialer(nil), nil)[0]
	for i := range 60 {
		vm.AddGroup(fmt.Sprintf("group-%02d", i))
	}
	vm.KeepsOwnership()
	now := time.Now()
	for b.Loop() {
		vm.RunPeriodic(now)
	}
}

// BenchmarkEntriesChange measures what an entry VM computes after a change of the entry VMs: the keepers of 190 client
// accounts and the owners of 60 instances.
func BenchmarkEntriesChange(b *testing.B) {
	listeners := make([]net.Listener, 300)
	for i := range listeners {
		listeners[i] = namedListener(fmt.Sprintf("10.1.0.%d:7021", i))
	}
	vm := proxy.StartZone(b.Context(), listeners, connpool.Dialer(nil), nil)[0]
	for i := range 60 {
		vm.AddGroup(fmt.Sprintf("group-%02d", i))
	}
	for b.Loop() {
		vm.ChangeEntries()
		for i := range 190 {
			vm.KeepsCredits(fmt.Sprintf("account-%03d", i))
		}
	}
}

// namedListener is a listener without connections, with a given address.
type namedListener string

func (namedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (namedListener) Close() error              { return nil }
func (l namedListener) Addr() net.Addr          { return l }
func (namedListener) Network() string           { return "tcp" }
func (l namedListener) String() string          { return string(l) }
