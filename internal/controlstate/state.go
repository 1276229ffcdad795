// Package controlstate is the state machine of the control log. Its state comprises the configuration,
// the outcomes of operators' changes, the terms, primaries and members of database groups, and the
// registered entry VMs. Replicas that apply the same entries have the same snapshot, byte for byte.
package controlstate

import (
	"slices"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// maxDecisions bounds the outcomes kept for resent changes to about two days of changes.
	maxDecisions = 10_000
	// maxEdits bounds the edits kept for deltas. An entry VM that is further behind gets the full state.
	maxEdits = 10_000
	// maxDeparted bounds the instances that are remembered after their end. A late announcement arrives within seconds.
	maxDeparted = 4096
)

// State is the state applied from the control log. Messages passed to it or returned by it are shared and
// must not be modified. State replaces messages and never modifies them in place, so other goroutines may
// read a returned message. The methods themselves are not safe for concurrent use.
type State struct {
	index             uint64              // log index of the last applied entry; after Restore a lower bound until SetIndex
	configuration     *wire.Configuration // accounts, routes, groups and retired servers are sorted by name
	views             []*wire.View        // sorted by group, one per group; a revision is the log index of the latest change
	dropped           []*wire.View        // sorted by group, of groups that left the configuration, at most maxDropped
	registrations     []*wire.Registration
	registrationIndex uint64             // log index of the latest change of the registrations
	registrationEdits []registrationEdit // oldest first, at most maxRegistrationEdits, contiguous up to registrationIndex
	registrationBase  uint64             // index of the registrations that the first of registrationEdits changes
	departed          []*wire.Delist     // instances that have ended, oldest first, at most maxDeparted
	evacuated         []string           // availability zones that are evacuated, sorted; the members there are marked
	orders            []string           // ids of evacuation orders, oldest first, at most maxOrders
	former            []string           // accounts that left the configuration and did not come back, oldest first, at most maxFormer
	drained           []string           // accounts whose bucket may be below its reserve, sorted
	decisions         []*wire.Decision   // oldest first, at most maxDecisions
	outcomes          map[string]*wire.Decision
	edits             []acceptedEdit // oldest first, at most maxEdits, contiguous up to the current version
	baseVersion       uint64         // version that the first of edits follows
}

// acceptedEdit is an accepted edit kept for deltas.
type acceptedEdit struct {
	version  uint64
	edit     *wire.Edit
	group    string // group that the edit affects; empty if all entry VMs need the edit
	oldGroup string // group of the route before the edit
}

// New returns an empty state at version 0.
func New() *State {
	return &State{
		configuration: &wire.Configuration{},
		outcomes:      map[string]*wire.Decision{},
	}
}

// Restore returns the state that the snapshot was taken from. It fails if the lists of the snapshot are
// not sorted, which Snapshot never produces. The snapshot does not contain its log index; pass it to
// SetIndex.
func Restore(snapshot *wire.Book) (*State, error) {
	s := New()
	if snapshot.GetConfiguration() != nil {
		s.configuration = snapshot.GetConfiguration()
	}
	c := s.configuration
	ordered := sorted(c.GetAccounts(), (*wire.Account).GetName) &&
		sorted(c.GetRoutes(), (*wire.Route).GetName) &&
		sorted(c.GetGroups(), (*wire.Group).GetName) &&
		sorted(c.GetRetired(), identity) &&
		sorted(snapshot.GetViews(), (*wire.View).GetGroup) &&
		sorted(snapshot.GetDropped(), (*wire.View).GetGroup) &&
		sorted(snapshot.GetRegistrations(), (*wire.Registration).GetEntry) &&
		sorted(snapshot.GetEvacuated(), identity)
	if !ordered {
		return nil, errors.WithHint(errors.New("controlstate: snapshot is not sorted by name"),
			"restore the data folder of this control VM from another voter: remove it and join as a spare")
	}
	s.views = withDepartures(usableMembers(snapshot.GetViews()))
	s.dropped = usableMembers(snapshot.GetDropped())
	s.registrations, s.registrationIndex = snapshot.GetRegistrations(), snapshot.GetEntered()
	s.registrationBase = s.registrationIndex
	s.evacuated, s.orders = snapshot.GetEvacuated(), snapshot.GetOrders()
	s.drained, s.departed, s.former = snapshot.GetDrained(), snapshot.GetDeparted(), snapshot.GetFormer()
	s.decisions = snapshot.GetDecisions()
	for _, d := range s.decisions {
		s.outcomes[d.GetChange()] = d
	}
	s.baseVersion = c.GetVersion()
	for _, v := range slices.Concat(s.views, s.dropped) {
		s.index = max(s.index, v.GetRevision())
	}
	return s, nil
}

