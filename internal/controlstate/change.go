package controlstate

import (
	"fmt"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// decide applies a change if its base is the present version and all its edits are valid, and
// records the outcome under the change id.
func (b *State) decide(c *wire.Change) *wire.Decision {
	if c.GetId() == "" {
		return b.invalid(c, "the change has no id; send it again with a random one")
	}
	if first, ok := b.outcomes[c.GetId()]; ok {
		return first
	}
	d := b.judge(c)
	b.outcomes[d.GetChange()] = d
	b.decisions = append(b.decisions, d)
	if len(b.decisions) > maxDecisions {
		delete(b.outcomes, b.decisions[0].GetChange())
		b.decisions = b.decisions[1:]
	}
	return d
}

func (b *State) judge(c *wire.Change) *wire.Decision {
	if c.GetBase() != b.Version() {
		return &wire.Decision{
			Change:  c.GetId(),
			Verdict: wire.Verdict_VERDICT_CONFLICT,
			Version: b.Version(),
			Winner:  b.configuration.GetChange(),
			Remedy:  fmt.Sprintf("read version %d, amend the change and send it with a new id", b.Version()),
		}
	}
	if len(c.GetEdits()) == 0 {
		return b.invalid(c, "the change has no edits; add at least one")
	}
	d := newDraft(b)
	for i, e := range c.GetEdits() {
		if fault := d.edit(e); fault != "" {
			return b.invalid(c, fmt.Sprintf("edit %d: %s", i+1, fault))
		}
	}
	if fault := d.references(); fault != "" {
		return b.invalid(c, fault)
	}
	b.accept(c, d)
	return &wire.Decision{Change: c.GetId(), Verdict: wire.Verdict_VERDICT_ACCEPTED, Version: b.Version()}
}

func (b *State) invalid(c *wire.Change, remedy string) *wire.Decision {
	return &wire.Decision{
		Change:  c.GetId(),
		Verdict: wire.Verdict_VERDICT_INVALID,
		Version: b.Version(),
		Remedy:  remedy,
	}
}

// accept makes the draft the next version.
func (b *State) accept(c *wire.Change, d *draft) {
	d.next.Version = b.Version() + 1
	d.next.Change = c.GetId()
	for _, r := range d.records {
		r.version = d.next.Version
		b.edits = append(b.edits, r)
	}
	// Deltas start after base, so a version of which only a part is kept is never sent.
	if n := len(b.edits) - maxEdits; n > 0 {
		b.base = b.edits[n-1].version
		b.edits = b.edits[n:]
	}
	b.configuration = d.next
	for _, e := range c.GetEdits() {
		b.follow(e)
	}
}

// follow brings the views in line with an accepted edit.
func (b *State) follow(e *wire.Edit) {
	switch e := e.GetEdit().(type) {
	case *wire.Edit_PutGroup:
		name := e.PutGroup.GetName()
		if _, ok := b.View(name); !ok {
			b.views = put(b.views, &wire.View{Group: name, Revision: b.index}, (*wire.View).GetGroup)
		}
	case *wire.Edit_DropGroup:
		b.views = drop(b.views, e.DropGroup, (*wire.View).GetGroup)
	case *wire.Edit_RetireServer:
		b.mark(e.RetireServer, true)
	case *wire.Edit_RestoreServer:
		b.mark(e.RestoreServer, false)
	}
}
