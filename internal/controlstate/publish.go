package controlstate

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Normalize returns a copy of a configuration with accounts, routes, groups and retired servers sorted by
// name, as State requires. It returns an *InvalidError if the configuration is invalid.
func Normalize(c *wire.Configuration) (*wire.Configuration, error) {
	if c == nil {
		return nil, &InvalidError{Reason: "it is empty; send the complete one"}
	}
	c = proto.CloneOf(c)
	slices.SortFunc(c.Accounts, byName[*wire.Account])
	slices.SortFunc(c.Routes, byName[*wire.Route])
	slices.SortFunc(c.Groups, byName[*wire.Group])
	slices.Sort(c.Retired)
	if problem := validate(c); problem != "" {
		return nil, &InvalidError{Reason: problem}
	}
	return c, nil
}

// InvalidError is the reason why a published configuration was refused. The configuration never takes effect.
type InvalidError struct {
	Reason string // what is wrong and the remedy
}

// Error returns the reason. The HTTP interface returns this text to operators, so it keeps its prefix.
func (e *InvalidError) Error() string { return "contract: invalid configuration: " + e.Reason }

type named interface{ GetName() string }

func byName[T named](a, b T) int {
	return cmp.Compare(a.GetName(), b.GetName())
}

// validate returns what is wrong with a sorted configuration, or "" if it is valid.
func validate(c *wire.Configuration) string {
	switch {
	case !sorted(c.GetAccounts(), (*wire.Account).GetName):
		return "two accounts have the same name; rename one"
	case !sorted(c.GetRoutes(), (*wire.Route).GetName):
		return "two routes have the same name; rename one"
	case !sorted(c.GetGroups(), (*wire.Group).GetName):
		return "two groups have the same name; rename one"
	}
	for _, r := range c.GetRoutes() {
		if _, ok := getNamed(c.GetGroups(), r.GetGroup(), (*wire.Group).GetName); !ok {
			return fmt.Sprintf("route %q names the unknown group %q; add the group or correct the route", r.GetName(), r.GetGroup())
		}
		if r.GetTimeout() <= 0 {
			return fmt.Sprintf("route %q has a timeout of %d ms; give one above 0", r.GetName(), r.GetTimeout())
		}
	}
	return checkSharedKeys(c)
}

// checkSharedKeys returns an error text if two accounts share a key, or "".
func checkSharedKeys(c *wire.Configuration) string {
	owners := map[string]string{}
	for _, a := range c.GetAccounts() {
		for _, k := range a.GetKeys() {
			owner, used := owners[string(k.GetDigest())]
			if used && owner != a.GetName() {
				return fmt.Sprintf("accounts %q and %q share a key; withdraw it from one of them", owner, a.GetName())
			}
			owners[string(k.GetDigest())] = a.GetName()
		}
	}
	return ""
}

// publish replaces the configuration with one of a higher version. A configuration of the current or a lower
// version has no effect.
func (s *State) publish(c *wire.Configuration) *wire.Decision {
	if c.GetVersion() > s.Version() {
		s.keepDifference(c)
		s.setConfiguration(c)
		s.syncViews()
	}
	return &wire.Decision{Verdict: wire.Verdict_VERDICT_ACCEPTED, Version: s.Version()}
}

// Published reports whether the current configuration was published as a whole.
func (s *State) Published() bool { return s.configuration.GetDocument() != nil }

// syncViews adds views for new groups and drops those of groups that no longer exist.
func (s *State) syncViews() {
	for _, v := range s.views {
		if _, ok := s.Group(v.GetGroup()); !ok {
			s.dropView(v.GetGroup())
		}
	}
	for _, g := range s.configuration.GetGroups() {
		s.addView(g.GetName())
	}
}

