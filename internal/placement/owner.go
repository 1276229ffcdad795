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

// Owners returns the entry VMs of an availability zone, ordered for a key by rendezvous hashing. Every entry VM computes
// the same order, and it changes little when entry VMs come and go.
func Owners(key, zone string, entries []EntryVM) []EntryVM {
	type candidate struct {
		hash  uint64
		entry EntryVM
	}
	var near []candidate
	for _, e := range entries {
		if e.Zone == zone && e.Address != "" {
			near = append(near, candidate{spread.Hash(e.ID, key), e})
		}
	}
	slices.SortFunc(near, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	owners := make([]EntryVM, len(near))
	for i, c := range near {
		owners[i] = c.entry
	}
	return owners
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

// Of returns the entry VMs that may own the connections to an instance, preferred first.
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
	inZone := map[string]int{}
	for _, i := range o.instances {
		inZone[i.Zone]++
	}
	ordered := slices.Clone(o.instances)
	slices.SortFunc(ordered, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(spread.Hash(a.Server), spread.Hash(b.Server)), cmp.Compare(a.Server, b.Server))
	})
	owned := map[string]int{}
	for _, i := range ordered {
		candidates := Owners(i.Server, i.Zone, o.entries)
		most := (inZone[i.Zone] + len(candidates) - 1) / max(len(candidates), 1)
		first := slices.IndexFunc(candidates, func(e EntryVM) bool { return owned[e.ID] < most })
		if first > 0 {
			chosen := candidates[first]
			candidates = slices.Insert(slices.Delete(candidates, first, first+1), 0, chosen)
		}
		if len(candidates) > 0 {
			owned[candidates[0].ID]++
		}
		o.owners[i.Server] = candidates
	}
}
