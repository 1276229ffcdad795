package controlvm

import (
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/contract"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// forgetAfter is the silence after which the leader drops an entry VM from the log. Everything it
// held has ended long before.
const forgetAfter = time.Minute

// duties are what only the leader does. They are made anew with each term of office.
type duties struct {
	term    uint64
	renewed map[string]time.Time // last Renew of each registered entry VM, or the start of the office
	leaving map[string]bool      // being forgotten
	seen    uint64               // index of the book last configured from
}

// takeOffice starts the duties. Everything committed is applied.
func (vm *VM) takeOffice(now time.Time, term uint64) {
	log.WithField("term", term).Info("control leader")
	vm.metrics.elections.Add(1)
	vm.duties = &duties{term: term, renewed: map[string]time.Time{}, leaving: map[string]bool{}}
	vm.duties.configure(now, vm.book)
}

// configure follows a change of the book.
func (d *duties) configure(now time.Time, book *contract.Book) {
	d.seen = book.Index()
	present := map[string]bool{}
	for _, r := range book.Registrations() {
		present[r.Entry] = true
		if _, ok := d.renewed[r.Entry]; !ok {
			d.renewed[r.Entry] = now
		}
	}
	for entry := range d.renewed {
		if !present[entry] {
			delete(d.renewed, entry)
			delete(d.leaving, entry)
		}
	}
}

// duty does what is due for a leader.
func (vm *VM) duty(now time.Time) {
	d := vm.duties
	if d == nil || !vm.voter.Lease(now) {
		return
	}
	for entry, at := range d.renewed {
		if now.Sub(at) >= forgetAfter && !d.leaving[entry] {
			d.leaving[entry] = true
			vm.propose(now, &wire.Entry{Entry: &wire.Entry_Forget{Forget: entry}})
		}
	}
}

// registered reports whether the log knows an entry VM as it describes itself.
func (vm *VM) registered(r *wire.Registration) bool {
	for _, known := range vm.book.Registrations() {
		if known.Entry == r.Entry {
			return proto.Equal(known, r)
		}
	}
	return false
}

// renew answers an entry VM under the leader lease.
func (vm *VM) renew(now time.Time, r *wire.RenewRequest) *wire.RenewReply {
	reply := &wire.RenewReply{Sequence: r.Sequence, Redirect: vm.voter.LeaderAddress(now)}
	if vm.duties == nil || !vm.voter.Lease(now) {
		return reply
	}
	vm.duties.renewed[r.Registration.Entry] = now
	reply.Leader, reply.Redirect = true, ""
	reply.Version = vm.book.Version()
	reply.Lease = configurationLease.Milliseconds()
	reply.Expiry = creditExpiry.Milliseconds()
	reply.Credits, reply.Budgets = interimGrants(r)
	return reply
}

// interimGrants grants every demand. It stands in until internal/lease is merged.
func interimGrants(r *wire.RenewRequest) (credits []*wire.Credit, budgets []*wire.Budget) {
	for _, d := range r.Demands {
		credits = append(credits, &wire.Credit{Account: d.Account, Amount: d.Want})
	}
	for _, n := range r.Needs {
		budgets = append(budgets, &wire.Budget{Server: n.Server, Connections: max(n.Want, n.Held)})
	}
	return credits, budgets
}
