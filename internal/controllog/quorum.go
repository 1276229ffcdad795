package controllog

import (
	"slices"
	"sort"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// voters returns the identities of the voting members of a membership, sorted.
func voters(g *wire.Membership) []Identity {
	var ids []Identity
	for _, m := range g.GetMembers() {
		if !m.Learner {
			ids = append(ids, Identity(m.Identity))
		}
	}
	return ids
}

// quorums returns the sets of voters of a membership of each of which a majority decides: the voting members and, while one of
// them replaces another, those before the change.
func quorums(g *wire.Membership) [][]Identity {
	sets := [][]Identity{voters(g)}
	if len(g.GetPrevious()) == 0 {
		return sets
	}
	previous := make([]Identity, 0, len(g.Previous))
	for _, id := range g.Previous {
		previous = append(previous, Identity(id))
	}
	return append(sets, previous)
}

// inEveryQuorum reports whether a process is in each set of voters that decides.
func inEveryQuorum(id Identity, g *wire.Membership) bool {
	return !slices.ContainsFunc(quorums(g), func(set []Identity) bool { return !slices.Contains(set, id) })
}

// majorityValue returns the highest value that a majority of each set of voters has reached, or false if a set has none. value
// returns that of one voter, or false.
func majorityValue[T any](sets [][]Identity, value func(Identity) (T, bool), less func(a, b T) bool) (T, bool) {
	var lowest, none T
	for i, set := range sets {
		var values []T
		for _, id := range set {
			if one, ok := value(id); ok {
				values = append(values, one)
			}
		}
		if len(values) <= len(set)/2 {
			return none, false
		}
		sort.Slice(values, func(i, j int) bool { return less(values[j], values[i]) })
		if one := values[len(set)/2]; i == 0 || less(one, lowest) {
			lowest = one
		}
	}
	return lowest, true
}

// processValue returns a value function for majorityValue at a leader: its own value for itself, and for another process that of
// its follower, or false if it has none.
func processValue[T any](v *Voter, own T, of func(f *follower) T) func(Identity) (T, bool) {
	return func(id Identity) (value T, ok bool) {
		if id == v.id {
			return own, true
		}
		if f := v.followers[id]; f != nil {
			return of(f), true
		}
		return value, false
	}
}
