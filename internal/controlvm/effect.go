package controlvm

import (
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// pendingProposal is a proposal whose outcome is awaited.
type pendingProposal struct {
	term   uint64
	answer chan result // buffered for the one result
}

// result is the outcome of a proposal.
type result struct {
	decision *wire.Decision // decision on a change; nil for other entries
	err      error
}

// errOutcomeUnknown is the error for an entry that may still be committed.
var errOutcomeUnknown = errors.New("controlvm: the outcome is not known; resend the change with the same id")

// errNotLeader is the error of a call that only the leader can serve. leader is the address of the
// leader, or "" if it is unknown.
type errNotLeader struct{ leader string }

func (e errNotLeader) Error() string {
	if e.leader == "" {
		return "controlvm: no leader now; ask again in a second"
	}
	return "controlvm: not the leader; ask " + e.leader
}

// step passes an event to the voter and performs the effects. Messages other than appends are sent by
// syncAndSend, after the buffered records are durable.
func (vm *VM) step(now time.Time, e controllog.Event) {
	for _, effect := range vm.voter.Step(now, e) {
		if vm.diskErr != nil {
			return
		}
		vm.perform(now, effect)
	}
}

// perform performs one effect. A disk error ends the process, because it is unknown which data is
// durable.
func (vm *VM) perform(now time.Time, effect controllog.Effect) {
	switch e := effect.(type) {
	case controllog.Send:
		if e.Message.GetAppend() != nil {
			vm.outbox.enqueue(e)
			return
		}
		vm.outgoing = append(vm.outgoing, e)
	case controllog.SaveVote:
		vm.recordDiskError(vm.folder.SaveVote(&wire.Vote{Term: e.Term, Candidate: string(e.Vote), Leader: string(e.Leader)}))
	case controllog.Append:
		vm.bufferRecords(e.Records)
	case controllog.Commit:
		vm.apply(e.Records)
	case controllog.TakeSnapshot:
		vm.compact(now, e)
	case controllog.InstallSnapshot:
		vm.install(now, e)
	case controllog.Accepted:
		w := vm.proposed[e.Tag]
		delete(vm.proposed, e.Tag)
		w.term = e.Term
		vm.waiting[e.Index] = w
	case controllog.Refused:
		vm.proposed[e.Tag].answer <- result{err: errNotLeader{e.Leader}}
		delete(vm.proposed, e.Tag)
	case controllog.BecameLeader:
		vm.startLeading(now, e.Term)
	case controllog.LostLeadership:
		vm.stopLeading(e.Term)
	}
}

// recordDiskError records the first disk error, which ends the loop.
func (vm *VM) recordDiskError(err error) {
	if err != nil && vm.diskErr == nil {
		vm.diskErr = errors.WithHint(err, "check the disk of the data folder, then start this control VM again")
	}
}

// bufferRecords adds records to the batch of the next sync. Records that replace earlier ones start a new
// batch, because the indices of a batch are consecutive.
func (vm *VM) bufferRecords(records []*wire.LogRecord) {
	if n := len(vm.unsynced); n > 0 && records[0].Index != vm.unsynced[n-1].Index+1 {
		vm.flush()
	}
	vm.unsynced = append(vm.unsynced, records...)
}

// flush makes the buffered records durable and returns the last one. It returns nil if there are none or
// the disk failed.
func (vm *VM) flush() *wire.LogRecord {
	n := len(vm.unsynced)
	if n == 0 || vm.diskErr != nil {
		return nil
	}
	last := vm.unsynced[n-1]
	started := clock.Now()
	vm.recordDiskError(vm.folder.Append(vm.unsynced))
	vm.metrics.recordSync(clock.Since(started), n)
	vm.unsynced = nil
	if vm.diskErr != nil {
		return nil
	}
	return last
}

// syncAndSend makes buffered records durable, propagates changes of the applied state and then sends the
// queued messages.
func (vm *VM) syncAndSend() {
	for vm.diskErr == nil && (len(vm.unsynced) > 0 || vm.changed) {
		if last := vm.flush(); last != nil {
			vm.step(clock.Now(), controllog.Synced{Index: last.Index, Term: last.Term})
		}
		if vm.changed {
			vm.propagateChanges(clock.Now())
		}
	}
	if vm.diskErr != nil {
		return
	}
	for _, s := range vm.outgoing {
		vm.outbox.enqueue(s)
	}
	vm.outgoing = nil
}

// apply applies committed records to the control state and sends the results of their pending proposals.
func (vm *VM) apply(records []*wire.LogRecord) {
	for _, r := range records {
		var decision *wire.Decision
		if e := r.GetEntry(); e != nil {
			decision = vm.applyEntry(r.Index, e)
		}
		w := vm.waiting[r.Index]
		delete(vm.waiting, r.Index)
		switch {
		case w == nil:
		case w.term != r.Term:
			w.answer <- result{err: errOutcomeUnknown}
		default:
			w.answer <- result{decision: decision}
		}
	}
	vm.changed = true
}

// compact writes a snapshot of the control state and removes the records before it from the write-ahead file.
func (vm *VM) compact(now time.Time, e controllog.TakeSnapshot) {
	vm.flush()
	if vm.diskErr != nil {
		return
	}
	s := &wire.VoterSnapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Book: vm.state.Snapshot()}
	vm.recordDiskError(vm.folder.Compact(s, e.Tail))
	vm.metrics.snapshots.Add(1)
	if vm.diskErr == nil {
		vm.step(now, controllog.SnapshotSaved{Snapshot: s})
	}
}

// install replaces the control state with a snapshot received from the leader.
func (vm *VM) install(now time.Time, e controllog.InstallSnapshot) {
	vm.flush()
	if vm.diskErr != nil {
		return
	}
	vm.recordDiskError(vm.folder.Compact(e.Snapshot, e.Tail))
	vm.recordDiskError(vm.restoreState(e.Snapshot))
	if vm.diskErr != nil {
		return
	}
	log.WithField("index", e.Snapshot.Index).Info("snapshot installed")
	vm.metrics.installs.Add(1)
	vm.step(now, controllog.SnapshotInstalled{Snapshot: e.Snapshot})
	vm.changed = true
}

// propose passes an entry to the voter. The result is sent when the entry is committed, or when its
// outcome becomes unknown.
func (vm *VM) propose(now time.Time, e *wire.Entry) *pendingProposal {
	vm.lastTag++
	w := &pendingProposal{answer: make(chan result, 1)}
	vm.proposed[vm.lastTag] = w
	vm.step(now, controllog.Proposed{Tag: vm.lastTag, Entry: e})
	return w
}
