// Package controlstate holds what the control log has agreed on: the configuration, the outcomes of
// operators' changes, the terms, primaries and members of database groups, and the entry VMs.
// Books that apply the same entries have the same snapshot, byte for byte.
package controlstate

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// maxDecisions is the number of outcomes kept for resent changes, about two days of changes.
	maxDecisions = 10_000
	// maxEdits is the number of edits kept for deltas. An entry VM further behind gets the full state.
	maxEdits = 10_000
)

// State is the state applied from the control log. Messages handed to it or returned by it are
// shared and must not be modified; the State replaces them and never writes to them, so a returned
// message may be read by other goroutines. The methods themselves are not safe for concurrent use.
type State struct {
	index         uint64              // log index of the last applied entry; a restored Book knows a lower bound
	configuration *wire.Configuration // accounts, routes, groups and retired servers are sorted by name
	views         []*wire.View        // sorted by group, one for each group; a revision is the log index of the change
	registrations []*wire.Registration
	entered       uint64           // log index of the latest change of the registrations
	drained       []string         // accounts whose bucket may be below its reserve, sorted
	decisions     []*wire.Decision // oldest first, at most maxDecisions
	outcomes      map[string]*wire.Decision
	edits         []record // oldest first, at most maxEdits, without gaps up to the present version
	base          uint64   // version before the first of edits
}

// record is an accepted edit kept for deltas.
type record struct {
	version uint64
	edit    *wire.Edit
	group   string // group that the edit concerns; empty if all entry VMs need it
	before  string // group that the route named before the edit
}

// New returns an empty Book at version 0.
func New() *State {
	return &State{
		configuration: &wire.Configuration{},
		outcomes:      map[string]*wire.Decision{},
	}
}

// Restore returns the Book that a snapshot was taken of. It fails on a snapshot that no Book writes.
// Call Resume with the log index of the snapshot, which the snapshot does not carry.
func Restore(s *wire.Book) (*State, error) {
	b := New()
	if s.GetConfiguration() != nil {
		b.configuration = s.GetConfiguration()
	}
	c := b.configuration
	ordered := sorted(c.GetAccounts(), (*wire.Account).GetName) &&
		sorted(c.GetRoutes(), (*wire.Route).GetName) &&
		sorted(c.GetGroups(), (*wire.Group).GetName) &&
		sorted(c.GetRetired(), self) &&
		sorted(s.GetViews(), (*wire.View).GetGroup) &&
		sorted(s.GetRegistrations(), (*wire.Registration).GetEntry)
	if !ordered {
		return nil, errors.WithHint(errors.New("contract: snapshot is not sorted by name"),
			"restore the data folder of this control VM from another voter: remove it and join as a spare")
	}
	b.views = s.GetViews()
	b.registrations, b.entered = s.GetRegistrations(), s.GetEntered()
	b.drained = s.GetDrained()
	b.decisions = s.GetDecisions()
	for _, d := range b.decisions {
		b.outcomes[d.GetChange()] = d
	}
	b.base = c.GetVersion()
	for _, v := range b.views {
		b.index = max(b.index, v.GetRevision())
	}
	return b, nil
}

// SetIndex tells a restored Book the log index of its snapshot.
func (b *State) SetIndex(index uint64) {
	b.index = max(b.index, index)
}

// Snapshot returns the whole state.
func (b *State) Snapshot() *wire.Book {
	return &wire.Book{
		Configuration: b.configuration,
		Views:         b.views,
		Registrations: b.registrations,
		Decisions:     slices.Clip(b.decisions),
		Entered:       b.entered,
		Drained:       b.drained,
	}
}

