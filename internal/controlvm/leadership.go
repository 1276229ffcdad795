package controlvm

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/spread"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leadership is the state that only the leader has. Each term starts with a new one.
type leadership struct {
	term            uint64
	issuer          *lease.Issuer
	removing        map[lease.EntryID]bool // entry VMs whose removal is proposed
	configuredIndex uint64                 // index of the control state at the last configure
	registrations   map[lease.EntryID]*wire.Registration
	announced       *announced
	warmth          *warmth

	policy    failover.Policy
	version   uint64            // version of the configuration last passed to the policy
	revisions map[string]uint64 // revisions of the views last passed to the policy, by group; nil at first

	ctx    context.Context // canceled when the leadership ends
	cancel context.CancelFunc
}

// startLeading starts the leadership of a term. All committed entries have been applied by then.
func (vm *VM) startLeading(now time.Time, term uint64) {
	log.WithField("term", term).Info("control leader")
	vm.metrics.elections.Add(1)
	state := vm.state
	d := &leadership{
		term:     term,
		issuer:   lease.NewIssuer(now, state.Configuration(), state.Registrations()),
		removing: map[lease.EntryID]bool{}, announced: newAnnounced(), warmth: newWarmth(),

		policy: vm.newPolicy(),
	}
	d.issuer.SetTolerance(vm.options.Tolerance)
	d.issuer.SetFormer(state.FormerAccounts())
	d.issuer.Configure(now, state.Configuration(), state.Views())
	d.issuer.SetDrained(state.DrainedAccounts())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	vm.leadership = d
	vm.changed = true
}

// newPolicy returns the failover policy for a new leader.
func (vm *VM) newPolicy() failover.Policy {
	if vm.options.Policy != nil {
		return vm.options.Policy(vm.folder.Identity())
	}
	return failover.New(vm.folder.Identity())
}

// propagateChanges passes changes of the control state to the watchers, the issuer and the failover policy.
// It runs between steps of the voter, because it may propose entries.
func (vm *VM) propagateChanges(now time.Time) {
	vm.changed = false
	vm.wakeWatchers(now)
	if d := vm.leadership; d != nil {
		d.configure(now, vm.state)
		vm.updatePolicy(now, d, vm.state)
	}
}

// stopLeading ends the leadership. Pending proposals fail with errOutcomeUnknown, because another leader may
// still commit their entries.
func (vm *VM) stopLeading(term uint64) {
	log.WithField("term", term).Warn("control leadership lost")
	for index, w := range vm.waiting {
		delete(vm.waiting, index)
		w.answer <- result{err: errOutcomeUnknown}
	}
	if vm.leadership != nil {
		vm.leadership.cancel()
		vm.leadership = nil
	}
}

// configure updates the issuer after a change of the control state.
func (d *leadership) configure(now time.Time, state *controlstate.State) {
	if d.configuredIndex == state.Index() && d.registrations != nil {
		return
	}
	d.configuredIndex = state.Index()
	known := map[lease.EntryID]*wire.Registration{}
	successors := map[string]*wire.Registration{}
	for _, r := range state.Registrations() {
		known[lease.EntryID(r.Entry)] = r
		successors[r.Process] = r
	}
	for entry, r := range d.registrations {
		if known[entry] != nil {
			continue
		}
		if s := successors[r.Process]; s != nil && r.Process != "" {
			d.issuer.Supersede(now, entry, time.Duration(s.Age)*time.Millisecond)
		}
		d.issuer.Remove(entry)
		delete(d.removing, entry)
	}
	d.registrations = known
	d.issuer.Configure(now, state.Configuration(), state.Views())
}

// leaderTick performs the periodic work of a leader that has its lease: failovers, expired grants,
// registrations and reserves of client accounts.
func (vm *VM) leaderTick(now time.Time) {
	d := vm.leadership
	if d == nil || !vm.voter.HoldsLease(now) {
		return
	}
	vm.stepPolicy(now, failover.Tick{})
	for _, e := range d.issuer.Expire(now) {
		vm.terminate(d, e)
	}
	for _, entry := range d.issuer.Lapsed() {
		vm.propose(now, &wire.Entry{Entry: &wire.Entry_Lapse{Lapse: string(entry)}})
	}
	for _, change := range d.issuer.PendingDrains(now) {
		vm.proposeDrain(now, d, change)
	}
	for _, entry := range d.issuer.Removable(now) {
		if !d.removing[entry] && d.registrations[entry] != nil {
			d.removing[entry] = true
			vm.propose(now, &wire.Entry{Entry: &wire.Entry_Forget{Forget: string(entry)}})
		}
	}
}