// SetIndex sets the log index of a restored state to that of its snapshot. It never lowers the index.
func (s *State) SetIndex(index uint64) {
	s.index = max(s.index, index)
}

// Snapshot returns the whole state in its serialized form.
func (s *State) Snapshot() *wire.Book {
	return &wire.Book{
		Configuration: s.configuration,
		Views:         s.views,
		Registrations: s.registrations,
		Decisions:     slices.Clip(s.decisions),
		Entered:       s.registrationIndex,
		Drained:       s.drained,
		Departed:      slices.Clip(s.departed),
		Evacuated:     s.evacuated,
		Orders:        slices.Clip(s.orders),
		Dropped:       s.dropped,
		Former:        slices.Clip(s.former),
	}
}

// Apply applies the committed entry at a log index. It returns a decision for a change or a published
// configuration and nil for other entries. Entries that no longer apply to the state, such as a promotion
// of a superseded term, have no effect. Applying an index again has no effect either; for a change, it
// returns the recorded decision.
func (s *State) Apply(index uint64, e *wire.Entry) *wire.Decision {
	if index <= s.index {
		return s.outcomes[e.GetChange().GetId()]
	}
	s.index = index
	switch e := e.GetEntry().(type) {
	case *wire.Entry_Change:
		return s.decide(e.Change)
	case *wire.Entry_Raise:
		s.raiseTerm(e.Raise)
	case *wire.Entry_Promoted:
		s.recordPrimary(e.Promoted)
	case *wire.Entry_Admit:
		s.admit(e.Admit)
	case *wire.Entry_Dismiss:
		s.dismiss(e.Dismiss)
	case *wire.Entry_Register:
		s.register(e.Register)
	case *wire.Entry_Publish:
		return s.publish(e.Publish)
	case *wire.Entry_Enlist:
		s.enlist(e.Enlist)
	case *wire.Entry_Delist:
		s.delist(e.Delist)
	case *wire.Entry_Settle:
		s.settle(e.Settle)
	case *wire.Entry_Lapse:
		s.markLapsed(e.Lapse)
	case *wire.Entry_Drain:
		s.setDrained(e.Drain)
	case *wire.Entry_Forget:
		s.dropRegistration(e.Forget)
	case *wire.Entry_Evacuation:
		s.evacuate(e.Evacuation)
	case *wire.Entry_Stall:
		s.stall(e.Stall)
	}
	return nil
}

// Index returns the log index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the configuration version. It never decreases.
func (s *State) Version() uint64 { return s.configuration.GetVersion() }

// Configuration returns the current configuration, sorted by name; read-only.
func (s *State) Configuration() *wire.Configuration { return s.configuration }

// Views returns the views of all groups, sorted by group; read-only.
func (s *State) Views() []*wire.View { return s.views }

// DrainedAccounts returns the accounts whose token bucket may be below its reserve, sorted; read-only.
func (s *State) DrainedAccounts() []string { return s.drained }

// FormerAccounts returns the accounts that left the configuration, oldest first; read-only. Their buckets are not full, for all
// that is known.
func (s *State) FormerAccounts() []string { return s.former }

// Account returns the client account with that name.
func (s *State) Account(name string) (*wire.Account, bool) {
	return getNamed(s.configuration.GetAccounts(), name, (*wire.Account).GetName)
}

// Route returns the route with that name.
func (s *State) Route(name string) (*wire.Route, bool) {
	return getNamed(s.configuration.GetRoutes(), name, (*wire.Route).GetName)
}

// Group returns the configured database group with that name.
func (s *State) Group(name string) (*wire.Group, bool) {
	return getNamed(s.configuration.GetGroups(), name, (*wire.Group).GetName)
}

// View returns the view of the group.
func (s *State) View(group string) (*wire.View, bool) {
	return getNamed(s.views, group, (*wire.View).GetGroup)
}

// IsRetired reports whether the server is retired.
func (s *State) IsRetired(server string) bool {
	_, ok := slices.BinarySearch(s.configuration.GetRetired(), server)
	return ok
}