// enlist records the announcement of an instance. Only the latest start of an instance counts, and at one
// address only the instance that started last: a delayed announcement must not bring back an instance that
// has ended.
func (s *State) enlist(e *wire.Enlist) {
	m := e.GetMember()
	if _, ok := s.knownView(e.GetGroup()); !ok || CheckMember(m) != nil || s.isOutdated(m) {
		return
	}
	for _, other := range s.allViews() {
		s.removeReplaced(other, m, other.GetGroup() == e.GetGroup())
	}
	v, _ := s.knownView(e.GetGroup())
	s.updateView(v, func(v *wire.View) {
		if known, ok := getNamed(v.GetMembers(), m.GetServer(), (*wire.Member).GetServer); ok && known.GetBorn() != m.GetBorn() {
			s.recordDeparture(v, known, "")
		}
		v.Members = putNamed(v.GetMembers(), s.marked(m), (*wire.Member).GetServer)
		v.Departures = withoutLogsAt(v.GetDepartures(), m.GetAddress())
	})
}

// isOutdated reports whether a later announcement of the instance, or an instance that started later at the
// same address, is recorded.
func (s *State) isOutdated(m *wire.Member) bool {
	for _, v := range s.allViews() {
		for _, known := range v.GetMembers() {
			if known.GetServer() == m.GetServer() && !IsNewer(m, known) {
				return true
			}
			if known.GetServer() != m.GetServer() && known.GetAddress() == m.GetAddress() && known.GetBorn() > m.GetBorn() {
				return true
			}
		}
	}
	return false
}

// IsNewer reports whether m, announced by the same instance as known, is the later announcement.
func IsNewer(m, known *wire.Member) bool {
	if m.GetBorn() != known.GetBorn() {
		return m.GetBorn() > known.GetBorn()
	}
	return m.GetSequence() > known.GetSequence()
}

// removeReplaced removes the members of a view that m replaces: other instances at its address, and m itself
// unless the view is that of its own group. The logs of these are gone: an instance takes over a log only from one of its own
// group that reported its end.
func (s *State) removeReplaced(v *wire.View, m *wire.Member, sameGroup bool) {
	replaced := func(o *wire.Member) bool {
		if o.GetServer() == m.GetServer() {
			return !sameGroup
		}
		return o.GetAddress() == m.GetAddress()
	}
	reused := !sameGroup && hasLogAt(v.GetDepartures(), m.GetAddress())
	if !reused && !slices.ContainsFunc(v.GetMembers(), replaced) {
		return
	}
	s.updateView(v, func(v *wire.View) {
		if reused {
			v.Departures = loseLogsAt(v.GetDepartures(), m.GetAddress())
		}
		members := v.GetMembers()
		v.Members = slices.DeleteFunc(slices.Clone(members), replaced)
		for _, o := range members {
			if replaced(o) {
				s.recordDeparture(v, o, "")
			}
		}
	})
}

// delist removes an instance that has ended. If it was the primary, the view still names it, so that the
// failover procedure looks for a successor. Its end leaves no departure while its group is not in the configuration: nobody
// promotes a successor of its primary then, and without a primary no departure would ever be settled.
func (s *State) delist(d *wire.Delist) {
	v, ok := s.viewOfMember(d.GetServer())
	if !ok {
		return
	}
	_, configured := s.Group(v.GetGroup())
	ended, _ := getNamed(v.GetMembers(), d.GetServer(), (*wire.Member).GetServer)
	s.updateView(v, func(v *wire.View) {
		v.Members = removeNamed(v.GetMembers(), d.GetServer(), (*wire.Member).GetServer)
		if configured {
			s.recordDeparture(v, ended, ended.GetAddress())
		}
	})
	s.departed = append(slices.Clip(s.departed), d)
	s.departed = s.departed[max(len(s.departed)-maxDeparted, 0):]
}

// HasDeparted reports whether an announcement was sent before the end of its instance. The instance may have started
// again since. One that does not state its start is never reported, since its counts start anew.
func (s *State) HasDeparted(m *wire.Member) bool {
	if m.GetBorn() == 0 {
		return false
	}
	return slices.ContainsFunc(s.departed, func(d *wire.Delist) bool {
		return d.GetServer() == m.GetServer() && !IsNewer(m, &wire.Member{Born: d.GetBorn(), Sequence: d.GetSequence()})
	})
}

// Member returns the recorded member for an instance and the group that it belongs to, which may have left the configuration.
func (s *State) Member(server string) (m *wire.Member, group string, ok bool) {
	v, found := s.viewOfMember(server)
	if !found {
		return nil, "", false
	}
	m, ok = getNamed(v.GetMembers(), server, (*wire.Member).GetServer)
	return m, v.GetGroup(), ok
}
