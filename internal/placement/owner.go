package placement

import (
	"hash/fnv"
	"slices"
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
		x, y := score(server, a.ID), score(server, b.ID)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return near
}

// score returns the weight of an entry VM for an instance.
func score(server, entry string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entry))  //nolint:errcheck // never fails by its contract
	h.Write([]byte{0})      //nolint:errcheck // never fails by its contract
	h.Write([]byte(server)) //nolint:errcheck // never fails by its contract
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // finalizer of MurmurHash3, since FNV mixes the last bytes poorly
	return x ^ x>>33
}
