package controlstate

import (
	"fmt"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// decide applies a change if its base is the current version and all its edits are valid, and records the
// outcome under the change id. A resent change gets its recorded outcome.
func (s *State) decide(c *wire.Change) *wire.Decision {
	if c.GetId() == "" {
		return s.invalidDecision(c, "the change has no id; send it again with a random one")
	}
	if first, ok := s.outcomes[c.GetId()]; ok {
		return first
	}
	d := s.evaluate(c)
	s.outcomes[d.GetChange()] = d
	s.decisions = append(s.decisions, d)
	if len(s.decisions) > maxDecisions {
		delete(s.outcomes, s.decisions[0].GetChange())
		s.decisions = s.decisions[1:]
	}
	return d
}

// evaluate applies a change that has no recorded outcome.
func (s *State) evaluate(c *wire.Change) *wire.Decision {
	if c.GetBase() != s.Version() {
		return &wire.Decision{
			Change:  c.GetId(),
			Verdict: wire.Verdict_VERDICT_CONFLICT,
			Version: s.Version(),
			Winner:  s.configuration.GetChange(),
			Remedy:  fmt.Sprintf("read version %d, amend the change and send it with a new id", s.Version()),
		}
	}
	if len(c.GetEdits()) == 0 {
		return s.invalidDecision(c, "the change has no edits; add at least one")
	}
	d := newDraft(s)
	for i, e := range c.GetEdits() {
		if problem := d.apply(e); problem != "" {
			return s.invalidDecision(c, fmt.Sprintf("edit %d: %s", i+1, problem))
		}
	}
	if problem := d.checkReferences(); problem != "" {
		return s.invalidDecision(c, problem)
	}
	s.accept(c, d)
	return &wire.Decision{Change: c.GetId(), Verdict: wire.Verdict_VERDICT_ACCEPTED, Version: s.Version()}
}

func (s *State) invalidDecision(c *wire.Change, remedy string) *wire.Decision {
	return &wire.Decision{
		Change:  c.GetId(),
		Verdict: wire.Verdict_VERDICT_INVALID,
		Version: s.Version(),
		Remedy:  remedy,
	}
}

// accept makes the draft the next version.
func (s *State) accept(c *wire.Change, d *draft) {
	d.next.Version = s.Version() + 1
	d.next.Change = c.GetId()
	s.keepEdits(d.next.Version, d.edits)
	s.setConfiguration(d.next)
	for _, e := range c.GetEdits() {
		s.updateViews(e)
	}
}

// keepEdits stores the edits that make a version, for deltas.
func (s *State) keepEdits(version uint64, edits []acceptedEdit) {
	for _, r := range edits {
		r.version = version
		s.edits = append(s.edits, r)
	}
	// Deltas start after baseVersion, so a version whose edits are kept only in part is never sent.
	if n := len(s.edits) - maxEdits; n > 0 {
		s.baseVersion = s.edits[n-1].version
		s.edits = s.edits[n:]
	}
}

// updateViews adds, removes or changes views as an accepted edit requires.
func (s *State) updateViews(e *wire.Edit) {
	switch e := e.GetEdit().(type) {
	case *wire.Edit_PutGroup:
		s.addView(e.PutGroup.GetName())
	case *wire.Edit_DropGroup:
		s.dropView(e.DropGroup)
	case *wire.Edit_RetireServer:
		s.setRetired(e.RetireServer, true)
	case *wire.Edit_RestoreServer:
		s.setRetired(e.RestoreServer, false)
	}
}
