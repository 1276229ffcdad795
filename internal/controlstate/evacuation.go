package controlstate

import (
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// maxOrders bounds the ids of evacuation orders that are remembered. A VM resends an order for a second at most, so
// a resent order arrives long before that many later ones.
const maxOrders = 256

// UnknownZoneError is the reason why an evacuation order was refused: neither the settings nor a recorded instance names the zone.
type UnknownZoneError struct {
	Zone string
}

// Error names the zone and the remedy.
func (e *UnknownZoneError) Error() string {
	return "availability zone " + QuoteZone(e.Zone) + " is unknown; use a zone of the settings or of an instance, see status"
}

// QuoteZone returns a zone for a message, shortened, since a caller may send any text.
func QuoteZone(zone string) string {
	const limit = 64
	if len(zone) > limit {
		zone = zone[:limit] + "..."
	}
	return strconv.Quote(zone)
}

// CheckEvacuation returns an error if an order cannot be recorded. State ignores such an order.
func CheckEvacuation(e *wire.Evacuation) error {
	switch {
	case e.GetZone() == "" || !utf8.ValidString(e.GetZone()):
		return errors.WithHint(errors.New("controlstate: evacuation: the zone is empty or no text"), "name an availability zone")
	case e.GetId() == "" || !utf8.ValidString(e.GetId()):
		return errors.WithHint(errors.New("controlstate: evacuation: the order has no id"), "send it again with a random one")
	}
	return nil
}

// EvacuatedZones returns the availability zones that are evacuated, sorted; read-only.
func (s *State) EvacuatedZones() []string { return s.evacuated }

// IsEvacuated reports whether an availability zone is evacuated.
func (s *State) IsEvacuated(zone string) bool {
	_, ok := slices.BinarySearch(s.evacuated, zone)
	return ok
}

// HasZone reports whether an availability zone is evacuated or that of a recorded instance.
func (s *State) HasZone(zone string) bool {
	return s.IsEvacuated(zone) || slices.ContainsFunc(s.views, func(v *wire.View) bool {
		return slices.ContainsFunc(v.GetMembers(), func(m *wire.Member) bool { return m.GetZone() == zone })
	})
}

// evacuate applies an order. One that was applied before has no effect, since a later order may have superseded it.
// The id of an order that changes nothing is recorded too: a retry of it may arrive after a later order.
func (s *State) evacuate(e *wire.Evacuation) {
	if CheckEvacuation(e) != nil || slices.Contains(s.orders, e.GetId()) {
		return
	}
	s.orders = append(slices.Clip(s.orders), e.GetId())
	s.orders = s.orders[max(len(s.orders)-maxOrders, 0):]
	if e.GetWithdrawn() {
		s.evacuated = removeNamed(s.evacuated, e.GetZone(), identity)
	} else {
		s.evacuated = putNamed(s.evacuated, e.GetZone(), identity)
	}
	s.markZone(e.GetZone())
}

// markZone sets the marks of the recorded members of a zone. It copies the list of views once, since a zone may have a
// member of every group.
func (s *State) markZone(zone string) {
	views := slices.Clone(s.views)
	for i, v := range views {
		if slices.ContainsFunc(v.GetMembers(), func(m *wire.Member) bool { return m.GetZone() == zone && m.GetEvacuated() != s.IsEvacuated(zone) }) {
			views[i] = s.nextView(v, func(v *wire.View) { v.Members = s.markedAll(v.GetMembers()) })
		}
	}
	s.views = views
}

// markedAll returns a copy of a list of members with the marks of their zones.
func (s *State) markedAll(members []*wire.Member) []*wire.Member {
	out := make([]*wire.Member, len(members))
	for i, m := range members {
		out[i] = s.marked(m)
	}
	return out
}

// marked returns a member with the mark of its zone. The mark is never taken from an announcement.
func (s *State) marked(m *wire.Member) *wire.Member {
	evacuated := s.IsEvacuated(m.GetZone())
	if m.GetEvacuated() == evacuated {
		return m
	}
	m = proto.CloneOf(m)
	m.Evacuated = evacuated
	return m
}
