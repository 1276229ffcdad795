package controlstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// A commit is acknowledged once some replicas have received it, whichever they are. A failover therefore counts each replica that
// may have one, also those whose processes have ended: their departures stay in the view until the failover policy settles them.
// The list of ended instances, State.departed, is another one: it recognizes late announcements.

// recordDeparture records that the process of a member has ended. The next instance of the group at the address takes over its
// log; without an address the log is gone. A server has one departure, the latest, until it is settled: what an earlier process
// had elsewhere is not in the log that the latest one left.
func (s *State) recordDeparture(v *wire.View, m *wire.Member, address string) {
	if !s.countsForCommits(v, m) {
		return
	}
	d := &wire.Departure{Server: m.GetServer(), Address: address, Born: m.GetBorn()}
	if former, ok := getNamed(v.GetDepartures(), m.GetServer(), (*wire.Departure).GetServer); ok {
		d.Earlier = withEarlier(former)
		if former.GetAddress() != address {
			d.Address = ""
		}
	}
	v.Departures = putNamed(v.GetDepartures(), d, (*wire.Departure).GetServer)
}

// maxEarlier bounds the starts of earlier processes that a departure keeps.
const maxEarlier = 16

// withEarlier returns the starts of the processes that a departure stands for: its own and the earlier ones. Where there are too
// many, 0 stands for the latest of them, as for a process that is not known.
func withEarlier(d *wire.Departure) []uint64 {
	if len(d.GetEarlier()) < maxEarlier {
		return append(slices.Clone(d.GetEarlier()), d.GetBorn())
	}
	out := slices.Clone(d.GetEarlier())
	out[len(out)-1] = 0
	return out
}

// countsForCommits reports whether a member that ends may be the only replica with an acknowledged commit. A group that left the
// configuration may have had synchronous replicas, and have them again when it comes back.
func (s *State) countsForCommits(v *wire.View, m *wire.Member) bool {
	g, configured := s.Group(v.GetGroup())
	return (g.GetSync() > 0 || !configured) && m.GetServer() != cmp.Or(v.GetPrimary(), v.GetFormer())
}

// hasLogAt reports whether a departure left its log at an address.
func hasLogAt(departures []*wire.Departure, address string) bool {
	return slices.ContainsFunc(departures, func(d *wire.Departure) bool { return d.GetAddress() == address })
}

// withoutLogsAt returns the departures without those that left their logs at an address.
func withoutLogsAt(departures []*wire.Departure, address string) []*wire.Departure {
	if !hasLogAt(departures, address) {
		return departures
	}
	return slices.DeleteFunc(slices.Clone(departures), func(d *wire.Departure) bool { return d.GetAddress() == address })
}

// loseLogsAt returns the departures with the logs at an address marked as gone: an instance of another group uses it.
func loseLogsAt(departures []*wire.Departure, address string) []*wire.Departure {
	out := slices.Clone(departures)
	for i, d := range out {
		if d.GetAddress() == address {
			out[i] = &wire.Departure{Server: d.GetServer(), Born: d.GetBorn(), Earlier: d.GetEarlier()}
		}
	}
	return out
}

// settle removes a departure that is not needed for acknowledged commits any more.
func (s *State) settle(e *wire.Settle) {
	settled := func(d *wire.Departure) bool {
		if e.GetServer() == "" {
			return d.GetAddress() == e.GetAddress()
		}
		return d.GetServer() == e.GetServer() && d.GetBorn() == e.GetBorn()
	}
	v, ok := s.View(e.GetGroup())
	if !ok || !slices.ContainsFunc(v.GetDepartures(), settled) {
		return
	}
	s.updateView(v, func(v *wire.View) { v.Departures = slices.DeleteFunc(slices.Clone(v.GetDepartures()), settled) })
}

// withDepartures returns views of a snapshot with the departures that an earlier build recorded as addresses only. The
// address stands for the name of the server too.
func withDepartures(views []*wire.View) []*wire.View {
	out := slices.Clone(views)
	for i, v := range out {
		if len(v.GetAbsent()) > 0 {
			out[i] = withAbsent(v)
		}
	}
	return out
}

func withAbsent(v *wire.View) *wire.View {
	next := proto.CloneOf(v)
	next.Absent = nil
	for _, address := range v.GetAbsent() {
		next.Departures = putNamed(next.GetDepartures(), &wire.Departure{Server: address, Address: address}, (*wire.Departure).GetServer)
	}
	return next
}
