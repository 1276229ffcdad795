package controlvm

import (
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// coldTolerance is by how much an instance may stay cold for longer than the control log implies. Announcements are delayed on
// their way, and each longer value costs a log entry and an update of all entry VMs.
const coldTolerance = time.Second

// warmth tracks when the cold instances become warm according to the control log, which has no times. A leader that has not
// proposed the recorded announcement itself does not know when it was sent, and records the next one.
type warmth struct {
	proposed map[string]proposedCold // by server
}

// proposedCold is the latest announcement of a cold instance that was proposed for the control log. It is in force if the
// recorded member has the same start and sequence.
type proposedCold struct {
	born, sequence uint64
	warmAt         time.Time
}

func newWarmth() *warmth { return &warmth{proposed: map[string]proposedCold{}} }

// record records that an announcement is proposed for the control log.
func (w *warmth) record(now time.Time, m *wire.Member) {
	if m.GetCold() == 0 {
		delete(w.proposed, m.GetServer())
		return
	}
	w.proposed[m.GetServer()] = proposedCold{m.GetBorn(), m.GetSequence(), now.Add(time.Duration(m.GetCold()) * time.Millisecond)}
}

// matches reports whether an announcement changes nothing in what the known member says of the warm-up: both are warm, or the
// instance becomes warm when the record says. Nothing is sent to an evacuated instance, so only the end of its warm-up counts.
func (w *warmth) matches(now time.Time, m, known *wire.Member) bool {
	if (m.GetCold() == 0) != (known.GetCold() == 0) {
		return false
	}
	if m.GetCold() == 0 || known.GetEvacuated() {
		return true
	}
	p, ok := w.proposed[m.GetServer()]
	if !ok || p.born != known.GetBorn() || p.sequence != known.GetSequence() {
		return false
	}
	return time.Duration(m.GetCold())*time.Millisecond <= p.warmAt.Sub(now)+coldTolerance
}

// warmUpMember returns the member without its warm-up if its group has no limit for cold instances.
func (vm *VM) warmUpMember(group string, m *wire.Member) *wire.Member {
	if g, _ := vm.state.Group(group); g.GetWarmup() > 0 || m.GetCold() == 0 {
		return m
	}
	m = proto.CloneOf(m)
	m.Cold = 0
	return m
}
