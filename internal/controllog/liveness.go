package controllog

import (
	"maps"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// liveness records when the other members last replied to a leader, in any term. A leader counts their silence from then, also
// if it began under earlier leaders.
type liveness struct {
	started  time.Time              // start of this process; counts as a reply of each other process
	heard    map[Identity]time.Time // last reply to this leader, or what another leader has told of it
	stopping map[Identity]time.Time // announcements of planned stops
}

func newLiveness(now time.Time) liveness {
	return liveness{started: now, heard: map[Identity]time.Time{}, stopping: map[Identity]time.Time{}}
}

// heardFrom records a reply. A process that is heard StopPeriod after it announced its stop runs again.
func (l *liveness) heardFrom(now time.Time, id Identity) {
	l.heard[id] = now
	if at, ok := l.stopping[id]; ok && now.Sub(at) >= StopPeriod {
		l.clearStop(id)
	}
}

// announceStop records the announcement of a planned stop.
func (l *liveness) announceStop(now time.Time, id Identity) { l.stopping[id] = now }

// clearStop forgets the announcement of a planned stop.
func (l *liveness) clearStop(id Identity) { delete(l.stopping, id) }

// isStopping reports whether a process has announced its stop and does not run again.
func (l *liveness) isStopping(id Identity) bool {
	_, ok := l.stopping[id]
	return ok
}

// lastHeard returns the time of the last reply of a process.
func (l *liveness) lastHeard(id Identity) time.Time {
	if at, ok := l.heard[id]; ok {
		return at
	}
	return l.started
}

// silence returns the time since the last reply of a process.
func (l *liveness) silence(now time.Time, id Identity) time.Duration { return now.Sub(l.lastHeard(id)) }

// retain forgets the processes that are no members.
func (l *liveness) retain(g *wire.Membership) {
	gone := func(id Identity, _ time.Time) bool { return member(g, id) == nil }
	maps.DeleteFunc(l.heard, gone)
	maps.DeleteFunc(l.stopping, gone)
}

// silentMembers returns the silence of the members that have not been heard for a while, for the other members: one of them
// may lead next.
func (v *Voter) silentMembers(now time.Time) []*wire.Silence {
	var out []*wire.Silence
	for _, m := range v.Membership().Members {
		id := Identity(m.Identity)
		if silence := v.liveness.silence(now, id); id != v.id && silence >= SilenceNoted {
			out = append(out, &wire.Silence{Identity: m.Identity, Duration: silence.Milliseconds()})
		}
	}
	return out
}

// learnSilence records what the leader tells of the other members.
func (v *Voter) learnSilence(now time.Time, silent []*wire.Silence) {
	for _, m := range v.Membership().Members {
		id := Identity(m.Identity)
		i := slices.IndexFunc(silent, func(s *wire.Silence) bool { return s.GetIdentity() == m.Identity })
		if i < 0 {
			v.liveness.heardFrom(now, id)
			continue
		}
		v.liveness.heard[id] = now.Add(-time.Duration(silent[i].GetDuration()) * time.Millisecond)
	}
	v.liveness.retain(v.Membership())
}

// isLost reports whether a voter must be replaced: its process stops, another one runs at its address, or it has been silent
// for ReplaceAfter. A new leader first gives it time to reply, since nobody may have heard it while there was no leader.
func (v *Voter) isLost(now time.Time, m *wire.VoterMember) bool {
	id := Identity(m.Identity)
	switch {
	case v.liveness.isStopping(id) || v.isSuperseded(now, m):
		return true
	case id == v.id:
		return false
	}
	return v.liveness.silence(now, id) >= v.config.ReplaceAfter && now.Sub(v.termBegan) >= v.scaled(MinElectionTimeout)
}

// isSuperseded reports whether a process with a new identity replies at the address of a member, which proves that its data
// folder is lost.
func (v *Voter) isSuperseded(now time.Time, m *wire.VoterMember) bool {
	for _, other := range v.Membership().Members {
		f := v.followers[Identity(other.Identity)]
		if other.Identity == m.Identity || other.Address != m.Address || f == nil {
			continue
		}
		if now.Sub(f.replied) <= LearnerFreshness && f.replied.After(v.liveness.lastHeard(Identity(m.Identity))) {
			return true
		}
	}
	return false
}

// hintLeader records a leader that sends records to another identity at the address of this process, which this process
// had until its data folder was lost.
func (v *Voter) hintLeader(m *wire.VoterMessage) {
	if m.GetAppend() != nil || m.GetInstall() != nil {
		v.NoticeLeader(m.Address)
	}
}

// NoticeLeader records the address of a leader, or "" for none, if this process looks for a group.
func (v *Voter) NoticeLeader(address string) {
	if address != "" && !v.InGroup() {
		v.leaderHint = address
	}
}
