package controllog

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// propose appends an entry if this voter leads with a current state.
func (v *Voter) propose(now time.Time, p Proposed) {
	if v.role != Leader || !v.termCommitted {
		v.emit(Refused{p.Tag, v.LeaderAddress(now)})
		return
	}
	r := &wire.LogRecord{Body: &wire.LogRecord_Entry{Entry: p.Entry}}
	v.appendRecord(now, r)
	v.emit(Accepted{p.Tag, r.Index, r.Term})
}

// write appends a record as the leader and sends it on.
func (v *Voter) appendRecord(now time.Time, r *wire.LogRecord) {
	r.Index, r.Term = v.log.last()+1, v.term
	v.log.replaceFrom([]*wire.LogRecord{r})
	if r.GetMembership() != nil {
		v.updateFollowers(now)
	}
	v.emit(Append{[]*wire.LogRecord{r}})
	v.broadcast(now)
}

// lead does what is due for a leader: heartbeats, resignation without a quorum, membership.
func (v *Voter) tickLeader(now time.Time) {
	if now.Sub(v.quorumSince(now)) > v.scaled(MaxElectionTimeout) {
		v.becomeFollower(now, v.term, "")
		return
	}
	v.replaceSilentVoter(now)
	if now.Sub(v.heartbeatSent) >= v.scaled(DefaultHeartbeatInterval) {
		v.heartbeatSent = now
		for _, m := range v.Membership().Members {
			if f := v.followers[Identity(m.Identity)]; f != nil {
				v.replicate(now, m, f, true)
			}
		}
	}
}

// broadcast sends new records to every member.
func (v *Voter) broadcast(now time.Time) {
	for _, m := range v.Membership().Members {
		if f := v.followers[Identity(m.Identity)]; f != nil {
			v.replicate(now, m, f, false)
		}
	}
}

// feed sends the next records, a snapshot if they are gone, or a heartbeat if asked for.
func (v *Voter) replicate(now time.Time, m *wire.VoterMember, f *follower, heartbeat bool) {
	previous := f.next - 1
	term, ok := v.log.term(previous)
	if !ok && !v.sendSnapshot(now, m, f) && heartbeat {
		v.send(m.Address, m.Identity, v.heartbeat(now))
	}
	if !ok {
		return
	}
	records := v.log.between(f.next, previous+MaxBatchRecords)
	if len(records) == 0 && !heartbeat {
		return
	}
	a := &wire.AppendRecords{
		Previous:     previous,
		PreviousTerm: term,
		Records:      records,
		Commit:       v.commit,
		Sent:         int64(now.Sub(v.termBegan)),
	}
	f.next += uint64(len(records))
	v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Append{Append: a}})
}

// heartbeat returns a message without records for a follower that is being sent a snapshot. It is
// refused, but keeps the follower from standing for election.
func (v *Voter) heartbeat(now time.Time) *wire.VoterMessage {
	a := &wire.AppendRecords{Previous: v.log.last(), PreviousTerm: v.log.lastTerm(), Sent: int64(now.Sub(v.termBegan))}
	return &wire.VoterMessage{Body: &wire.VoterMessage_Append{Append: a}}
}

// sendSnapshot sends the latest snapshot, at most once per interval since it may be large.
func (v *Voter) sendSnapshot(now time.Time, m *wire.VoterMember, f *follower) bool {
	if v.log.snapshot == nil || now.Sub(f.snapshotSent) < SnapshotResendInterval {
		return false
	}
	f.snapshotSent = now
	s := &wire.InstallSnapshot{Snapshot: v.log.snapshot, Sent: int64(now.Sub(v.termBegan))}
	v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Install{Install: s}})
	return true
}

// heed enters the term of a leader's message. It is false for a superseded leader, which learns
// the higher term from the reply.
func (v *Voter) acceptLeader(now time.Time, m *wire.VoterMessage, sent int64) bool {
	if m.Term < v.term {
		v.sendAppendReply(m.Address, m.From, &wire.AppendReply{Refused: true, Sent: sent, Answers: m.Term})
		return false
	}
	if m.Term > v.term || v.role != Follower {
		v.becomeFollower(now, m.Term, m.Address)
	}
	if from := Identity(m.From); v.termLeader != from {
		v.saveVote(v.term, v.vote, from)
	}
	v.leaderAddress = m.Address
	v.leaderHeard, v.promiseReleased = now, false
	v.resetElectionTimer(now)
	return true
}

// append handles records from the leader. Records up to the commit index are skipped: committed
// records are equal everywhere.
func (v *Voter) handleAppend(now time.Time, m *wire.VoterMessage, a *wire.AppendRecords) {
	if !v.acceptLeader(now, m, a.Sent) {
		return
	}
	v.leaderCommit = max(v.leaderCommit, a.Commit)
	records := a.Records
	if a.Previous < v.commit {
		records = records[min(v.commit-a.Previous, uint64(len(records))):]
	} else if term, ok := v.log.term(a.Previous); !ok || term != a.PreviousTerm {
		v.sendAppendReply(m.Address, m.From, &wire.AppendReply{Refused: true, Sent: a.Sent, Answers: m.Term, Hint: v.matchHint(a.Previous)})
		return
	}
	end := max(v.commit, a.Previous+uint64(len(a.Records)))
	if fresh := v.newRecords(records); len(fresh) > 0 {
		v.log.replaceFrom(fresh)
		v.synced = min(v.synced, fresh[0].Index-1)
		v.emit(Append{fresh})
	}
	v.verified = max(v.verified, end)
	if v.verified > v.synced {
		v.pendingReply = &pendingReply{m.Address, m.From, m.Term, a.Sent}
	} else {
		v.sendAppendReply(m.Address, m.From, &wire.AppendReply{Matched: v.verified, Sent: a.Sent, Answers: m.Term})
	}
	v.commitTo(min(v.leaderCommit, v.verified, v.synced))
}

