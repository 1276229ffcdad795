package placement

import (
	"cmp"
	"slices"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// EntryVM is an entry VM that may own the connections to backend servers.
type EntryVM struct {
	ID      string // identity of the process, which a restart keeps
	Address string // of its listener for statements of other entry VMs
	Zone    string
}

// Owners returns the entry VMs that may own the connections to an instance, best first: those of its
// availability zone, ordered by rendezvous hashing. Every entry VM computes the same order, and it changes
// little when entry VMs come and go. The statements of all client accounts for an instance thus meet at one
// entry VM, which can share the few slots and connections without messages.
func Owners(server, zone string, entries []EntryVM) []EntryVM {
	var near []EntryVM
	for _, e := range entries {
		if e.Zone == zone && e.Address != "" {
			near = append(near, e)
		}
	}
	slices.SortFunc(near, func(a, b EntryVM) int {
		return cmp.Compare(spread.Hash(b.ID, server), spread.Hash(a.ID, server))
	})
	return near
}
