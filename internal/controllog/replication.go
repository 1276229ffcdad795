package controllog

import (
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// propose appends an entry if this voter is a leader with a current state. A large one has to wait while the records that are
// not committed are large already: they cannot be compacted.
func (v *Voter) propose(now time.Time, p Proposed) {
	if v.role != Leader || !v.termCommitted {
		v.emit(Refused{p.Tag, v.LeaderAddress(now)})
		return
	}
	r := &wire.LogRecord{Body: &wire.LogRecord_Entry{Entry: p.Entry}}
	waiting := v.log.bytes(v.commit+1, v.log.last())
	if size := uint64(proto.Size(r)); size >= largeRecord && waiting > 0 && waiting+size > v.config.SnapshotBytes {
		v.emit(Refused{Tag: p.Tag})
		return
	}
	v.appendRecord(now, r)
	v.emit(Accepted{p.Tag, r.Index, r.Term})
}

// appendRecord appends a record as the leader and replicates it.
func (v *Voter) appendRecord(now time.Time, r *wire.LogRecord) {
	r.Index, r.Term = v.log.last()+1, v.term
	v.store([]*wire.LogRecord{r})
	if r.GetMembership() != nil {
		v.updateFollowers()
	}
	v.broadcast(now)
}

// store appends records to the log, in place of those from the index of the first one on.
func (v *Voter) store(records []*wire.LogRecord) {
	v.log.replaceFrom(records)
	v.stored += v.log.bytes(records[0].Index, v.log.last())
	v.emit(Append{records})
}

// tickLeader handles the periodic work of a leader: heartbeats, stepping down without a quorum or a vote, membership
// changes.
func (v *Voter) tickLeader(now time.Time) {
	if now.Sub(v.quorumSince(now)) > v.scaled(MaxElectionTimeout) {
		v.becomeFollower(now, v.term, "")
		return
	}
	v.repairMembership(now)
	if v.endsLeadership(now) {
		v.resign(now)
		return
	}
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

// replicate sends the next records to a follower, or a snapshot if they were dropped, or a heartbeat if
// requested.
func (v *Voter) replicate(now time.Time, m *wire.VoterMember, f *follower, heartbeat bool) {
	previous := f.next - 1
	term, ok := v.log.term(previous)
	if !ok && !v.sendSnapshot(now, m, f) && heartbeat {
		v.send(m.Address, m.Identity, v.heartbeat(now))
	}
	if !ok {
		return
	}
	records := v.nextBatch(f)
	if len(records) == 0 && !heartbeat {
		return
	}
	a := &wire.AppendRecords{
		Previous:     previous,
		PreviousTerm: term,
		Records:      records,
		Commit:       v.commit,
		Sent:         int64(now.Sub(v.termBegan)),
		Silent:       v.silentMembers(now),
	}
	f.next += uint64(len(records))
	v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Append{Append: a}})
}

// nextBatch returns the records that are sent to a follower next. While many bytes are on their way there are none: each
// heartbeat would add more to what a slow link or receiver has not taken yet.
func (v *Voter) nextBatch(f *follower) []*wire.LogRecord {
	inFlight := v.log.bytes(f.matched+1, f.next-1)
	last, size := f.next, v.log.bytes(f.next, f.next)
	for last+1 < f.next+MaxBatchRecords && last < v.log.last() {
		more := v.log.bytes(last+1, last+1)
		if size+more > MaxBatchBytes {
			break
		}
		last, size = last+1, size+more
	}
	if inFlight > 0 && inFlight+size > MaxInFlightBytes {
		return nil
	}
	return v.log.between(f.next, last)
}

// heartbeat returns a message without records for a follower that is being sent a snapshot. The follower
// refuses it, but does not start an election.
func (v *Voter) heartbeat(now time.Time) *wire.VoterMessage {
	a := &wire.AppendRecords{Previous: v.log.last(), PreviousTerm: v.log.lastTerm(), Sent: int64(now.Sub(v.termBegan)), Silent: v.silentMembers(now)}
	return &wire.VoterMessage{Body: &wire.VoterMessage_Append{Append: a}}
}

// sendSnapshot sends the latest snapshot, at most once per SnapshotResendInterval since it may be large.
func (v *Voter) sendSnapshot(now time.Time, m *wire.VoterMember, f *follower) bool {
	if v.log.snapshot == nil || now.Sub(f.snapshotSent) < SnapshotResendInterval {
		return false
	}
	f.snapshotSent = now
	s := &wire.InstallSnapshot{Snapshot: v.log.snapshot, Sent: int64(now.Sub(v.termBegan))}
	v.send(m.Address, m.Identity, &wire.VoterMessage{Body: &wire.VoterMessage_Install{Install: s}})
	return true
}

// acceptLeader enters the term of a leader's message. It returns false for a superseded leader, which receives
// the higher term in the reply.
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
	v.leaderAddress, v.formerLeader = m.Address, m.Address
	v.leaderHeard, v.promiseReleased = now, false
	v.resetElectionTimer(now)
	return true
}

