package controlstate

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Normalize returns a copy of a configuration with accounts, routes, groups and retired servers
// sorted by name, as a Book holds them. The error names what makes the configuration invalid.
func Normalize(c *wire.Configuration) (*wire.Configuration, error) {
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

// InvalidError tells why a published configuration was refused. It never takes effect.
type InvalidError struct {
	Reason string // what is wrong and the remedy
}

// Error returns the problem.
func (e *InvalidError) Error() string { return "contract: invalid configuration: " + e.Reason }

type named interface{ GetName() string }

func byName[T named](a, b T) int {
	return cmp.Compare(a.GetName(), b.GetName())
}

// invalid returns what is wrong with a sorted configuration, or "".
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

// checkSharedKeys returns what is wrong if two accounts share a key, or "".
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

// publish replaces the configuration by one of a higher version. A configuration of the present or
// a lower version changes nothing. Deltas across a published version are not kept.
func (s *State) publish(c *wire.Configuration) *wire.Decision {
	if c.GetVersion() > s.Version() {
		s.configuration = c
		s.baseVersion = c.GetVersion()
		s.edits = nil
		s.syncViews()
	}
	return &wire.Decision{Verdict: wire.Verdict_VERDICT_ACCEPTED, Version: s.Version()}
}

// syncViews makes views for new groups and drops those of groups that are gone.
func (s *State) syncViews() {
	kept := make([]*wire.View, 0, len(s.configuration.GetGroups()))
	for _, g := range s.configuration.GetGroups() {
		v, ok := s.View(g.GetName())
		if !ok {
			v = &wire.View{Group: g.GetName(), Revision: s.index}
		}
		kept = append(kept, v)
	}
	s.views = kept
}

// enlist takes over what an instance says of itself. The latest start of an instance counts, and at
// one address only the instance that started last: an announcement that was delayed must not bring
// back an instance that ended.
func (s *State) enlist(e *wire.Enlist) {
	m := e.GetMember()
	if _, ok := s.View(e.GetGroup()); !ok || m.GetServer() == "" || s.isOutdated(m) {
		return
	}
	for _, other := range slices.Clone(s.views) {
		s.removeReplaced(other, m, other.GetGroup() == e.GetGroup())
	}
	v, _ := s.View(e.GetGroup())
	s.updateView(v, func(v *wire.View) {
		v.Members = putNamed(v.GetMembers(), m, (*wire.Member).GetServer)
	})
}

// isOutdated reports whether a later announcement, or a later instance at the address, is known.
func (s *State) isOutdated(m *wire.Member) bool {
	for _, v := range s.views {
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

// IsNewer reports whether m was announced after known by the same instance.
func IsNewer(m, known *wire.Member) bool {
	if m.GetBorn() != known.GetBorn() {
		return m.GetBorn() > known.GetBorn()
	}
	return m.GetSequence() > known.GetSequence()
}

// removeReplaced removes members of a view that m replaces: others at its address, and m itself in another group.
func (s *State) removeReplaced(v *wire.View, m *wire.Member, sameGroup bool) {
	members := slices.DeleteFunc(slices.Clone(v.GetMembers()), func(o *wire.Member) bool {
		if o.GetServer() == m.GetServer() {
			return !sameGroup
		}
		return o.GetAddress() == m.GetAddress()
	})
	if len(members) != len(v.GetMembers()) {
		s.updateView(v, func(v *wire.View) { v.Members = members })
	}
}

// delist removes an instance that ended. A primary stays named in its view, so that a successor is
// looked for.
func (s *State) delist(server string) {
	v, ok := s.View(s.groupOfMember(server))
	if !ok {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Members = removeNamed(v.GetMembers(), server, (*wire.Member).GetServer)
	})
}

// Member returns what is known of an instance and its group.
func (s *State) Member(server string) (m *wire.Member, group string, ok bool) {
	group = s.groupOfMember(server)
	v, found := s.View(group)
	if !found {
		return nil, "", false
	}
	m, ok = getNamed(v.GetMembers(), server, (*wire.Member).GetServer)
	return m, group, ok
}
