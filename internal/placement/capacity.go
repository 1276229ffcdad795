package placement

import (
	"math"
	"slices"
)

const (
	// maxUsableLink is the bandwidth in Mbit/s beyond which a faster link adds nothing: the connections to one instance
	// carry far less.
	maxUsableLink = 20
	// controlShare is the part of the capacity of a VM that counts if the VM also carries the work of the control group.
	controlShare = 0.5
	// ownershipSlack is the ratio of what an entry VM may own to its exact share. The closer to 1, the more instances whose
	// owners remain move when a VM leaves.
	ownershipSlack = 1.5
	// roundingMargin is above the error of a product of two numbers that is a whole number.
	roundingMargin = 1e-9
)

// Capacity is the part of a VM's resources that counts for ownership; 0 for what is not known.
type Capacity struct {
	Cores float64
	Link  float64 // Mbit/s
}

// BesideControl returns the capacity of a VM that also carries the work of the control group.
func (c Capacity) BesideControl() Capacity {
	return Capacity{Cores: controlShare * c.Cores, Link: controlShare * min(c.Link, maxUsableLink)}
}

// weights returns the capacity of each entry VM relative to the largest, by the scarcer of its processor and its link. It
// is 1 for all if nothing is known. A resource that an entry VM does not report counts for none: VMs of earlier builds report
// neither, and the owners that they compute are those by hash alone.
func weights(entries []EntryVM) []float64 {
	out := make([]float64, len(entries))
	for i := range out {
		out[i] = 1
	}
	limitWeights(out, entries, func(c Capacity) float64 { return c.Cores })
	limitWeights(out, entries, func(c Capacity) float64 { return min(c.Link, maxUsableLink) })
	return out
}

// allEqual reports whether all weights are the same.
func allEqual(weights []float64) bool {
	return !slices.ContainsFunc(weights, func(w float64) bool { return w != weights[0] })
}

// limitWeights lowers the weights to the share of a resource relative to the VM that has most of it.
func limitWeights(weights []float64, entries []EntryVM, resource func(Capacity) float64) {
	most := 0.0
	for i := range entries {
		amount := resource(entries[i].Capacity)
		if !(amount > 0) || math.IsInf(amount, 1) {
			return
		}
		most = max(most, amount)
	}
	for i := range entries {
		weights[i] = min(weights[i], resource(entries[i].Capacity)/most)
	}
}

// ownershipLimits returns how many of count instances each entry VM of an availability zone may own. It is in proportion
// to the weights, with the lowest ratio at which all instances have an owner, or ownershipSlack if that is more. No entry
// VM may own all of several instances unless it is the only one, since it may fail.
//
// With equal weights it is the number of instances divided by that of the entry VMs, rounded up.
func ownershipLimits(count int, weights []float64) []int {
	most := count
	if len(weights) > 1 && count > 1 {
		most = count - 1
	}
	limits := make([]int, len(weights))
	if len(weights) == 0 {
		return limits
	}
	ratio, sum := 0.0, 0.0
	for range count {
		best, least := -1, math.Inf(1)
		for i, w := range weights {
			if next := float64(limits[i]+1) / w; limits[i] < most && next < least {
				best, least = i, next
			}
		}
		limits[best]++
		ratio = least
	}
	for _, w := range weights {
		sum += w
	}
	if !allEqual(weights) {
		ratio = max(ratio, ownershipSlack*float64(count)/sum)
	}
	for i, w := range weights {
		limits[i] = min(int(ratio*w+roundingMargin), most)
	}
	return limits
}
