package failover

import "time"

// evacuatePrimary starts a planned switchover away from an evacuated primary, and reports whether it did so. Without a member
// that may lead instead the primary stays: it is not dismissed, and neither are evacuated replicas.
func (g *group) evacuatePrimary(now time.Time) bool {
	s := g.servers[g.primary()]
	if s == nil || !s.evacuated || now.Sub(g.lastSwitchover) < switchoverBackoff || g.successor(now) == "" {
		return false
	}
	g.lastSwitchover = now
	g.startSwitchover(now, "")
	return g.stage != steady
}

// replaceTarget chooses another target for a switchover whose target has been evacuated since it began. Without one the target
// is left open, and evacuated members are considered last.
func (g *group) replaceTarget(now time.Time) {
	if s := g.servers[g.target]; s == nil || !s.evacuated {
		return
	}
	g.target, g.catchUpPolls = g.successor(now), 0
}

// rank orders members with equal logs as successors: 0 for those without a known problem, 1 for retired ones, 2 for evacuated
// ones.
func (s *server) rank() int {
	switch {
	case s.evacuated:
		return 2
	case !s.retired.IsZero():
		return 1
	}
	return 0
}
