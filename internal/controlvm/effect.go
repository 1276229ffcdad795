package controlvm

import (
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// waiter is a proposal whose outcome somebody waits for.
type waiter struct {
	term   uint64
	answer chan result // holds one result
}

// result is the outcome of a proposal.
type result struct {
	decision *wire.Decision // of a change; nil for other entries
	err      error
}

// errUnknown tells that an entry may still be committed.
var errUnknown = errors.New("controlvm: the outcome is not known; resend the change with the same id")

// errRedirect tells that this control VM does not lead.
type errRedirect struct{ leader string }

func (e errRedirect) Error() string {
	if e.leader == "" {
		return "controlvm: no leader now; ask again in a second"
	}
	return "controlvm: not the leader; ask " + e.leader
}

// step hands an event to the voter and performs the effects. Sends wait for settle.
func (vm *VM) step(now time.Time, e controllog.Event) {
	for _, effect := range vm.voter.Step(now, e) {
		if vm.fault != nil {
			return
		}
		vm.perform(now, effect)
	}
}

// perform performs one effect. Errors of the disk end the process, because it is not known what
// is durable.
func (vm *VM) perform(now time.Time, effect controllog.Effect) {
	switch e := effect.(type) {
	case controllog.Send:
		if e.Message.GetAppend() != nil {
			vm.outbox.put(e)
			return
		}
		vm.outgoing = append(vm.outgoing, e)
	case controllog.SaveVote:
		vm.fail(vm.folder.SaveVote(&wire.Vote{Term: e.Term, Candidate: string(e.Vote), Leader: string(e.Leader)}))
	case controllog.Append:
		vm.gather(e.Records)
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
		vm.proposed[e.Tag].answer <- result{err: errRedirect{e.Leader}}
		delete(vm.proposed, e.Tag)
	case controllog.BecameLeader:
		vm.startLeading(now, e.Term)
	case controllog.LostLeadership:
		vm.leaveOffice(e.Term)
	}
}

// fail notes an error of the disk.
func (vm *VM) fail(err error) {
	if err != nil && vm.fault == nil {
		vm.fault = errors.WithHint(err, "check the disk of the data folder, then start this control VM again")
	}
}

// gather keeps records for the next sync. Records that replace earlier ones go in a batch of
// their own, since a batch holds ascending indices.
func (vm *VM) gather(records []*wire.LogRecord) {
	if n := len(vm.unsynced); n > 0 && records[0].Index != vm.unsynced[n-1].Index+1 {
		vm.flush()
	}
	vm.unsynced = append(vm.unsynced, records...)
}

// flush makes the gathered records durable.
func (vm *VM) flush() *wire.LogRecord {
	n := len(vm.unsynced)
	if n == 0 || vm.fault != nil {
		return nil
	}
	last := vm.unsynced[n-1]
	started := clock.Now()
	vm.fail(vm.folder.Append(vm.unsynced))
	vm.metrics.synced(clock.Since(started), n)
	vm.unsynced = nil
	if vm.fault != nil {
		return nil
	}
	return last
}

// settle syncs the disk, follows what was applied and then lets the waiting messages go.
func (vm *VM) settle() {
	for vm.fault == nil && (len(vm.unsynced) > 0 || vm.changed) {
		if last := vm.flush(); last != nil {
			vm.step(clock.Now(), controllog.Synced{Index: last.Index, Term: last.Term})
		}
		if vm.changed {
			vm.react(clock.Now())
		}
	}
	if vm.fault != nil {
		return
	}
	for _, s := range vm.outgoing {
		vm.outbox.put(s)
	}
	vm.outgoing = nil
}

// apply applies committed records to the book and answers who waits for them.
func (vm *VM) apply(records []*wire.LogRecord) {
	for _, r := range records {
		var decision *wire.Decision
		if e := r.GetEntry(); e != nil {
			decision = vm.book.Apply(r.Index, e)
		}
		w := vm.waiting[r.Index]
		delete(vm.waiting, r.Index)
		switch {
		case w == nil:
		case w.term != r.Term:
			w.answer <- result{err: errUnknown}
		default:
			w.answer <- result{decision: decision}
		}
	}
	vm.changed = true
}

// compact writes a snapshot of the book.
func (vm *VM) compact(now time.Time, e controllog.TakeSnapshot) {
	vm.flush()
	if vm.fault != nil {
		return
	}
	s := &wire.VoterSnapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Book: vm.book.Snapshot()}
	vm.fail(vm.folder.Compact(s, e.Tail))
	vm.metrics.snapshots.Add(1)
	if vm.fault == nil {
		vm.step(now, controllog.SnapshotSaved{Snapshot: s})
	}
}

// install replaces the book by a snapshot of the leader.
func (vm *VM) install(now time.Time, e controllog.InstallSnapshot) {
	vm.flush()
	if vm.fault != nil {
		return
	}
	vm.fail(vm.folder.Compact(e.Snapshot, e.Tail))
	vm.fail(vm.rebook(e.Snapshot))
	if vm.fault != nil {
		return
	}
	log.WithField("index", e.Snapshot.Index).Info("snapshot installed")
	vm.metrics.installs.Add(1)
	vm.step(now, controllog.SnapshotInstalled{Snapshot: e.Snapshot})
	vm.changed = true
}

// propose hands an entry to the voter. The answer comes when the entry is committed, or when that
// has become uncertain.
func (vm *VM) propose(now time.Time, e *wire.Entry) *waiter {
	vm.tag++
	w := &waiter{answer: make(chan result, 1)}
	vm.proposed[vm.tag] = w
	vm.step(now, controllog.Proposed{Tag: vm.tag, Entry: e})
	return w
}
