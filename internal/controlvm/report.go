package controlvm

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	noGroupWarnAfter   = 5 * time.Second // after which a process without a group logs a warning
	leaderlessAfter    = 2 * time.Second // after which a process without a known leader logs why
	leaderlessInterval = 5 * time.Second // between two such lines
	measureInterval    = time.Second     // between two reports of the members
)

// reporter logs and measures who votes in the control group, and why there is no leader. It belongs to the goroutine of
// the event loop.
type reporter struct {
	peers   []string // as configured
	metrics *metrics

	started       time.Time        // time of the first tick
	noGroupWarned bool             // warnNoGroup has logged its warning
	members       *wire.Membership // that logMembers has logged last
	leader        string           // address of the leader that logLeader has logged last
	lost          time.Time        // since when no leader is known; zero while one is
	leaderless    time.Time        // time of the latest line about that; zero if there is none since lost
	measured      time.Time        // time of the latest report of the members
	repair        string           // content of the latest line about a repair; empty if none is needed
}

// tick logs and measures what is due.
func (r *reporter) tick(now time.Time, v *controllog.Voter) {
	r.warnNoGroup(now, v)
	r.observeLeader(now, v)
	if now.Sub(r.measured) >= measureInterval {
		r.measured = now
		e := v.Election(now)
		r.measure(&e)
		r.logRepair(&e)
	}
}

// warnNoGroup logs one warning if the process has found no group noGroupWarnAfter its first tick.
func (r *reporter) warnNoGroup(now time.Time, v *controllog.Voter) {
	switch {
	case r.started.IsZero():
		r.started = now
	case !r.noGroupWarned && now.Sub(r.started) >= noGroupWarnAfter:
		r.noGroupWarned = true
		if !v.InGroup() {
			log.WithField("peers", r.peers).Warn("no control group found: a first start requires all peers, a later start requires the leader")
		}
	}
}

// logMembers logs the members of the control group after a change, with the addresses of the voters first.
func (r *reporter) logMembers(v *controllog.Voter) {
	members := v.Membership()
	if members == r.members || !v.InGroup() {
		return
	}
	r.members = members
	r.metrics.memberships.Add(1)
	var voters, learners []string
	for _, m := range members.GetMembers() {
		text := m.GetIdentity() + "@" + m.GetAddress()
		if m.GetLearner() {
			learners = append(learners, text)
		} else {
			voters = append(voters, text)
		}
	}
	log.WithFields(log.Fields{
		"event": "members", "voters": voters, "learners": learners, "previous": members.GetPrevious(), "intended": members.GetVoters(),
	}).Info("members of the control group")
}

// observeLeader logs why no leader is known, and the leader after that or after a change.
func (r *reporter) observeLeader(now time.Time, v *controllog.Voter) {
	if leader := v.LeaderAddress(now); leader != "" {
		if leader != r.leader || !r.leaderless.IsZero() {
			r.logLeader(now, leader, v.Term())
		}
		r.leader, r.lost, r.leaderless = leader, time.Time{}, time.Time{}
	} else if r.lost.IsZero() {
		r.lost = now
	}
	r.metrics.leaderless.Set(r.without(now).Milliseconds())
	due := r.leaderless.IsZero() || now.Sub(r.leaderless) >= leaderlessInterval
	if r.without(now) >= leaderlessAfter && due {
		r.leaderless = now
		e := v.Election(now)
		logLeaderless(&e, r.without(now))
	}
}

// without returns for how long no leader is known.
func (r *reporter) without(now time.Time) time.Duration {
	if r.lost.IsZero() {
		return 0
	}
	return now.Sub(r.lost)
}

// logLeader logs the leader, and how long none was known before.
func (r *reporter) logLeader(now time.Time, leader string, term uint64) {
	log.WithFields(log.Fields{
		"event": "leader", "leader": leader, "term": term, "took": r.without(now).Round(time.Millisecond).String(),
	}).Info("the leader of the control group is known")
}

// logLeaderless logs why no leader is known, whom this process asks and which votes it lacks.
func logLeaderless(e *controllog.Election, span time.Duration) {
	fields := log.Fields{
		"event": "leaderless", "cause": string(e.Cause), "span": span.Round(time.Millisecond).String(), "role": e.Role, "voting": e.Voting,
		"term": e.Term, "last": e.Last, "commit": e.Commit, "needed": e.Needed, "votes": e.Votes, "leader": e.Leader,
	}
	addVoters(fields, e.Members)
	addContacts(fields, e.Contacts)
	log.WithFields(fields).Warn("no leader of the control group is known")
}

// addVoters adds the voters and how they answered.
func addVoters(fields log.Fields, members []controllog.MemberReport) {
	voters, granted, silent, refused := []string{}, []string{}, []string{}, []string{}
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters = append(voters, m.Address)
		switch {
		case !m.Answered:
			silent = append(silent, silence(m))
		case m.Granted:
			granted = append(granted, m.Address)
		case m.Refusal != controllog.NotRefused:
			refused = append(refused, fmt.Sprintf("%s(%s)", m.Address, m.Refusal))
		}
	}
	fields["voters"], fields["granted"], fields["silent"], fields["refused"] = voters, granted, silent, refused
}

// addContacts adds the addresses that are asked for the group.
func addContacts(fields log.Fields, contacts []controllog.ContactReport) {
	tried, answered := []string{}, []string{}
	for _, c := range contacts {
		tried = append(tried, c.Address)
		if c.Answered {
			answered = append(answered, c.Address)
		}
	}
	fields["tried"], fields["answered"] = tried, answered
}

// silence returns the address of a member with the time since it was heard.
func silence(m controllog.MemberReport) string {
	if m.Silent == controllog.Never {
		return m.Address + "(never)"
	}
	return fmt.Sprintf("%s(%dms)", m.Address, m.Silent)
}

// measure updates the metrics of the group.
func (r *reporter) measure(e *controllog.Election) {
	voters, lag, silent := 0, uint64(0), int64(0)
	for _, m := range e.Members {
		lag = max(lag, m.Lag)
		if !m.Learner {
			voters++
			silent = max(silent, m.Silent)
		}
	}
	if e.Role != controllog.Leader.String() {
		silent = 0
	}
	voting := int64(0)
	if e.Voting {
		voting = 1
	}
	r.metrics.voting.Set(voting)
	r.metrics.voters.Set(int64(voters))
	r.metrics.learners.Set(int64(len(e.Members) - voters))
	r.metrics.lag.Set(int64(lag))
	r.metrics.silent.Set(silent)
}

// logRepair logs why the leader does not replace a silent voter or add a missing one, once until that changes.
func (r *reporter) logRepair(e *controllog.Election) {
	if e.Obstacle == controllog.NoObstacle {
		r.repair = ""
		return
	}
	voters := 0
	var silent, learners, content []string
	for _, m := range e.Members {
		if !m.Learner {
			voters++
		}
		switch {
		case m.Learner:
			learners = append(learners, fmt.Sprintf("%s(%dms/%d)", m.Address, m.Silent, m.Lag))
			content = append(content, m.Identity)
		case !m.Answered || m.Lost:
			silent = append(silent, silence(m))
			content = append(content, m.Identity)
		}
	}
	if text := fmt.Sprint(e.Obstacle, voters, e.Intended, content); text != r.repair {
		r.repair = text
		log.WithFields(log.Fields{
			"event": "repair", "reason": string(e.Obstacle), "silent": silent, "missing": max(e.Intended-voters, 0), "learners": learners,
			"commit": e.Commit,
		}).Info("a voter of the control group is silent or missing and cannot be replaced yet")
	}
}
