package controlstate

import (
	"slices"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// FullUpdate returns the state that an entry VM needs to serve the groups; no groups means all of them.
func (s *State) FullUpdate(groups []string) *wire.Update {
	c := s.configuration
	u := &wire.Update{Index: s.index, Version: s.Version(), Views: s.views}
	u.Full = &wire.Configuration{
		Version: c.GetVersion(), Change: c.GetChange(), Accounts: c.GetAccounts(), Retired: c.GetRetired(), Idle: c.GetIdle(),
	}
	if len(groups) == 0 {
		u.Full.Routes, u.Full.Groups = c.GetRoutes(), c.GetGroups()
		return u
	}
	u.Views = nil
	for _, r := range c.GetRoutes() {
		if slices.Contains(groups, r.GetGroup()) {
			u.Full.Routes = append(u.Full.Routes, r)
		}
	}
	for _, g := range c.GetGroups() {
		if slices.Contains(groups, g.GetName()) {
			u.Full.Groups = append(u.Full.Groups, g)
		}
	}
	for _, v := range s.views {
		if slices.Contains(groups, v.GetGroup()) {
			u.Views = append(u.Views, v)
		}
	}
	return u
}

// UpdateSince returns the changes after the given configuration version and log index for the groups; no
// groups means all of them. It returns false if the edits since then are no longer kept or the receiver has
// no state yet; the receiver then needs the full state. A receiver that is ahead of this state gets no edits.
func (s *State) UpdateSince(version, index uint64, groups []string) (*wire.Update, bool) {
	if version < s.baseVersion || version == 0 && s.Version() > 0 {
		return nil, false
	}
	u := &wire.Update{Index: s.index, Version: s.Version()}
	from, _ := slices.BinarySearchFunc(s.edits, version+1, func(r acceptedEdit, version uint64) int {
		if r.version < version {
			return -1
		}
		return 1
	})
	for _, r := range s.edits[from:] {
		if e := r.visibleTo(groups); e != nil {
			u.Edits = append(u.Edits, e)
		}
	}
	if len(groups) == 0 {
		for _, v := range s.views {
			if v.GetRevision() > index {
				u.Views = append(u.Views, v)
			}
		}
		return u, true
	}
	for _, g := range slices.Compact(slices.Sorted(slices.Values(groups))) {
		if v, ok := s.View(g); ok && v.GetRevision() > index {
			u.Views = append(u.Views, v)
		}
	}
	return u, true
}

// Mark returns the version and the log index of the latest change of a view, for a receiver of the views of some groups;
// none means all of them.
func (s *State) Mark(groups []string) *wire.Update {
	u := &wire.Update{Mark: true, Version: s.Version()}
	for _, v := range s.views {
		if len(groups) == 0 || slices.Contains(groups, v.GetGroup()) {
			u.Index = max(u.Index, v.GetRevision())
		}
	}
	return u
}

// visibleTo returns the edit as sent to an entry VM that serves the groups, or nil if the edit does not
// concern it. A route that moved to a group that the entry VM does not serve is sent as dropped.
func (r acceptedEdit) visibleTo(groups []string) *wire.Edit {
	served := func(g string) bool { return len(groups) == 0 || slices.Contains(groups, g) }
	if r.group == "" || served(r.group) {
		return r.edit
	}
	if r.oldGroup != "" && served(r.oldGroup) {
		return &wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: r.edit.GetPutRoute().GetName()}}
	}
	return nil
}

// ApplyUpdate applies an update from a control VM to an entry VM's copy. The control VM has validated the
// edits. Updates older than the copy have no effect, so state never reverts.
func (s *State) ApplyUpdate(u *wire.Update) {
	if u.GetFull() != nil && u.GetVersion() >= s.Version() {
		s.configuration = u.GetFull()
		s.baseVersion = u.GetVersion()
		s.edits = nil
		s.views = slices.DeleteFunc(slices.Clone(s.views), func(v *wire.View) bool {
			_, ok := s.Group(v.GetGroup())
			return !ok
		})
	}
	if u.GetFull() == nil && u.GetVersion() > s.Version() {
		d := newDraft(s)
		d.trusted = true
		for _, e := range u.GetEdits() {
			d.apply(e)
			if name := e.GetDropGroup(); name != "" {
				s.views = removeNamed(s.views, name, (*wire.View).GetGroup)
			}
		}
		d.next.Version = u.GetVersion()
		s.configuration = d.next
	}
	for _, v := range u.GetViews() {
		if _, ok := s.Group(v.GetGroup()); !ok {
			continue // the update was sent before the group was dropped
		}
		if old, ok := s.View(v.GetGroup()); !ok || v.GetRevision() > old.GetRevision() {
			s.views = putNamed(s.views, v, (*wire.View).GetGroup)
		}
	}
	s.applyRegistrations(u)
	s.index = max(s.index, u.GetIndex())
}
