package controlvm

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
)

// notice decides when the streams of updates are woken. With hundreds of entry VMs each commit of a registration would
// otherwise wake all streams, and after a restart of all there are as many registrations as streams.
type notice struct {
	version       uint64
	views         uint64 // log index of the latest change of a view
	registrations uint64
	at            time.Time // of the last notice
}

// due reports whether the state has changes to tell, and records them as told. Changes of registrations alone are told
// together, at most once per registrationInterval.
func (n *notice) due(now time.Time, s *controlstate.State) bool {
	mark := s.Mark(nil)
	urgent := mark.GetVersion() != n.version || mark.GetIndex() != n.views
	if !urgent && (s.RegistrationIndex() == n.registrations || now.Sub(n.at) < registrationInterval) {
		return false
	}
	*n = notice{version: mark.GetVersion(), views: mark.GetIndex(), registrations: s.RegistrationIndex(), at: now}
	return true
}

// wakeWatchers wakes the streams if there is something to tell, and those that wait for any progress.
func (vm *VM) wakeWatchers(now time.Time) {
	due := vm.notice.due(now, vm.state)
	for w := range vm.watchers {
		if due || w.eager {
			signal(w.wake)
		}
	}
}
