package controlstate

import (
	"net/netip"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Limits of what an instance states of itself. A larger number comes from a writer that is no instance: it would outdate all
// later announcements of the instance, or of the others at its address.
const (
	maxBorn     = 253_402_300_799_999 // the last millisecond of the year 9999, in Unix milliseconds
	maxSequence = 1<<53 - 1           // the largest integer that every JSON encoder writes exactly
	maxSlots    = 1 << 16             // statements at once
)

// CheckMember returns an error if a member is no instance that can be used. Such an entry may come with an announcement, with
// the state of another VM or from a disk; it is ignored, and the other members hold.
func CheckMember(m *wire.Member) error {
	at, err := netip.ParseAddrPort(m.GetAddress())
	switch {
	case m.GetServer() == "" || !utf8.ValidString(m.GetServer()) || !utf8.ValidString(m.GetZone()):
		return errors.Newf("controlstate: instance %q: the name or the zone is no text", m.GetServer())
	case err != nil:
		return errors.Wrapf(err, "controlstate: instance %q: address", m.GetServer())
	case at.Port() == 0:
		return errors.Newf("controlstate: instance %q: the address %q has no port", m.GetServer(), m.GetAddress())
	case m.GetBorn() > maxBorn || m.GetLeft() < 0 || m.GetLeft() > maxBorn || m.GetSequence() > maxSequence || m.GetSlots() > maxSlots:
		return errors.Newf("controlstate: instance %q: a number is too large", m.GetServer())
	}
	return nil
}

// usableMembers returns the views without the members that cannot be used.
func usableMembers(views []*wire.View) []*wire.View {
	out := make([]*wire.View, 0, len(views))
	for _, v := range views {
		out = append(out, UsableView(v))
	}
	return out
}

// UsableView returns a view without the members that cannot be used. It returns the view itself if there are none.
func UsableView(v *wire.View) *wire.View {
	unusable := func(m *wire.Member) bool { return CheckMember(m) != nil }
	if !slices.ContainsFunc(v.GetMembers(), unusable) {
		return v
	}
	out := proto.CloneOf(v)
	out.Members = slices.DeleteFunc(out.Members, unusable)
	return out
}
