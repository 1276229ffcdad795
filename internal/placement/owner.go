package placement

import (
	"cmp"
	"slices"
	"sync"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// EntryVM is an entry VM that may own the connections to backend servers.
type EntryVM struct {
	ID      string // identity of the process, which a restart keeps
	Address string // of its listener for statements of other entry VMs
	Zone    string
}

// Instance is a backend server whose connections an entry VM of its availability zone owns.
type Instance struct {
	Server string
	Zone   string
}

// maxOwners is the number of entry VMs that are kept for each instance: the preferred one and its successors.
const maxOwners = 4

// Owners returns the entry VMs of an availability zone, ordered for a key by rendezvous hashing. Every entry VM computes
// the same order, and it changes little when entry VMs come and go.
func Owners(key, zone string, entries []EntryVM) []EntryVM {
	near := inZone(zone, entries)
	ranked := rank(key, near, nil)
	owners := make([]EntryVM, len(near))
	for i, r := range ranked {
		owners[i] = near[r.index]
	}
	return owners
}

// inZone returns the entry VMs of an availability zone that other entry VMs can call.
func inZone(zone string, entries []EntryVM) []EntryVM {
	var near []EntryVM
	for _, e := range entries {
		if e.Zone == zone && e.Address != "" {
			near = append(near, e)
		}
	}
	return near
}

// ranked is an entry VM in an order by rendezvous hashing. It has no pointers, since hundreds of orders of hundreds of
// entry VMs are sorted after each change.
type ranked struct {
	hash  uint64
	index int // in the list of entry VMs
}

// rank returns the order of entry VMs for a key, in the memory of buffer.
func rank(key string, entries []EntryVM, buffer []ranked) []ranked {
	buffer = buffer[:0]
	for i := range entries {
		buffer = append(buffer, ranked{spread.Hash(entries[i].ID, key), i})
	}
	slices.SortFunc(buffer, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	return buffer
}

// Ownership assigns each instance the entry VMs that may own the connections to it. The statements of all client
// accounts for an instance thus meet at one entry VM, which can share the few slots and connections without messages.
// It is computed on first use and safe for concurrent use.
//
// Invariant: within an availability zone no entry VM is the first for more instances than their number divided by that of
// the entry VMs, rounded up. The link of a small entry VM carries the statements for about one primary.
type Ownership struct {
	entries   []EntryVM
	instances []Instance
	compute   sync.Once
	owners    map[string][]EntryVM // by server
}

// NewOwnership returns the Ownership of instances. The arguments must not change afterwards.
func NewOwnership(instances []Instance, entries []EntryVM) *Ownership {
	return &Ownership{entries: entries, instances: instances}
}

// IsOf reports whether the Ownership is that of these instances and entry VMs, in this order.
func (o *Ownership) IsOf(instances []Instance, entries []EntryVM) bool {
	return slices.Equal(o.instances, instances) && slices.Equal(o.entries, entries)
}

// Of returns the entry VMs that may own the connections to an instance, preferred first, at most maxOwners.
func (o *Ownership) Of(server string) []EntryVM {
	o.compute.Do(o.assign)
	return o.owners[server]
}

// First returns the entry VMs that own the connections to an instance, each once, in no particular order.
func (o *Ownership) First() []EntryVM {
	o.compute.Do(o.assign)
	seen := map[string]bool{}
	var first []EntryVM
	for _, owners := range o.owners {
		if len(owners) > 0 && !seen[owners[0].ID] {
			seen[owners[0].ID] = true
			first = append(first, owners[0])
		}
	}
	return first
}

// assign gives each instance, in an order by hash, the first of its entry VMs that may own another one.
func (o *Ownership) assign() {
	o.owners = make(map[string][]EntryVM, len(o.instances))
	count := map[string]int{}
	near := map[string][]EntryVM{}
	for _, i := range o.instances {
		if count[i.Zone]++; count[i.Zone] == 1 {
			near[i.Zone] = inZone(i.Zone, o.entries)
		}
	}
	ordered := slices.Clone(o.instances)
	slices.SortFunc(ordered, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(spread.Hash(a.Server), spread.Hash(b.Server)), cmp.Compare(a.Server, b.Server))
	})
	owned := map[string]int{}
	var buffer []ranked
	for _, i := range ordered {
		entries := near[i.Zone]
		if len(entries) == 0 {
			o.owners[i.Server] = nil
			continue
		}
		most := (count[i.Zone] + len(entries) - 1) / len(entries)
		buffer = rank(i.Server, entries, buffer)
		first := slices.IndexFunc(buffer, func(r ranked) bool { return owned[entries[r.index].ID] < most })
		owners := make([]EntryVM, 0, maxOwners)
		owners = append(owners, entries[buffer[first].index])
		for n, r := range buffer[:min(len(buffer), maxOwners)] {
			if n != first && len(owners) < maxOwners {
				owners = append(owners, entries[r.index])
			}
		}
		owned[owners[0].ID]++
		o.owners[i.Server] = owners
	}
}
