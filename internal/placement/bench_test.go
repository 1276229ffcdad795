package placement_test

import (
	"fmt"
	"testing"

	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// BenchmarkOwnership measures the computation after a change of the entry VMs, with 60 instances and 300 entry VMs in five
// availability zones.
func BenchmarkOwnership(b *testing.B) {
	var entries []placement.EntryVM
	for i := range 300 {
		entries = append(entries, placement.EntryVM{ID: fmt.Sprintf("10.1.0.%d:7001", i), Address: fmt.Sprintf("10.1.0.%d:7021", i), Zone: fmt.Sprint("zone-", i%5)})
	}
	var instances []placement.Instance
	for i := range 60 {
		instances = append(instances, placement.Instance{Server: fmt.Sprintf("i-%010d", i), Zone: fmt.Sprint("zone-", i%5)})
	}
	for b.Loop() {
		placement.NewOwnership(instances, entries).Of("i-0000000000")
	}
}