// handleAppend handles records from the leader. Records up to the commit index are skipped, since committed
// records are equal on all members.
func (v *Voter) handleAppend(now time.Time, m *wire.VoterMessage, a *wire.AppendRecords) {
	if !v.acceptLeader(now, m, a.Sent) {
		return
	}
	v.learnSilence(now, a.Silent)
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
		v.synced = min(v.synced, fresh[0].Index-1)
		v.store(fresh)
	}
	v.verified = max(v.verified, end)
	if v.verified > v.synced {
		v.pendingReply = &pendingReply{m.Address, m.From, m.Term, a.Sent}
	} else {
		v.sendAppendReply(m.Address, m.From, &wire.AppendReply{Matched: v.verified, Sent: a.Sent, Answers: m.Term})
	}
	v.commitTo(min(v.leaderCommit, v.verified, v.synced))
}

// newRecords returns the records from the first one on that is missing from the log or differs.
func (v *Voter) newRecords(records []*wire.LogRecord) []*wire.LogRecord {
	for i, r := range records {
		if term, ok := v.log.term(r.Index); !ok || term != r.Term {
			return records[i:]
		}
	}
	return nil
}

// matchHint returns an index below a refused one at which the logs may match. They certainly match up to the
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

// recordsSynced records which records are durable. An event for records that were replaced meanwhile is
// recognized by its term and ignored.
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

// sendPendingReply sends the reply that waited for records to become durable.
func (v *Voter) sendPendingReply() {
	r := &wire.AppendReply{Matched: min(v.verified, v.synced), Sent: v.pendingReply.sent, Answers: v.pendingReply.term}
	v.sendAppendReply(v.pendingReply.address, v.pendingReply.to, r)
}

// handleAppendReply records the progress of a follower. A reply to a message of an earlier term is ignored,
// since its send time is relative to the start of that term.
func (v *Voter) handleAppendReply(now time.Time, m *wire.VoterMessage, r *wire.AppendReply) {
	if m.Term > v.term {
		v.becomeFollower(now, m.Term, "")
		return
	}
	f := v.followers[Identity(m.From)]
	if v.role != Leader || r.Answers != v.term || f == nil {
		return
	}
	f.replied = now
	v.liveness.heardFrom(now, Identity(m.From))
	if acked := v.termBegan.Add(time.Duration(r.Sent)); acked.After(f.acked) {
		f.acked = acked
	}
	if r.Refused && v.termBegan.Add(time.Duration(r.Sent)).Before(f.rewound) {
		return // the records that this message lacked have been sent since
	}
	if r.Refused {
		f.rewound = now
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

// commitMajority commits the records that a majority has. Only records of the leader's own term are counted.
// Earlier records are committed with them, since a record of an earlier term may still be replaced.
func (v *Voter) commitMajority() {
	matched := func(f *follower) uint64 { return f.matched }
	index, ok := majorityValue(v.quorums(), processValue(v, v.synced, matched), func(a, b uint64) bool { return a < b })
	index = min(v.synced, index)
	if !ok {
		return
	}
	if term, ok := v.log.term(index); !ok || term != v.term || index <= v.commit {
		return
	}
	v.commitTo(index)
	if !v.termCommitted {
		v.termCommitted = true
		v.emit(BecameLeader{v.term})
	}
}

// commitTo commits records up to index and requests a snapshot after every SnapshotEvery records, and as soon as it makes
// SnapshotBytes of stored records superfluous.
func (v *Voter) commitTo(index uint64) {
	if index <= v.commit {
		return
	}
	v.emit(Commit{v.log.between(v.commit+1, index)})
	v.commit = index
	waiting := v.log.bytes(index+1, v.log.last())
	if index-v.snapshotIndex >= v.config.SnapshotEvery || v.stored >= v.config.SnapshotBytes+waiting {
		v.snapshotIndex, v.stored = index, waiting
		term, _ := v.log.term(index)
		tail := v.log.between(index+1, v.log.last())
		v.snapshotTail = Synced{v.log.last(), v.log.lastTerm()}
		v.emit(TakeSnapshot{index, term, v.log.membershipAt(index), tail})
	}
}

// handleInstallSnapshot installs a snapshot from the leader unless this voter has committed its index already.
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

// snapshotSaved compacts the log after a snapshot became durable. The records after it became durable with it.
func (v *Voter) snapshotSaved(s *wire.VoterSnapshot) {
	v.log.compact(s, min(RetainedRecords, v.config.SnapshotEvery/2), RetainedBytes)
	v.recordsSynced(v.snapshotTail)
}

// snapshotInstalled continues from a snapshot that became durable.
func (v *Voter) snapshotInstalled(s *wire.VoterSnapshot) {
	if s.Index <= v.commit {
		return
	}
	v.log.reset(s)
	v.stored = v.log.bytes(s.Index+1, v.log.last())
	v.commit, v.snapshotIndex = s.Index, s.Index
	v.synced = v.log.last()
	v.verified = max(v.verified, s.Index)
	if v.pendingReply != nil {
		v.sendPendingReply()
		v.pendingReply = nil
	}
}
