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
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leadership is what only the leader does. It is made anew with each term.
type leadership struct {
	term            uint64
	issuer          *lease.Issuer
	removing        map[lease.EntryID]bool // being forgotten
	configuredIndex uint64                 // index of the book last configured from
	registrations   map[lease.EntryID]*wire.Registration

	coordinator failover.Policy
	version     uint64            // configuration last told to the coordinator
	revisions   map[string]uint64 // of the views last told to the coordinator, by group; nil at first

	ctx    context.Context // ends with the leadership
	cancel context.CancelFunc
}

// startLeading starts the leadership of a term. Everything committed is applied.
func (vm *VM) startLeading(now time.Time, term uint64) {
	log.WithField("term", term).Info("control leader")
	vm.metrics.elections.Add(1)
	book := vm.book
	d := &leadership{
		term:     term,
		issuer:   lease.NewIssuer(now, book.Configuration(), book.Registrations()),
		removing: map[lease.EntryID]bool{},

		coordinator: vm.newPolicy(),
	}
	d.issuer.SetTolerance(vm.options.Tolerance)
	d.issuer.Configure(now, book.Configuration(), book.Views())
	d.issuer.Resume(book.DrainedAccounts())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	vm.leadership = d
	vm.changed = true
}

// newPolicy returns the failover newPolicy of a new leader.
func (vm *VM) newPolicy() failover.Policy {
	if vm.options.Policy != nil {
		return vm.options.Policy(vm.folder.Identity())
	}
	return failover.New(vm.folder.Identity())
}

// propagateChanges follows changes of the book. It runs between steps of the voter, because it may propose.
func (vm *VM) propagateChanges(now time.Time) {
	vm.changed = false
	for w := range vm.watchers {
		signal(w.wake)
	}
	if d := vm.leadership; d != nil {
		d.configure(now, vm.book)
		vm.notifyCoordinator(now, d, vm.book)
	}
}

// stopLeading answers everybody who waits: their entries may still be committed by another leader.
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

// configure follows a change of the book.
func (d *leadership) configure(now time.Time, book *controlstate.State) {
	if d.configuredIndex == book.Index() && d.registrations != nil {
		return
	}
	d.configuredIndex = book.Index()
	known := map[lease.EntryID]*wire.Registration{}
	successors := map[string]*wire.Registration{}
	for _, r := range book.Registrations() {
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
	d.issuer.Configure(now, book.Configuration(), book.Views())
}

// leaderTick does what is due for a leader.
func (vm *VM) leaderTick(now time.Time) {
	d := vm.leadership
	if d == nil || !vm.voter.HoldsLease(now) {
		return
	}
	vm.stepCoordinator(now, failover.Tick{})
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

// proposeDrain has the log say whether a bucket may be below its reserve.
func (vm *VM) proposeDrain(now time.Time, d *leadership, change *wire.Drain) {
	w := vm.propose(now, &wire.Entry{Entry: &wire.Entry_Drain{Drain: change}})
	log.WithFields(log.Fields{"event": "drain", "account": change.Account, "drained": change.Drained}).Info("reserve of a client account")
	go func() {
		r := <-w.answer
		vm.inbox.Post(d.ctx, func(time.Time) { d.issuer.CompleteDrain(change.Account, change.Drained, r.err == nil) }) //nolint:errcheck // the leadership has ended
	}()
}

// terminate closes the connections of a dead entry VM before they count as free. The issuer asks
// again until that has succeeded.
func (vm *VM) terminate(d *leadership, e lease.Expired) {
	address := vm.address(string(e.Server))
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

// address returns the address of a member's PostgreSQL listener, or "".
func (vm *VM) address(server string) string {
	for _, v := range vm.book.Views() {
		for _, m := range v.Members {
			if m.Server == server {
				return m.Address
			}
		}
	}
	return ""
}

// registered reports whether the log knows an entry VM as it describes itself.
func (vm *VM) registered(r *wire.Registration) bool {
	all := vm.book.Registrations()
	i, ok := slices.BinarySearchFunc(all, r.Entry, func(known *wire.Registration, entry string) int {
		return strings.Compare(known.Entry, entry)
	})
	return ok && proto.Equal(all[i], r)
}

// renew answers an entry VM under the leader lease. A request that was sent before the entry VM
// heard of this term is redirected back here: it may be old, and a new issuer believes the first
// report of each entry VM. A process that never had an answer holds nothing and needs no term.
// It is false for an entry VM that must be registered first.
func (vm *VM) renew(now time.Time, r *wire.RenewRequest) (*wire.RenewReply, bool) {
	reply := &wire.RenewReply{Sequence: r.Sequence, Redirect: vm.voter.LeaderAddress(now)}
	d := vm.leadership
	if d == nil || !vm.voter.HoldsLease(now) {
		return reply, true
	}
	reply.Term = d.term
	if !vm.registered(r.Registration) {
		reply.Leader = r.Leaving // forgotten already
		return reply, r.Leaving
	}
	if r.Term != 0 && r.Term != d.term {
		return reply, true
	}
	if len(r.Sights) > 0 {
		vm.stepCoordinator(now, failover.ReachabilityReported{Entry: r.Registration.Entry, Sights: r.Sights})
	}
	reply.Leader, reply.Redirect = true, ""
	reply.Version = vm.book.Version()
	reply.Lease = configurationLease.Milliseconds()
	reply.Expiry = lease.Duration.Milliseconds()
	reply.Credits, reply.Budgets = d.issuer.Renew(now, r)
	reply.Settling = d.issuer.Recovering()
	for _, m := range vm.voter.Membership().Members {
		reply.Controls = append(reply.Controls, m.Address)
	}
	return reply, true
}
