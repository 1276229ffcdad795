package controllog

import "fireflyrudder.example/fireflyrudder/internal/wire"

// wellFormed reports whether a message has the fields that its receiver relies on. Another one is dropped like a message
// that was lost: a voter that fails on it would fail again after each resend.
func wellFormed(m *wire.VoterMessage) bool {
	switch b := m.GetBody().(type) {
	case *wire.VoterMessage_Append:
		return b.Append != nil && wellFormedRecords(b.Append.GetPrevious(), b.Append.GetRecords())
	case *wire.VoterMessage_Install:
		s := b.Install.GetSnapshot()
		return s.GetIndex() > 0 && wellFormedMembership(s.GetMembership())
	case *wire.VoterMessage_Ballot:
		return b.Ballot != nil
	case *wire.VoterMessage_BallotReply:
		return b.BallotReply != nil
	case *wire.VoterMessage_AppendReply:
		return b.AppendReply != nil
	case *wire.VoterMessage_Hello:
		return b.Hello != nil
	case *wire.VoterMessage_HelloReply:
		return b.HelloReply != nil
	case *wire.VoterMessage_Resign:
		return b.Resign != nil
	}
	return false
}

// wellFormedRecords reports whether records follow the one at index previous without a gap.
func wellFormedRecords(previous uint64, records []*wire.LogRecord) bool {
	for i, r := range records {
		if r.GetIndex() == 0 || r.GetIndex() != previous+uint64(i)+1 {
			return false
		}
		if b, ok := r.GetBody().(*wire.LogRecord_Membership); ok && !wellFormedMembership(b.Membership) {
			return false
		}
	}
	return true
}

// wellFormedMembership reports whether a membership has a voter.
func wellFormedMembership(m *wire.Membership) bool {
	for _, member := range m.GetMembers() {
		if member.GetIdentity() != "" && !member.GetLearner() {
			return true
		}
	}
	return false
}
