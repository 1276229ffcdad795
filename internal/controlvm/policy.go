package controlvm

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// stepPolicy passes an event to the failover policy and performs the effects. The terms that the policy
// uses are in the log, and a later leader supersedes them with a higher term.
func (vm *VM) stepPolicy(now time.Time, e failover.Event) {
	d := vm.leadership
	if d == nil {
		return
	}
	for _, effect := range d.policy.Step(now, e) {
		switch e := effect.(type) {
		case failover.Propose:
			logFailoverEntry(e.Entry)
			vm.propose(now, e.Entry)
		case failover.Call:
			go vm.callBackend(d, e)
		case failover.PromotionDelayed:
			logDelay(e)
		}
	}
}

// logDelay logs what a promotion waits for.
func logDelay(e failover.PromotionDelayed) {
	fields := log.Fields{"group": e.Group, "term": e.Term, "fenced": e.Fenced, "required": e.Required}
	if e.Unreached {
		log.WithFields(fields).Warn("a promotion waits for the platform, which takes no orders")
		return
	}
	log.WithFields(fields).Warn("a promotion waits for replicas that may have acknowledged commits")
}

// logFailoverEntry logs the entries that show operators the progress of a failover.
func logFailoverEntry(e *wire.Entry) {
	switch e := e.Entry.(type) {
	case *wire.Entry_Raise:
		fields := log.Fields{"group": e.Raise.Group, "term": e.Raise.Term, "reason": e.Raise.Reason, "ordered": e.Raise.Server}
		log.WithFields(fields).Warn("raising the term of a database group")
	case *wire.Entry_Promoted:
		fields := log.Fields{"group": e.Promoted.Group, "term": e.Promoted.Term, "server": e.Promoted.Server, "offset": e.Promoted.Offset}
		log.WithFields(fields).Info("backend server promoted")
	case *wire.Entry_Admit:
		log.WithFields(log.Fields{"group": e.Admit.Group, "server": e.Admit.Member.Server}).Info("admitting a backend server")
	case *wire.Entry_Dismiss:
		log.WithFields(log.Fields{"group": e.Dismiss.Group, "server": e.Dismiss.Server}).Info("dismissing a backend server")
	}
}

// updatePolicy passes changes of the configuration and of the views to the failover policy.
func (vm *VM) updatePolicy(now time.Time, d *leadership, state *controlstate.State) {
	if c := state.Configuration(); c.GetVersion() != d.version || d.revisions == nil {
		d.version = c.GetVersion()
		vm.stepPolicy(now, failover.ConfigurationApplied{Groups: c.GetGroups(), Retired: c.GetRetired()})
	}
	revisions := map[string]uint64{}
	for _, v := range state.Views() {
		revisions[v.Group] = v.Revision
		if before, ok := d.revisions[v.Group]; !ok || before != v.Revision {
			vm.stepPolicy(now, failover.ViewApplied{View: v})
		}
	}
	d.revisions = revisions
}

// callBackend calls a function of a backend server and passes the answer to the failover policy. An answer
// from a server other than the addressed one counts as an error.
func (vm *VM) callBackend(d *leadership, c failover.Call) {
	ctx, cancel := context.WithTimeout(d.ctx, c.Timeout())
	defer cancel()
	report, err := vm.backends.Call(ctx, c)
	if err == nil && (report.Server != c.Server || report.Group != c.Group) {
		err = errors.Newf("controlvm: %s is %s of group %s, not %s of %s", c.Address, report.Server, report.Group, c.Server, c.Group)
	}
	answer := failover.CallCompleted{Call: c, Report: report, Err: err}
	vm.inbox.Post(d.ctx, func(now time.Time) { //nolint:errcheck // the leadership has ended
		if vm.leadership == d {
			vm.stepPolicy(now, answer)
		}
	})
}

// report converts the state to a report for the failover policy. The policy compares logs by the term in
// which they end. That term may have no record yet, so it is taken from the history.
func (i *instance) report(address string) failover.Report {
	last := position.Term(i.LastTerm)
	if n := len(i.History); n > 0 {
		last = max(last, i.History[n-1].Term)
	}
	return failover.Report{
		Server: failover.ServerID(i.Server), Group: failover.GroupID(i.Group), Address: address, Role: i.Role,
		Term: position.Term(i.Term), LastTerm: last, Offset: position.Offset(i.Pos), History: i.History,
		Promised: position.Term(i.Promised), Primary: i.Primary, Slots: i.Slots, Connections: i.Connections,
	}
}
