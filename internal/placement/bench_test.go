package placement_test

import (
	"fmt"
	"testing"

	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// BenchmarkOwnership measures the computation after a change of the entry VMs, in five availability zones.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ vms, instances int }{{300, 60}, {794, 5700}} {
		for _, mixed := range []bool{false, true} {
			entries, instances := site(size.vms, size.instances, 5, mixed)
			b.Run(fmt.Sprintf("vms=%d/instances=%d/mixed=%t", size.vms, size.instances, mixed), func(b *testing.B) {
				for b.Loop() {
					placement.NewOwnership(instances, entries).Of("i-0000000000")
				}
			})
		}
	}
}

// site returns entry VMs and instances that are spread over availability zones. With mixed set, the first VMs of each
// zone are large ones, of which half also serve control.
func site(vms, count, zones int, mixed bool) (entries []placement.EntryVM, instances []placement.Instance) {
	for i := range vms {
		e := placement.EntryVM{ID: fmt.Sprintf("10.1.0.%d:7001", i), Address: fmt.Sprintf("10.1.0.%d:7021", i), Zone: fmt.Sprint("zone-", i%zones)}
		large := placement.Capacity{Cores: 0.512, Link: 100}
		switch number := i / zones; {
		case !mixed:
		case number < 2:
			e.Capacity = large
		case number < 4:
			e.Capacity = large.BesideControl()
		case number%2 == 0:
			e.Capacity = placement.Capacity{Cores: 0.192, Link: 2}
		default:
			e.Capacity = placement.Capacity{Cores: 0.134, Link: 1.4}
		}
		entries = append(entries, e)
	}
	for i := range count {
		instances = append(instances, placement.Instance{Server: fmt.Sprintf("i-%010d", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return entries, instances
}
