package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// ownersByHash returns the owners that earlier builds compute for the instances of one availability zone.
func ownersByHash(instances []placement.Instance, entries []placement.EntryVM) map[string]placement.EntryVM {
	owned, owners := map[string]int{}, map[string]placement.EntryVM{}
	most := (len(instances) + len(entries) - 1) / len(entries)
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b placement.Instance) int {
		return cmp.Compare(spread.Hash(a.Server), spread.Hash(b.Server))
	})
	for _, i := range ordered {
		all := placement.Owners(i.Server, i.Zone, entries)
		first := slices.IndexFunc(all, func(e placement.EntryVM) bool { return owned[e.ID] < most })
		owned[all[first].ID]++
		owners[i.Server] = all[first]
	}
	return owners
}

// TestEqualCapacitiesKeepOwners guards against two owners of an instance while builds are mixed: VMs of an earlier build
// know no capacities.
func TestEqualCapacitiesKeepOwners(t *testing.T) {
	large, small := placement.Capacity{Cores: 0.512, Link: 100}, placement.Capacity{Cores: 0.134, Link: 1.4}
	for _, size := range []struct{ vms, instances int }{{1, 3}, {2, 3}, {29, 8}, {60, 150}, {159, 400}} {
		for name, capacity := range map[string]func(i int) placement.Capacity{
			"unknown":     func(int) placement.Capacity { return placement.Capacity{} },
			"equal":       func(int) placement.Capacity { return small },
			"one unknown": func(i int) placement.Capacity { return []placement.Capacity{{}, large, small}[min(i, 1+i%2)] },
			"fast links":  func(i int) placement.Capacity { return placement.Capacity{Cores: 1, Link: float64(20 + i)} },
		} {
			entries, instances := zoneOf(size.vms, size.instances)
			for i := range entries {
				entries[i].Capacity = capacity(i)
			}
			o := placement.NewOwnership(instances, entries)
			for server, owner := range ownersByHash(instances, entries) {
				require.Equal(t, owner, o.Of(server)[0], name)
			}
		}
	}
}

// share returns the capacity of a VM relative to a large one without other duties.
func share(c placement.Capacity) float64 { return min(c.Cores/0.512, min(c.Link, 20)/20) }

// lowestRatio returns the lowest number of instances per share of a VM at which whole numbers suffice for all instances.
func lowestRatio(instances int, shares []float64) float64 {
	var ratios []float64
	for _, w := range shares {
		for n := range instances {
			ratios = append(ratios, float64(n+1)/w)
		}
	}
	slices.Sort(ratios)
	return ratios[instances-1]
}

// TestOwnershipFollowsCapacity guards against small entry VMs whose link carries the statements for several primaries, and
// against one large entry VM that owns all instances of its zone.
func TestOwnershipFollowsCapacity(t *testing.T) {
	for _, size := range []struct{ vms, instances int }{{10, 15}, {20, 30}, {88, 60}, {300, 60}, {300, 400}, {794, 5700}} {
		entries, instances := site(size.vms, size.instances, 5, true)
		shares, owned, zones := map[string][]float64{}, map[string]int{}, map[string]map[string]int{}
		for _, e := range entries {
			shares[e.Zone] = append(shares[e.Zone], share(e.Capacity))
			zones[e.Zone] = map[string]int{}
		}
		o := placement.NewOwnership(instances, entries)
		for _, i := range instances {
			owned[o.Of(i.Server)[0].ID]++
			zones[i.Zone][o.Of(i.Server)[0].ID]++
			require.Equal(t, i.Zone, o.Of(i.Server)[0].Zone)
		}
		ratios := map[string]float64{}
		for zone, of := range shares {
			sum := 0.0
			for _, w := range of {
				sum += w
			}
			ratios[zone] = max(lowestRatio(size.instances/5, of), 1.5*float64(size.instances/5)/sum)
		}
		for _, e := range entries {
			require.LessOrEqual(t, float64(owned[e.ID]), ratios[e.Zone]*share(e.Capacity)+1e-6, "%v: %v", size, e)
		}
		for _, vms := range zones {
			require.Greater(t, len(vms), 1, "a VM may fail")
		}
	}
}

// TestOneOwnerMayNotOwnAll guards against a zone whose instances all lose their owner with one VM.
func TestOneOwnerMayNotOwnAll(t *testing.T) {
	for count := 2; count < 12; count++ {
		entries, instances := zoneOf(2, count)
		entries[0].Capacity = placement.Capacity{Cores: 4, Link: 1000}
		entries[1].Capacity = placement.Capacity{Cores: 0.01, Link: 0.1}
		require.Len(t, placement.NewOwnership(instances, entries).First(), 2)
		require.Len(t, placement.NewOwnership(instances, entries[:1]).First(), 1)
	}
}

// TestOwnersByCapacityAgree guards against entry VMs that forward to different owners, because they learned of the VMs in
// different orders.
func TestOwnersByCapacityAgree(t *testing.T) {
	entries, instances := site(300, 400, 5, true)
	o := placement.NewOwnership(instances, entries)
	random := rand.New(rand.NewPCG(1, 0))
	for range 10 {
		shuffled, reordered := slices.Clone(entries), slices.Clone(instances)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		random.Shuffle(len(reordered), func(i, j int) { reordered[i], reordered[j] = reordered[j], reordered[i] })
		other := placement.NewOwnership(reordered, shuffled)
		require.Zero(t, other.Moved(o))
		for _, i := range instances {
			require.Equal(t, o.Of(i.Server), other.Of(i.Server))
		}
	}
}

// TestLeavingVMMovesItsOwn guards against connections that move between VMs that remain, when another one leaves halfway
// through a day: each move closes the connections to an instance and opens them elsewhere.
func TestLeavingVMMovesItsOwn(t *testing.T) {
	for _, size := range []struct{ vms, instances, leaving int }{{20, 30, 20}, {60, 60, 20}, {300, 60, 20}, {300, 400, 20}, {794, 5700, 5}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			entries, instances := site(size.vms, size.instances, 5, true)
			before := placement.NewOwnership(instances, entries)
			moved, own := 0, 0
			for n := range size.leaving {
				gone := n * 20 / size.leaving // large VMs and small ones
				after := placement.NewOwnership(instances, slices.Delete(slices.Clone(entries), gone, gone+1))
				for _, i := range instances {
					switch before.Of(i.Server)[0].ID {
					case entries[gone].ID:
						own++
					case after.Of(i.Server)[0].ID:
					default:
						moved++
					}
				}
			}
			t.Logf("left: %d VMs, which owned %d instances; %d others moved of %d", size.leaving, own, moved, size.leaving*len(instances))
			require.LessOrEqual(t, moved, max(own/2, 2))
		})
	}
}
