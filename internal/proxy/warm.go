package proxy

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/spread"
)

const (
	// ownershipSettle is the time without a change of owners after which connections to them are opened.
	ownershipSettle = 500 * time.Millisecond
	// maxWarmPeers is the number of entry VMs to which connections are opened before a statement needs them.
	maxWarmPeers = 96
)

// warmUp opens connections to the entry VMs that this one will need, before a statement waits for one: a new connection
// takes two round trips, and with hundreds of entry VMs most statements are the first to their owner for a long time. It
// is used by the event loop only.
type warmUp struct {
	from    *placement.Ownership // ownership for which pending was computed
	since   time.Time            // when it came into force
	pending []string             // addresses without a connection
	listed  bool                 // pending has been computed
}

// settled reports whether the owners have not changed for ownershipSettle.
func (w *warmUp) settled(now time.Time, o *placement.Ownership) bool {
	if w.from != o {
		*w = warmUp{from: o, since: now}
	}
	return now.Sub(w.since) >= ownershipSettle
}

// next returns the address of the next entry VM to connect to, or "" for none.
func (w *warmUp) next(now time.Time, o *placement.Ownership, list func() []string) string {
	if !w.settled(now, o) {
		return ""
	}
	if !w.listed {
		w.pending, w.listed = list(), true
	}
	if len(w.pending) == 0 {
		return ""
	}
	address := w.pending[0]
	w.pending = w.pending[1:]
	return address
}

// pendingWork reports whether connections are still to be opened.
func (w *warmUp) pendingWork() bool { return !w.listed || len(w.pending) > 0 }

// neededPeers returns the addresses of the keepers of credits in this availability zone and of the owners of connections,
// each group in an order that differs between entry VMs.
func (p *Proxy) neededPeers() []string {
	keepers := slices.Clone(p.creditKeeperVMs(p.options.Node.Zone, p.entries.Load()))
	var addresses []string
	for _, vms := range [][]placement.EntryVM{keepers, p.ownership.Load().First()} {
		slices.SortFunc(vms, func(a, b placement.EntryVM) int {
			return cmp.Compare(spread.Hash(p.options.Process, a.ID), spread.Hash(p.options.Process, b.ID))
		})
		for _, e := range vms {
			if e.ID != p.options.Process && !slices.Contains(addresses, e.Address) {
				addresses = append(addresses, e.Address)
			}
		}
	}
	return addresses[:min(len(addresses), maxWarmPeers)]
}

// openAhead opens connections to the instances whose connections this VM owns, before statements of their client accounts
// wait for them: those of the accounts with the highest rates first. It reports whether the VM owns any.
func (p *Proxy) openAhead(now time.Time) (owns bool) {
	ownership := p.ownership.Load()
	settled := p.warm.settled(now, ownership) && p.stopStarted.Load() == nil
	accounts := p.config.Load().byRate
	for _, g := range p.groups {
		for _, pool := range g.ownedPools(p.options.Process, ownership) {
			owns = true
			if settled {
				pool.OpenAhead(now, accounts)
			}
		}
	}
	return owns
}
