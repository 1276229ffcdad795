package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// EntryVM is an entry VM that may own the connections to backend servers.
type EntryVM struct {
	ID      string // identity of the process, which a restart keeps
	Address string // of its listener for statements of other entry VMs
	Zone    string
	Capacity
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
	order := make([]ranked, len(near))
	for i := range near {
		order[i] = ranked{spread.Hash(near[i].ID, key), i}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	owners := make([]EntryVM, len(near))
	for i, r := range order {
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

// Ownership assigns each instance the entry VMs that may own the connections to it. The statements of all client
// accounts for an instance thus meet at one entry VM, which can share the few slots and connections without messages.
// It is computed on first use and safe for concurrent use.
//
// Invariant: no entry VM is the first for more instances than ownershipLimits allows. The link of a small entry VM carries
// the statements for about one primary.
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

// Sole returns the entry VM that alone may send to an instance: the preferred owner of its connections or, if there is none in its
// availability zone, the first by rendezvous hashing of those in the zones that are allowed. It is the zero EntryVM if there is none.
func (o *Ownership) Sole(server string, allowed func(zone string) bool) EntryVM {
	if owners := o.Of(server); len(owners) > 0 {
		return owners[0]
	}
	var sole EntryVM
	for _, e := range o.entries {
		if e.Address != "" && allowed(e.Zone) && (sole.ID == "" || spread.Hash(e.ID, server) > spread.Hash(sole.ID, server)) {
			sole = e
		}
	}
	return sole
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

// Moved returns the number of instances whose first entry VM differs from that in a former Ownership.
func (o *Ownership) Moved(former *Ownership) int {
	moved := 0
	for _, i := range o.instances {
		before, after := former.Of(i.Server), o.Of(i.Server)
		if len(before) > 0 && len(after) > 0 && before[0].ID != after[0].ID {
			moved++
		}
	}
	return moved
}

// assign gives each instance, in an order by hash, the first of its entry VMs that may own another one.
func (o *Ownership) assign() {
	o.owners = make(map[string][]EntryVM, len(o.instances))
	zones := o.zones()
	ordered := slices.Clone(o.instances)
	slices.SortFunc(ordered, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(spread.Hash(a.Server), spread.Hash(b.Server)), cmp.Compare(a.Server, b.Server))
	})
	for _, i := range ordered {
		o.owners[i.Server] = zones[i.Zone].assign(i.Server)
	}
}

// zones returns the entry VMs of the availability zones of the instances.
func (o *Ownership) zones() map[string]*ownerZone {
	count := map[string]int{}
	for _, i := range o.instances {
		count[i.Zone]++
	}
	zones := map[string]*ownerZone{}
	for name := range count {
		zones[name] = &ownerZone{}
	}
	weights := weights(o.entries)
	for i, e := range o.entries {
		z := zones[e.Zone]
		if z == nil || e.Address == "" {
			continue
		}
		z.entries = append(z.entries, e)
		z.weights = append(z.weights, weights[i])
	}
	for name, z := range zones {
		z.free = ownershipLimits(count[name], z.weights)
		if allEqual(z.weights) {
			z.weights = nil
		}
	}
	return zones
}

// ownerZone is the state of the computation for one availability zone.
type ownerZone struct {
	entries []EntryVM
	weights []float64 // of entries, relative to each other; nil if all are equal
	free    []int     // how many more instances each of entries may own
}

// assign returns the entry VMs for an instance, preferred first.
func (z *ownerZone) assign(server string) []EntryVM {
	if len(z.entries) == 0 {
		return nil
	}
	var best [maxOwners]scored
	ranked := best[:0]
	first := scored{index: -1}
	for i := range z.entries {
		s := z.score(server, i)
		if z.free[i] > 0 && (first.index < 0 || s.less(first)) {
			first = s
		}
		ranked = insert(ranked, s)
	}
	z.free[first.index]--
	owners := make([]EntryVM, 0, maxOwners)
	owners = append(owners, z.entries[first.index])
	for _, s := range ranked {
		if s.index != first.index && len(owners) < maxOwners {
			owners = append(owners, z.entries[s.index])
		}
	}
	return owners
}

// scored is an entry VM in the order for an instance, by weighted rendezvous hashing: an entry VM comes first with a
// probability in proportion to its weight, and a change of one changes the order of no two others.
type scored struct {
	distance float64 // lowest first
	hash     uint64  // highest first among equal distances
	index    int
}

// score returns the place of an entry VM in the order for an instance. With equal weights the order is that of Owners.
func (z *ownerZone) score(server string, i int) scored {
	s := scored{hash: spread.Hash(z.entries[i].ID, server), index: i}
	if z.weights != nil {
		const half = 0.5 // keeps the logarithm finite
		s.distance = -math.Log((float64(s.hash>>11)+half)/(1<<53)) / z.weights[i]
	}
	return s
}

func (s scored) less(x scored) bool {
	if s.distance != x.distance {
		return s.distance < x.distance
	}
	return s.hash > x.hash
}

// insert adds an entry VM to the first ones of an order, up to the capacity of the slice.
func insert(ranked []scored, s scored) []scored {
	if len(ranked) == cap(ranked) {
		if !s.less(ranked[len(ranked)-1]) {
			return ranked
		}
		ranked = ranked[:len(ranked)-1]
	}
	at := len(ranked)
	for at > 0 && s.less(ranked[at-1]) {
		at--
	}
	return slices.Insert(ranked, at, s)
}
