package controllog

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// sendHello sends Hello to all known addresses while this process has no group, or has received nothing from a
// leader for LeaderSilence. A process without configured peers forms a group of its own, unless it is a spare.
func (v *Voter) sendHello(now time.Time) {
	silent := v.role != Leader && now.Sub(v.leaderHeard) >= LeaderSilence
	if (v.InGroup() && !silent) || now.Sub(v.helloSent) < v.helloPause(now) {
		return
	}
	v.helloSent = now
	if !v.InGroup() && len(v.peerAddresses()) == 0 {
		v.formGroup(now)
		return
	}
	for _, address := range v.contactAddresses() {
		h := &wire.Hello{Zone: v.config.Zone, Spare: v.config.Spare}
		v.send(address, "", &wire.VoterMessage{Body: &wire.VoterMessage_Hello{Hello: h}})
	}
}

// helloPause returns the pause between two Hello messages. It is short after the start, since the other control
// VMs may have started slightly later.
func (v *Voter) helloPause(now time.Time) time.Duration {
	if !v.InGroup() && now.Sub(v.leaderHeard) < StartupPeriod {
		return v.scaled(MinPreVotePause)
	}
	return v.scaled(HelloInterval)
}

// peerAddresses returns the configured addresses of the other control VMs.
func (v *Voter) peerAddresses() []string {
	var out []string
	for _, p := range v.config.Peers {
		if p != v.config.Address && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// contactAddresses returns every address at which another member may listen.
func (v *Voter) contactAddresses() []string {
	out := v.peerAddresses()
	for _, m := range v.Membership().Members {
		out = append(out, m.Address)
	}
	if v.leaderHint != "" {
		out = append(out, v.leaderHint)
	}
	sort.Strings(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == v.config.Address })
}

// handleHello replies to a process that sent Hello. A leader admits it as a learner.
func (v *Voter) handleHello(now time.Time, m *wire.VoterMessage, h *wire.Hello) {
	r := &wire.HelloReply{
		Zone: v.config.Zone, Formed: v.knowsGroup(), Leader: v.LeaderAddress(now), Spare: v.config.Spare, Challenge: v.challenge(now, m, h),
	}
	v.send(m.Address, m.From, &wire.VoterMessage{Body: &wire.VoterMessage_HelloReply{HelloReply: r}})
	if v.role == Leader && v.mayChangeMembership() {
		v.addLearner(now, &wire.VoterMember{Identity: m.From, Address: m.Address, Zone: h.Zone, Learner: true})
	}
}

// challenge returns a nonce for a process with another identity at the address of the leader of the term, or 0.
// Only one process at a time can use an address, so the leader has ended if the other process is running now. A
// delayed Hello of an earlier process does not prove that, so the process must first return the nonce.
func (v *Voter) challenge(now time.Time, m *wire.VoterMessage, h *wire.Hello) uint64 {
	if v.promiseReleased || v.role == Leader || m.From == string(v.termLeader) || m.Address != v.termLeaderAddress() {
		return 0
	}
	if v.nonce != 0 && h.Echo == v.nonce {
		v.endPromise(now)
		return 0
	}
	for v.nonce == 0 {
		v.nonce = v.random.Uint64()
	}
	return v.nonce
}

// termLeaderAddress returns the address of the leader of the term according to the membership, or "".
func (v *Voter) termLeaderAddress() string {
	for _, m := range v.Membership().Members {
		if m.Identity == string(v.termLeader) {
			return m.Address
		}
	}
	return ""
}

// handleHelloReply collects the replies of the other control VMs. The one with the lowest address forms the
// group once all others have replied that they have none. Gateways are left out.
func (v *Voter) handleHelloReply(now time.Time, m *wire.VoterMessage, r *wire.HelloReply) {
	if r.Challenge != 0 {
		h := &wire.Hello{Zone: v.config.Zone, Spare: v.config.Spare, Echo: r.Challenge}
		v.send(m.Address, m.From, &wire.VoterMessage{Body: &wire.VoterMessage_Hello{Hello: h}})
	}
	if r.Leader != "" {
		v.leaderHint = r.Leader
	}
	if v.knowsGroup() || v.config.Spare {
		return
	}
	v.helloReplies[m.Address] = m
	for _, address := range v.peerAddresses() {
		reply := v.helloReplies[address].GetHelloReply()
		if reply.GetGateway() {
			continue
		}
		if reply == nil || reply.Formed || reply.Spare || address < v.config.Address {
			return
		}
	}
	v.formGroup(now)
}

// formGroup appends the first record: the membership of a new group. The other members receive it by
// replication. Nothing can be committed until a majority of them has it.
func (v *Voter) formGroup(now time.Time) {
	listed := len(v.config.Peers) == 0 || slices.Contains(v.config.Peers, v.config.Address)
	if v.config.Spare || !listed {
		return
	}
	g := &wire.Membership{Group: string(v.id)}
	g.Members = append(g.Members, &wire.VoterMember{Identity: string(v.id), Address: v.config.Address, Zone: v.config.Zone})
	for _, address := range v.peerAddresses() {
		m := v.helloReplies[address]
		if m.GetHelloReply().GetGateway() {
			continue
		}
		g.Members = append(g.Members, &wire.VoterMember{Identity: m.From, Address: address, Zone: m.GetHelloReply().Zone})
	}
	g.Voters = uint32(max(len(g.Members), v.config.Voters))
	sortMembers(g)
	v.saveVote(v.term+1, v.id, "")
	r := &wire.LogRecord{Index: 1, Term: v.term, Body: &wire.LogRecord_Membership{Membership: g}}
	v.log.replaceFrom([]*wire.LogRecord{r})
	v.emit(Append{[]*wire.LogRecord{r}})
	v.startPreVote(now)
}

// mayChangeMembership reports whether the leader may change the membership: one change at a time, and only
// after a record of its own term is committed, so that no change of an earlier leader is overlooked.
func (v *Voter) mayChangeMembership() bool {
	return v.termCommitted && v.log.membership().index <= v.commit
}

// addLearner adds a learner, or updates the address of a member. If necessary, it first removes a silent learner
// with the same address, or one that occupies a place of the full group.
func (v *Voter) addLearner(now time.Time, n *wire.VoterMember) {
	g := proto.CloneOf(v.Membership())
	for _, m := range g.Members {
		if m.Identity != n.Identity {
			continue
		}
		if m.Address != n.Address {
			m.Address = n.Address
			v.appendMembership(now, g)
		}
		return
	}
	for i, m := range g.Members {
		silent := v.liveness.silence(now, Identity(m.Identity)) >= SupersededAfter
		if m.Learner && silent && (m.Address == n.Address || len(g.Members) >= MaxMembers) {
			g.Members = slices.Delete(g.Members, i, i+1)
			v.appendMembership(now, g)
			return
		}
	}
	if len(g.Members) < MaxMembers {
		v.liveness.heardFrom(now, Identity(n.Identity))
		g.Members = append(g.Members, n)
		v.appendMembership(now, g)
	}
}

// appendMembership appends a membership that differs from the current one in a single voter, or names the voters before.
func (v *Voter) appendMembership(now time.Time, g *wire.Membership) {
	sortMembers(g)
	v.appendRecord(now, &wire.LogRecord{Body: &wire.LogRecord_Membership{Membership: g}})
}

// repairMembership makes a learner a voter while there are fewer voters than intended, and otherwise in place of a lost voter.
func (v *Voter) repairMembership(now time.Time) {
	if !v.mayChangeMembership() {
		return
	}
	g := proto.CloneOf(v.Membership())
	g.Voters = uint32(v.intendedVoters())
	learner := member(g, v.replacementLearner(now))
	if v.endReplacement(g) || v.addVoter(g, learner) || v.replaceLostVoter(now, g, learner) || v.removeSilentLearner(now, g) {
		v.appendMembership(now, g)
	}
}

// intendedVoters returns the number of voters that the group grows to.
func (v *Voter) intendedVoters() int { return max(int(v.Membership().Voters), v.config.Voters) }

// endReplacement ends the replacement of a voter, after which the voters before it decide no longer.
func (v *Voter) endReplacement(g *wire.Membership) bool {
	ends := len(g.Previous) > 0
	g.Previous = nil
	return ends
}

// addVoter makes a learner, if there is one, a voter if there are fewer voters than intended.
func (v *Voter) addVoter(g *wire.Membership, learner *wire.VoterMember) bool {
	if learner == nil || len(v.voters()) >= int(g.Voters) {
		return false
	}
	learner.Learner = false
	return true
}

// replaceLostVoter gives the vote of a lost voter to a learner, if there is one, in one change: with a voter less in between,
// the loss of another one would be final also if the first one returns. The lost voter becomes a learner, or is removed if its
// data folder is lost.
func (v *Voter) replaceLostVoter(now time.Time, g *wire.Membership, learner *wire.VoterMember) bool {
	if learner == nil {
		return false
	}
	acked := v.followers[Identity(learner.Identity)].acked
	lost := slices.IndexFunc(g.Members, func(m *wire.VoterMember) bool {
		// A learner that has not answered since the voter announced its stop may be lost itself.
		return !m.Learner && v.isLost(now, m) && acked.After(v.liveness.stopping[Identity(m.Identity)])
	})
	if lost < 0 {
		return false
	}
	for _, id := range v.voters() {
		g.Previous = append(g.Previous, string(id))
	}
	learner.Learner, g.Members[lost].Learner = false, true
	if v.isSuperseded(now, g.Members[lost]) {
		g.Members = slices.Delete(g.Members, lost, lost+1)
	}
	return true
}

// removeSilentLearner removes a learner that has been silent for LearnerRetention. If it is running, its Hello brings it back.
func (v *Voter) removeSilentLearner(now time.Time, g *wire.Membership) bool {
	members := len(g.Members)
	g.Members = slices.DeleteFunc(g.Members, func(m *wire.VoterMember) bool {
		return m.Learner && v.liveness.silence(now, Identity(m.Identity)) >= LearnerRetention
	})
	return len(g.Members) < members
}

// member returns the member with an identity, or nil.
func member(g *wire.Membership, id Identity) *wire.VoterMember {
	for _, m := range g.Members {
		if m.Identity == string(id) {
			return m
		}
	}
	return nil
}

// replacementLearner returns a learner that may become a voter, or "". Learners that have almost every committed record come
// first, then configured control VMs before spares, and then availability zones with few voters, so that the loss of one zone
// leaves a majority where the number of zones allows it.
func (v *Voter) replacementLearner(now time.Time) Identity {
	var best *wire.VoterMember
	for _, m := range v.Membership().Members {
		if m.Learner && v.mayVote(now, m) && (best == nil || v.isPreferred(now, m, best)) {
			best = m
		}
	}
	return Identity(best.GetIdentity())
}

// mayVote reports whether a learner that replies may become a voter. It need not have caught up if the majority stays as large
// as it is: it replaces a lost voter, or makes an even number of voters odd. Then the others commit without it.
func (v *Voter) mayVote(now time.Time, m *wire.VoterMember) bool {
	f := v.followers[Identity(m.Identity)]
	if f == nil || now.Sub(f.replied) > LearnerFreshness || v.liveness.isStopping(Identity(m.Identity)) {
		return false
	}
	voters := len(v.voters())
	grows := voters < v.intendedVoters() && voters%2 == 1
	return !grows || v.isCaughtUp(f)
}

// isCaughtUp reports whether a member lacks at most one message of committed records.
func (v *Voter) isCaughtUp(f *follower) bool {
	_, inMemory := v.log.term(f.matched)
	return inMemory && v.commit <= f.matched+MaxBatchRecords && v.log.bytes(f.matched+1, v.commit) <= MaxBatchBytes
}

// isPreferred reports whether learner a becomes a voter before learner b.
func (v *Voter) isPreferred(now time.Time, a, b *wire.VoterMember) bool {
	ahead, behind := v.isCaughtUp(v.followers[Identity(a.Identity)]), v.isCaughtUp(v.followers[Identity(b.Identity)])
	if ahead != behind {
		return ahead
	}
	first, second := slices.Contains(v.config.Peers, a.Address), slices.Contains(v.config.Peers, b.Address)
	if first != second {
		return first
	}
	return v.votersIn(now, a.Zone) < v.votersIn(now, b.Zone)
}

// votersIn returns the number of voters in an availability zone that are not to be replaced.
func (v *Voter) votersIn(now time.Time, zone string) int {
	n := 0
	for _, m := range v.Membership().Members {
		if !m.Learner && m.Zone == zone && !v.isLost(now, m) {
			n++
		}
	}
	return n
}

// sortMembers sorts the members, so that equal memberships are equal messages.
func sortMembers(g *wire.Membership) {
	sort.Slice(g.Members, func(i, j int) bool { return g.Members[i].Identity < g.Members[j].Identity })
}
