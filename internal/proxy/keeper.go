package proxy

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// maxKeepers is the number of entry VMs that are tried as the keeper.
const maxKeepers = 2

// zoneKeeper chooses the entry VM that keeps something for all entry VMs of an availability zone. All of them choose the
// same one. It is safe for concurrent use.
type zoneKeeper struct {
	key string                                                              // what is kept
	vms func(zone string, entries *[]placement.EntryVM) []placement.EntryVM // those that keep such things, in the zone or anywhere

	mu         sync.Mutex
	ordered    []placement.EntryVM  // that may be the keeper, preferred first
	from       *[]placement.EntryVM // list from which ordered was computed
	avoidUntil map[string]time.Time // by address of a keeper that did not answer, or keeps nothing
}

// newZoneKeeper returns a zoneKeeper without a choice.
func newZoneKeeper(key string, vms func(zone string, entries *[]placement.EntryVM) []placement.EntryVM) *zoneKeeper {
	return &zoneKeeper{key: key, vms: vms, avoidUntil: map[string]time.Time{}}
}

// candidates returns the entry VMs of the zone that may be the keeper, preferred first.
func (k *zoneKeeper) candidates(zone string, entries *[]placement.EntryVM) []placement.EntryVM {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.from != entries {
		k.ordered, k.from = placement.Owners(k.key, zone, k.vms(zone, entries)), entries
	}
	return k.ordered[:min(len(k.ordered), maxKeepers)]
}

// address returns the address of the keeper, or "" if that is this VM or none can be used.
func (k *zoneKeeper) address(now time.Time, p *Proxy) string {
	for _, e := range k.candidates(p.options.Node.Zone, p.entries.Load()) {
		if e.ID == p.options.Process {
			return ""
		}
		if !k.avoids(now, e.Address) && p.forward.Usable(e.Address) {
			return e.Address
		}
	}
	return ""
}

// avoid keeps the keeper at an address from being chosen for a period.
func (k *zoneKeeper) avoid(now time.Time, address string, period time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.avoidUntil[address] = now.Add(period)
}

func (k *zoneKeeper) avoids(now time.Time, address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.avoidUntil[address])
}

// keeperVMs are the entry VMs of an availability zone that may keep something, for the latest list of entry VMs. Hundreds
// of keepers are chosen among them after each change of the list. It is safe for concurrent use.
type keeperVMs struct {
	mu   sync.Mutex
	from *[]placement.EntryVM
	vms  []placement.EntryVM
}

// of returns the entry VMs for a list, and computes them if it is not that of the last call.
func (k *keeperVMs) of(entries *[]placement.EntryVM, compute func() []placement.EntryVM) []placement.EntryVM {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.from != entries {
		k.vms, k.from = compute(), entries
	}
	return k.vms
}
