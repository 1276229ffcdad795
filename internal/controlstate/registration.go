package controlstate

import (
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// maxRegistrationEdits bounds the changes of registrations kept for deltas. An entry VM that is further behind gets all
// registrations.
const maxRegistrationEdits = 4096

// registrationEdit is a change of one registration.
type registrationEdit struct {
	index        uint64
	entry        string
	registration *wire.Registration // nil if it was removed
}

// RegistrationIndex returns the log index of the latest change to the registrations.
func (s *State) RegistrationIndex() uint64 { return s.registrationIndex }

// Registrations returns the registered entry VMs, sorted by identity; read-only.
func (s *State) Registrations() []*wire.Registration { return s.registrations }

// FillRegistrations sets the registrations in an update for a receiver that has those of a log index; 0 for none. With
// parts it gets the changes if they are still kept. All of them, for each entry VM and each change, would grow with the
// square of the number of entry VMs.
func (s *State) FillRegistrations(u *wire.Update, index uint64, parts bool) {
	u.Entered = s.registrationIndex
	if !parts || index == 0 || index < s.registrationBase {
		u.Entries = s.registrations
		return
	}
	u.Since = index
	sent := map[string]bool{}
	for i := len(s.registrationEdits) - 1; i >= 0 && s.registrationEdits[i].index > index; i-- {
		e := s.registrationEdits[i]
		switch {
		case sent[e.entry]:
		case e.registration == nil:
			u.Gone = append(u.Gone, e.entry)
		default:
			u.Entries = append(u.Entries, e.registration)
		}
		sent[e.entry] = true
	}
}

// applyRegistrations applies the registrations of an update. Changes of registrations that this copy does not have yet
// are not applied.
func (s *State) applyRegistrations(u *wire.Update) {
	switch {
	case u.GetEntered() <= s.registrationIndex || u.GetSince() > s.registrationIndex:
		return
	case u.GetSince() == 0:
		s.registrations = u.GetEntries()
	default:
		for _, name := range u.GetGone() {
			s.registrations = removeNamed(s.registrations, name, (*wire.Registration).GetEntry)
		}
		for _, r := range u.GetEntries() {
			s.registrations = putNamed(s.registrations, r, (*wire.Registration).GetEntry)
		}
	}
	s.registrationIndex = u.GetEntered()
}

// register adds an entry VM. It replaces an entry VM registered under the same process name, since only one
// process at a time can have that name.
func (s *State) register(r *wire.Registration) {
	if r.GetEntry() == "" {
		return
	}
	for _, o := range s.registrations {
		if r.GetProcess() != "" && o.GetProcess() == r.GetProcess() && o.GetEntry() != r.GetEntry() {
			s.dropRegistration(o.GetEntry())
		}
	}
	s.putRegistration(r)
}

// markLapsed records that everything an entry VM held has expired. The entry VM must register again before it
// is granted anything.
func (s *State) markLapsed(entryVM string) {
	r, ok := getNamed(s.registrations, entryVM, (*wire.Registration).GetEntry)
	if !ok || r.GetLapsed() {
		return
	}
	r = proto.CloneOf(r)
	r.Lapsed = true
	s.putRegistration(r)
}

func (s *State) putRegistration(r *wire.Registration) {
	s.registrations = putNamed(s.registrations, r, (*wire.Registration).GetEntry)
	s.recordRegistration(registrationEdit{s.index, r.GetEntry(), r})
}

func (s *State) dropRegistration(entryVM string) {
	s.registrations = removeNamed(s.registrations, entryVM, (*wire.Registration).GetEntry)
	s.recordRegistration(registrationEdit{s.index, entryVM, nil})
}

// recordRegistration keeps a change for deltas.
func (s *State) recordRegistration(e registrationEdit) {
	s.registrationIndex = e.index
	s.registrationEdits = append(s.registrationEdits, e)
	if drop := len(s.registrationEdits) - maxRegistrationEdits; drop > 0 {
		s.registrationBase = s.registrationEdits[drop-1].index
		s.registrationEdits = append(s.registrationEdits[:0], s.registrationEdits[drop:]...)
	}
}