// Apply applies the committed entry at a log index. It returns a decision for a change or a
// published configuration and nil for all else. Entries that no longer fit the state, such as a late promotion, have no effect. An index
// that was applied before has no effect either; a change then gets its recorded decision.
func (b *State) Apply(index uint64, e *wire.Entry) *wire.Decision {
	if index <= b.index {
		return b.outcomes[e.GetChange().GetId()]
	}
	b.index = index
	switch e := e.GetEntry().(type) {
	case *wire.Entry_Change:
		return b.decide(e.Change)
	case *wire.Entry_Raise:
		b.raise(e.Raise)
	case *wire.Entry_Promoted:
		b.promoted(e.Promoted)
	case *wire.Entry_Admit:
		b.admit(e.Admit)
	case *wire.Entry_Dismiss:
		b.dismiss(e.Dismiss)
	case *wire.Entry_Register:
		b.register(e.Register)
	case *wire.Entry_Publish:
		return b.publish(e.Publish)
	case *wire.Entry_Enlist:
		b.enlist(e.Enlist)
	case *wire.Entry_Delist:
		b.delist(e.Delist.GetServer())
	case *wire.Entry_Lapse:
		b.lapse(e.Lapse)
	case *wire.Entry_Drain:
		b.drain(e.Drain)
	case *wire.Entry_Forget:
		b.registrations = drop(b.registrations, e.Forget, (*wire.Registration).GetEntry)
		b.entered = b.index
	}
	return nil
}

// Index returns the log index of the last applied entry.
func (b *State) Index() uint64 { return b.index }

// Version returns the configuration version. It never decreases.
func (b *State) Version() uint64 { return b.configuration.GetVersion() }

// Configuration returns the present configuration, sorted by name; read-only.
func (b *State) Configuration() *wire.Configuration { return b.configuration }

// Views returns the views of all groups, sorted by group; read-only.
func (b *State) Views() []*wire.View { return b.views }

// DrainedAccounts returns the accounts whose bucket may be below its reserve, sorted; read-only.
func (b *State) DrainedAccounts() []string { return b.drained }

// RegistrationIndex returns the log index of the latest change of the registrations.
func (b *State) RegistrationIndex() uint64 { return b.entered }

// Registrations returns the known entry VMs, sorted by identity; read-only.
func (b *State) Registrations() []*wire.Registration { return b.registrations }

// Account returns the account of that name.
func (b *State) Account(name string) (*wire.Account, bool) {
	return get(b.configuration.GetAccounts(), name, (*wire.Account).GetName)
}

// Route returns the route of that name.
func (b *State) Route(name string) (*wire.Route, bool) {
	return get(b.configuration.GetRoutes(), name, (*wire.Route).GetName)
}

// Group returns the configured group of that name.
func (b *State) Group(name string) (*wire.Group, bool) {
	return get(b.configuration.GetGroups(), name, (*wire.Group).GetName)
}

// View returns the view of the group.
func (b *State) View(group string) (*wire.View, bool) {
	return get(b.views, group, (*wire.View).GetGroup)
}

// IsRetired reports whether the server is retired.
func (b *State) IsRetired(server string) bool {
	_, ok := slices.BinarySearch(b.configuration.GetRetired(), server)
	return ok
}

func self(name string) string { return name }

// find returns the place of the named element in a list sorted by name.
func find[T any](list []T, name string, key func(T) string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(t T, name string) int {
		return cmp.Compare(key(t), name)
	})
}

func get[T any](list []T, name string, key func(T) string) (T, bool) {
	i, ok := find(list, name, key)
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// put returns a copy of the list with the element added or replaced.
func put[T any](list []T, element T, key func(T) string) []T {
	i, ok := find(list, key(element), key)
	size := len(list) + 1
	if ok {
		size--
	}
	next := make([]T, 0, size)
	next = append(next, list[:i]...)
	next = append(next, element)
	if ok {
		i++
	}
	return append(next, list[i:]...)
}

// drop returns a copy of the list without the named element, or the list itself if it has none.
func drop[T any](list []T, name string, key func(T) string) []T {
	i, ok := find(list, name, key)
	if !ok {
		return list
	}
	next := make([]T, 0, len(list)-1)
	next = append(next, list[:i]...)
	return append(next, list[i+1:]...)
}

// sorted reports whether names strictly increase.
func sorted[T any](list []T, key func(T) string) bool {
	for i := 1; i < len(list); i++ {
		if key(list[i-1]) >= key(list[i]) {
			return false
		}
	}
	return true
}