// proposeDrain proposes an entry that records whether the bucket of an account may be below its reserve.
func (vm *VM) proposeDrain(now time.Time, d *leadership, change *wire.Drain) {
	w := vm.propose(now, &wire.Entry{Entry: &wire.Entry_Drain{Drain: change}})
	log.WithFields(log.Fields{"event": "drain", "account": change.Account, "drained": change.Drained}).Info("reserve of a client account")
	go func() {
		r := <-w.answer
		vm.inbox.Post(d.ctx, func(time.Time) { d.issuer.CompleteDrain(change.Account, change.Drained, r.err == nil) }) //nolint:errcheck // the leadership has ended
	}()
}

// terminate closes the connections of a dead entry VM. They count as free only after that. The issuer
// repeats the request until it succeeds.
func (vm *VM) terminate(d *leadership, e lease.Expired) {
	address := vm.memberAddress(string(e.Server))
	if address == "" {
		return
	}
	go func() {
		if vm.backends.Terminate(d.ctx, address, string(e.Entry)) != nil {
			return
		}
		vm.inbox.Post(d.ctx, func(time.Time) { d.issuer.Terminated(e.Entry, e.Server) }) //nolint:errcheck // the leadership has ended
	}()
}

// memberAddress returns the address of a member's PostgreSQL listener, or "".
func (vm *VM) memberAddress(server string) string {
	for _, v := range vm.state.Views() {
		for _, m := range v.Members {
			if m.Server == server {
				return m.Address
			}
		}
	}
	return ""
}

// registered reports whether the log contains exactly the registration of a request, or a current one of its identity if
// the request has only that.
func (vm *VM) registered(r *wire.RenewRequest) bool {
	all := vm.state.Registrations()
	i, ok := slices.BinarySearchFunc(all, r.Registration.Entry, func(known *wire.Registration, entry string) int {
		return strings.Compare(known.Entry, entry)
	})
	if r.Brief {
		return ok && !all[i].Lapsed
	}
	return ok && proto.Equal(all[i], r.Registration)
}

// renew answers a renewal under the leader lease. A request that names another term was sent before the
// entry VM learned of this term. It is redirected to this same control VM instead of being served, because
// it may be old and a new issuer trusts the first report of each entry VM. A process that has received no
// reply yet has no grants and sends no term. renew returns false if the entry VM must be registered first.
func (vm *VM) renew(now time.Time, r *wire.RenewRequest) (*wire.RenewReply, bool) {
	reply := &wire.RenewReply{Sequence: r.Sequence, Redirect: vm.voter.LeaderAddress(now)}
	d := vm.leadership
	if d == nil || !vm.voter.HoldsLease(now) {
		return reply, true
	}
	reply.Term = d.term
	known := vm.registered(r)
	if !known && r.Brief && !r.Leaving {
		reply.Unknown, reply.Redirect = true, ""
		return reply, true
	}
	if !known {
		reply.Leader = r.Leaving // its registration is removed already
		return reply, r.Leaving
	}
	if r.Term != 0 && r.Term != d.term {
		return reply, true
	}
	if len(r.Sights) > 0 {
		vm.stepPolicy(now, failover.ReachabilityReported{Entry: r.Registration.Entry, Sights: r.Sights})
	}
	reply.Leader, reply.Redirect = true, ""
	reply.Version = vm.state.Version()
	reply.Lease = configurationLease.Milliseconds()
	reply.Expiry = lease.Duration.Milliseconds()
	reply.Credits, reply.Budgets = d.issuer.Renew(now, r)
	reply.Settling = d.issuer.Recovering()
	vm.fillControls(r, reply)
	return reply, true
}

// fillControls sets the control VMs of the group unless the entry VM has them from an earlier reply.
func (vm *VM) fillControls(r *wire.RenewRequest, reply *wire.RenewReply) {
	var addresses []string
	for _, m := range vm.voter.Membership().Members {
		addresses = append(addresses, m.Address)
	}
	if reply.Members = spread.Hash(addresses...); r.Members != reply.Members {
		reply.Controls = addresses
	}
}