// unknown returns the records from the first one that is missing or differs.
func (v *Voter) newRecords(records []*wire.LogRecord) []*wire.LogRecord {
	for i, r := range records {
		if term, ok := v.log.term(r.Index); !ok || term != r.Term {
			return records[i:]
		}
	}
	return nil
}

// hint returns an index below a refused one that may match. The log certainly matches up to the
// commit index.
func (v *Voter) matchHint(previous uint64) uint64 {
	if previous > v.log.last() {
		return v.log.last()
	}
	return v.commit
}

func (v *Voter) sendAppendReply(address, to string, r *wire.AppendReply) {
	v.send(address, to, &wire.VoterMessage{Body: &wire.VoterMessage_AppendReply{AppendReply: r}})
}

// sync notes durable records. Records replaced since are told apart by their term.
func (v *Voter) recordsSynced(e Synced) {
	if term, ok := v.log.term(e.Index); !ok || term != e.Term || e.Index <= v.synced {
		return
	}
	v.synced = e.Index
	if v.role == Leader {
		v.commitMajority()
		return
	}
	v.commitTo(min(v.leaderCommit, v.verified, v.synced))
	if v.pendingReply != nil {
		v.sendPendingReply()
	}
	if v.verified <= v.synced {
		v.pendingReply = nil
	}
}

// pay sends the reply that waited for the disk.
func (v *Voter) sendPendingReply() {
	r := &wire.AppendReply{Matched: min(v.verified, v.synced), Sent: v.pendingReply.sent, Answers: v.pendingReply.term}
	v.sendAppendReply(v.pendingReply.address, v.pendingReply.to, r)
}

// appendReply notes what a follower holds. A reply to a message of an earlier term says
// nothing: its send time was counted from the start of that one.
func (v *Voter) handleAppendReply(now time.Time, m *wire.VoterMessage, r *wire.AppendReply) {
	if m.Term > v.term {
		v.becomeFollower(now, m.Term, "")
		return
	}
	f := v.followers[Identity(m.From)]
	if v.role != Leader || r.Answers != v.term || f == nil {
		return
	}
	f.lastHeard = now
	if acked := v.termBegan.Add(time.Duration(r.Sent)); acked.After(f.acked) {
		f.acked = acked
	}
	if r.Refused {
		f.next = max(f.matched, min(f.next-1, r.Hint)) + 1
	} else {
		f.matched = max(f.matched, r.Matched)
		f.next = max(f.next, f.matched+1)
		v.commitMajority()
	}
	for _, member := range v.Membership().Members {
		if member.Identity == m.From {
			v.replicate(now, member, f, false)
		}
	}
}

// tally commits what a majority holds. Only records of the own term are counted; earlier ones
// are committed with them, since a record of an earlier term may still be replaced.
func (v *Voter) commitMajority() {
	var held []uint64
	for _, id := range v.voters() {
		switch {
		case id == v.id:
			held = append(held, v.synced)
		case v.followers[id] != nil:
			held = append(held, v.followers[id].matched)
		}
	}
	if len(held) == 0 {
		return
	}
	index := min(v.synced, majority(held, func(a, b uint64) bool { return a < b }))
	if term, ok := v.log.term(index); !ok || term != v.term || index <= v.commit {
		return
	}
	v.commitTo(index)
	if !v.termCommitted {
		v.termCommitted = true
		v.emit(BecameLeader{v.term})
	}
}

// advance commits records up to index and asks for a snapshot when enough have gathered.
func (v *Voter) commitTo(index uint64) {
	if index <= v.commit {
		return
	}
	v.emit(Commit{v.log.between(v.commit+1, index)})
	v.commit = index
	if index-v.snapshotIndex >= v.config.SnapshotEvery {
		v.snapshotIndex = index
		term, _ := v.log.term(index)
		rest := v.log.between(index+1, v.log.last())
		v.snapshotTail = Synced{v.log.last(), v.log.lastTerm()}
		v.emit(TakeSnapshot{index, term, v.log.membershipAt(index), rest})
	}
}

// receiveSnapshot hands a snapshot to the shell unless the log is already past it.
func (v *Voter) handleInstallSnapshot(now time.Time, m *wire.VoterMessage, s *wire.InstallSnapshot) {
	if !v.acceptLeader(now, m, s.Sent) {
		return
	}
	if s.Snapshot.Index <= v.commit {
		v.sendAppendReply(m.Address, m.From, &wire.AppendReply{Matched: v.commit, Sent: s.Sent, Answers: m.Term})
		return
	}
	v.pendingReply = &pendingReply{m.Address, m.From, m.Term, s.Sent}
	v.emit(InstallSnapshot{s.Snapshot, v.log.tail(s.Snapshot)})
}

// compactionDone notes a durable snapshot. The records behind it became durable with it.
func (v *Voter) snapshotSaved(s *wire.VoterSnapshot) {
	v.log.compact(s, min(RetainedRecords, v.config.SnapshotEvery/2))
	v.recordsSynced(v.snapshotTail)
}

// installed continues from a durable snapshot.
func (v *Voter) snapshotInstalled(s *wire.VoterSnapshot) {
	if s.Index <= v.commit {
		return
	}
	v.log.reset(s)
	v.commit, v.snapshotIndex = s.Index, s.Index
	v.synced = v.log.last()
	v.verified = max(v.verified, s.Index)
	if v.pendingReply != nil {
		v.sendPendingReply()
		v.pendingReply = nil
	}
}
