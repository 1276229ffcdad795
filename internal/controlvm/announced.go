package controlvm

import (
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// announced are the latest announcements of instances to this leader. The control log records changes only, so it does not
// show which announcement was the last one before an instance ended.
type announced struct {
	latest map[string]*wire.Member // by server
	ended  map[string]bool         // no announcement has been sent since the end of the instance
}

func newAnnounced() *announced {
	return &announced{latest: map[string]*wire.Member{}, ended: map[string]bool{}}
}

// observe records an announcement. It returns false for one that was sent before the end of its instance.
func (a *announced) observe(m *wire.Member) bool {
	server := m.GetServer()
	newer := controlstate.IsNewer(m, a.latest[server])
	if a.ended[server] && !newer && m.GetBorn() > 0 {
		return false
	}
	if newer {
		a.latest[server] = m
	}
	delete(a.ended, server)
	return true
}

// end records the end of an instance. It returns the record of it for the control log.
func (a *announced) end(known *wire.Member) *wire.Delist {
	server := known.GetServer()
	if controlstate.IsNewer(known, a.latest[server]) {
		a.latest[server] = known
	}
	a.ended[server] = true
	return &wire.Delist{Server: server, Born: a.latest[server].GetBorn(), Sequence: a.latest[server].GetSequence()}
}
