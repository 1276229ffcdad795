package proxy

import (
	"fmt"
	"slices"
	"strings"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// isHome reports whether a zone is in one of the home regions. An empty list allows all zones, and so do unknown regions.
func isHome(regions map[string]string, homes []string, zone string) bool {
	if len(homes) == 0 || len(regions) == 0 {
		return true
	}
	region, known := regions[zone]
	return known && slices.Contains(homes, region)
}

// runsAt reports whether the statement may run at an instance: it is in the homes of the route and of the client account.
func (e *execution) runsAt(m *member) bool {
	regions := e.session.proxy.options.Regions
	return isHome(regions, e.permit.route.homes, m.zone) && isHome(regions, e.permit.account.homes, m.zone)
}

// hasHomes reports whether the route or the client account has home regions.
func (e *execution) hasHomes() bool {
	return len(e.permit.route.homes) > 0 || len(e.permit.account.homes) > 0
}

// refuseHome records that no instance, or no primary, that could run the statement is in its homes.
func (e *execution) refuseHome(what string) {
	e.recordFailure(operation.Answer{Code: operation.Busy, Detail: what}, reasonHome)
}

// homeDetail returns the text of a refusal that names the regions.
func (e *execution) homeDetail() string {
	var limits []string
	if homes := e.permit.route.homes; len(homes) > 0 {
		limits = append(limits, "the route allows "+strings.Join(homes, ", "))
	}
	if homes := e.permit.account.homes; len(homes) > 0 {
		limits = append(limits, "client account "+e.permit.account.name+" allows "+strings.Join(homes, ", "))
	}
	return fmt.Sprintf("the statement did not run: no %s of group %s is in its home regions (%s); change these regions or come back in %s",
		e.lastAnswer.Detail, e.permit.route.group.name, strings.Join(limits, "; "), retryAfter(reasonHome))
}

// allOutside reports whether all instances that take reads are outside the homes of a statement.
func (g *group) allOutside(allowed func(*member) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	outside := false
	for _, m := range g.members {
		switch {
		case m.leaving || m.evacuated:
		case allowed(m):
			return false
		default:
			outside = true
		}
	}
	return outside
}

// sameRegion reports whether an entry VM may forward statements to an instance: both are in one region, or regions are not known.
func (g *group) sameRegion(entryZone, instanceZone string) bool {
	return len(g.regions) == 0 || entryZone == instanceZone || g.regions[entryZone] == g.regions[instanceZone]
}
