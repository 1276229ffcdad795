package controlstate

import (
	"slices"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// FullUpdate returns the state that an entry VM needs to serve the groups; none means all.
func (b *State) FullUpdate(groups []string) *wire.Update {
	c := b.configuration
	u := &wire.Update{Index: b.index, Version: b.Version(), Views: b.views}
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
	for _, v := range b.views {
		if slices.Contains(groups, v.GetGroup()) {
			u.Views = append(u.Views, v)
		}
	}
	return u
}

// UpdateSince returns what changed after the given configuration version and log index for the groups;
// none means all. It returns false if the edits since then are no longer kept or the asker holds
// nothing yet; then it must get the full state. An asker ahead of this Book gets no edits.
func (b *State) UpdateSince(version, index uint64, groups []string) (*wire.Update, bool) {
	if version < b.base || version == 0 && b.Version() > 0 {
		return nil, false
	}
	u := &wire.Update{Index: b.index, Version: b.Version()}
	from, _ := slices.BinarySearchFunc(b.edits, version+1, func(r record, version uint64) int {
		if r.version < version {
			return -1
		}
		return 1
	})
	for _, r := range b.edits[from:] {
		if e := r.seen(groups); e != nil {
			u.Edits = append(u.Edits, e)
		}
	}
	if len(groups) == 0 {
		for _, v := range b.views {
			if v.GetRevision() > index {
				u.Views = append(u.Views, v)
			}
		}
		return u, true
	}
	for _, g := range slices.Compact(slices.Sorted(slices.Values(groups))) {
		if v, ok := b.View(g); ok && v.GetRevision() > index {
			u.Views = append(u.Views, v)
		}
	}
	return u, true
}

// seen returns the edit as an entry VM that serves the groups must see it, or nil. A route that
// moved to a group not served is dropped there.
func (r record) seen(groups []string) *wire.Edit {
	served := func(g string) bool { return len(groups) == 0 || slices.Contains(groups, g) }
	if r.group == "" || served(r.group) {
		return r.edit
	}
	if r.before != "" && served(r.before) {
		return &wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: r.edit.GetPutRoute().GetName()}}
	}
	return nil
}

// ApplyUpdate brings an entry VM's copy up to an update of a control VM, which has checked the edits.
// Updates that are older than what the copy holds have no effect, so nothing reverts.
func (b *State) ApplyUpdate(u *wire.Update) {
	if u.GetFull() != nil && u.GetVersion() >= b.Version() {
		b.configuration = u.GetFull()
		b.base = u.GetVersion()
		b.edits = nil
		b.views = slices.DeleteFunc(slices.Clone(b.views), func(v *wire.View) bool {
			_, ok := b.Group(v.GetGroup())
			return !ok
		})
	}
	if u.GetFull() == nil && u.GetVersion() > b.Version() {
		d := newDraft(b)
		d.trusted = true
		for _, e := range u.GetEdits() {
			d.edit(e)
			if name := e.GetDropGroup(); name != "" {
				b.views = drop(b.views, name, (*wire.View).GetGroup)
			}
		}
		d.next.Version = u.GetVersion()
		b.configuration = d.next
	}
	for _, v := range u.GetViews() {
		if _, ok := b.Group(v.GetGroup()); !ok {
			continue // a late update from before the group was dropped
		}
		if old, ok := b.View(v.GetGroup()); !ok || v.GetRevision() > old.GetRevision() {
			b.views = put(b.views, v, (*wire.View).GetGroup)
		}
	}
	if u.GetEntered() > b.entered {
		b.registrations, b.entered = u.GetEntries(), u.GetEntered()
	}
	b.index = max(b.index, u.GetIndex())
}
