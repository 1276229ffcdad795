package lease

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Policy selects how the rates of accounts are divided.
type Policy int

// Policies.
const (
	// Pooled grants credits from one bucket per account to the entry VMs with demand.
	Pooled Policy = iota
	// Static gives each entry VM an equal share of rate and burst. It is the baseline for measurements.
	Static
)

// Issuer distributes credits and connections over the entry VMs of the control group. Each new leader creates
// its own. It is not safe for concurrent use.
//
// Renew must only be called for entry VMs whose registration is in the control log, and only for requests
// that were sent to this leader in its term, since a new Issuer counts exactly the registered entry VMs and
// accepts their first report as it is.
type Issuer struct {
	policy     Policy
	tolerance  Tolerance
	idle       idleTime
	present    float64   // share of the entry VMs that sent a request within absentTimeout or left
	presentAt  time.Time // when present was computed
	start      time.Time
	holders    map[EntryID]*holder
	queue      []contact // accepted requests in order of time, to find expired leases
	unreported int       // registered holders that have not reported since start
	accounts   map[AccountID]*bucket
	former     map[AccountID]bool // accounts that had left the configuration before start
	servers    map[ServerID]*server
}

// contact is the time of an accepted request of a holder.
type contact struct {
	at     time.Time
	holder *holder
}

// holder is the issuer's state of an entry VM.
type holder struct {
	id        EntryID
	sequence  uint64    // of the last accepted request
	lastSeen  time.Time // when that request was accepted
	reported  bool      // it has reported to this issuer
	silent    bool      // its leases ended without a further request, or it left
	lapsed    bool      // the control log records, or is about to, that it holds nothing
	left      bool      // its last request reported that it leaves and holds nothing any more
	removable bool      // returned by Removable
	shares    map[AccountID]*share
	slots     map[ServerID]*slot
	credits   []*wire.Credit // reply to sequence, repeated for a duplicate
	budgets   []*wire.Budget
}

// Expired is a holder without a lease whose connections must be terminated at a backend server.
type Expired struct {
	Entry  EntryID
	Server ServerID
}

// NewIssuer returns the Issuer of a new leader. Every registered entry VM counts as holding its maximum until
// it reports or the leases of the former leader have ended.
func NewIssuer(now time.Time, c *wire.Configuration, rs []*wire.Registration) *Issuer {
	i := &Issuer{
		start:    now,
		holders:  map[EntryID]*holder{},
		accounts: map[AccountID]*bucket{},
		servers:  map[ServerID]*server{},
	}
	for _, r := range rs {
		h := i.addHolder(EntryID(r.GetEntry()))
		if r.GetLapsed() {
			h.reported, h.silent, h.lapsed = true, true, true
			continue
		}
		i.unreported++
	}
	for _, a := range c.GetAccounts() {
		i.accounts[AccountID(a.GetName())] = &bucket{issuer: i, rate: a.GetRate(), burst: a.GetBurst(), refilledAt: now}
	}
	i.idle = idleTime{allRestarted: i.unreported > 0}
	return i
}

// SetTolerance sets the tolerance. It is zero unless set before the first Configure.
func (i *Issuer) SetTolerance(t Tolerance) { i.tolerance = t }

// setLimits sets the limits of a bucket.
func (i *Issuer) setLimits(b *bucket, a *wire.Account) {
	b.excess = i.tolerance.excess(a.GetRate(), a.GetBurst())
	b.rate, b.burst, b.removed = a.GetRate(), a.GetBurst()+b.excess, false
	b.evenFloat = b.excess / float64(max(len(i.holders), 1))
}

// SetFormer sets the accounts that had left the configuration before the start of this issuer. If one comes back, its bucket is
// what it has earned since the start, like that of the accounts that stayed: it may have spent its burst under a former issuer.
func (i *Issuer) SetFormer(accounts []string) {
	i.former = map[AccountID]bool{}
	for _, name := range accounts {
		i.former[AccountID(name)] = true
	}
}

// SetPolicy selects the policy. It is Pooled unless set before the first Renew.
func (i *Issuer) SetPolicy(p Policy) { i.policy = p }

func (i *Issuer) addHolder(id EntryID) *holder {
	h := &holder{id: id, shares: map[AccountID]*share{}, slots: map[ServerID]*slot{}}
	i.holders[id] = h
	return h
}

// Configure applies accounts, rates and members. An account added later starts with a full bucket, unless SetFormer named it.
func (i *Issuer) Configure(now time.Time, c *wire.Configuration, views []*wire.View) {
	i.expire(now)
	for _, b := range i.accounts {
		b.removed = true
	}
	for _, a := range c.GetAccounts() {
		id := AccountID(a.GetName())
		b, ok := i.accounts[id]
		if !ok {
			b = &bucket{issuer: i, refilledAt: now}
			i.accounts[id] = b
		}
		b.refill(now, i.unreported)
		i.setLimits(b, a)
		switch {
		case ok:
		case i.former[id]:
			b.refilledAt = i.start
		default:
			b.level = b.burst
		}
		b.refill(now, i.unreported)
	}
	i.updateServers(c, views)
}

// Renew accounts for the report of the entry VM and grants what it requests, within the limits of each
// account and server. A duplicate request gets the same reply, one that arrives after a later one gets none.
func (i *Issuer) Renew(now time.Time, r *wire.RenewRequest) ([]*wire.Credit, []*wire.Budget) {
	i.expire(now)
	id := EntryID(r.GetRegistration().GetEntry())
	h, ok := i.holders[id]
	if !ok {
		h = i.addHolder(id)
		h.reported = true
	}
	if h.removable || h.reported && r.GetSequence() < h.sequence {
		return nil, nil
	}
	if h.reported && h.sequence > 0 && r.GetSequence() == h.sequence {
		return h.credits, h.budgets
	}
	first := !h.reported
	if first {
		i.idle.allRestarted = false // the former process may have spent credits since
		h.reported = true
		i.setUnreported(now, i.unreported-1)
	}
	h.sequence = r.GetSequence()
	h.lastSeen = now
	h.silent, h.lapsed = false, false
	i.queue = append(i.queue, contact{now, h})
	h.credits = i.grantCredits(now, h, r.GetDemands(), first)
	h.budgets = i.leaseConnections(h, r.GetNeeds())
	if r.GetLeaving() {
		i.leave(now, h)
	}
	return h.credits, h.budgets
}

// Recovering reports whether registered entry VMs have yet to report to a new issuer. Until then credits are
// scarce even for accounts within their rate.
func (i *Issuer) Recovering() bool { return i.unreported > 0 }

// leave frees everything that a holder had. The holder itself reported that it holds nothing any more.
func (i *Issuer) leave(now time.Time, h *holder) {
	for _, s := range h.shares {
		out := s.outstanding
		s.drop(now, i.unreported)
		s.bucket.level += out
	}
	clear(h.shares)
	for name, s := range h.slots {
		if !s.ended {
			i.servers[name].remove(h.id)
			delete(h.slots, name)
		}
	}
	h.credits, h.budgets = nil, nil
	h.silent, h.left = true, true
}

// SetDrained sets the accounts whose buckets may be below their reserve according to the control log. All others
// have at least the reserve, since the former issuer could only go below it after the log had recorded that.
func (i *Issuer) SetDrained(drained []string) {
	for _, name := range drained {
		if b, ok := i.accounts[AccountID(name)]; ok {
			b.drained = true
		}
	}
	for _, b := range i.accounts {
		if !b.drained {
			b.inheritedReserve = b.reserve()
			b.level = max(b.level, b.inheritedReserve)
		}
	}
}

// PendingDrains returns the accounts that became drained or refilled, to be proposed to the control log. Each
// change is returned once; CompleteDrain reports its outcome.
func (i *Issuer) PendingDrains(now time.Time) []*wire.Drain {
	var changes []*wire.Drain
	for name, b := range i.accounts {
		b.refill(now, i.unreported)
		switch {
		case b.drainProposed || b.removed:
		case b.drainNeeded && !b.drained:
			b.drainNeeded, b.drainProposed = false, true
			changes = append(changes, &wire.Drain{Account: string(name), Drained: true})
		case b.isRefilled(now):
			// From here on the reserve is kept, whether or not the control log records it.
			b.drained, b.drainProposed = false, true
			changes = append(changes, &wire.Drain{Account: string(name)})
		}
	}
	slices.SortFunc(changes, func(a, b *wire.Drain) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return changes
}

// CompleteDrain records the outcome of a change that PendingDrains returned. If known is false the change
// failed, and it is proposed again when it is still needed.
func (i *Issuer) CompleteDrain(account string, drained, known bool) {
	b, ok := i.accounts[AccountID(account)]
	if !ok {
		return
	}
	b.drainProposed = false
	if known {
		b.drained = drained
	}
}

// presentFraction returns the share of the entry VMs that certainly do not admit statements on their own. It is
// counted at most once per recountInterval.
func (i *Issuer) presentFraction(now time.Time) float64 {
	if i.tolerance.MaxDisconnected == 0 || len(i.holders) == 0 {
		return 1
	}
	if i.present > 0 && now.Sub(i.presentAt) < recountInterval {
		return i.present
	}
	absent := 0
	for _, h := range i.holders {
		if !h.left && (!h.reported || now.Sub(h.lastSeen) >= absentTimeout) {
			absent++
		}
	}
	i.presentAt = now
	i.present = float64(len(i.holders)-absent) / float64(len(i.holders))
	return i.present
}

// mayRemove reports whether a silent entry VM certainly no longer admits statements on its own.
func (i *Issuer) mayRemove(now time.Time, h *holder) bool {
	since := h.lastSeen
	if since.IsZero() {
		since = i.start
	}
	return h.left || now.Sub(since) >= i.tolerance.MaxDisconnected+i.tolerance.MaxDisconnected/100
}

// expire ends the leases of holders whose last request is older than grantLifetime.
func (i *Issuer) expire(now time.Time) {
	if i.unreported > 0 && now.Sub(i.start) >= grantLifetime {
		i.idle.allRestarted = false
		i.setUnreported(now, 0)
		for _, h := range i.holders {
			if !h.reported {
				h.reported = true
				i.expireHolder(now, h)
				for name, s := range i.servers {
					h.slots[name] = s.block(h.id)
				}
			}
		}
	}
	for len(i.queue) > 0 && now.Sub(i.queue[0].at) >= grantLifetime {
		v := i.queue[0]
		i.queue = i.queue[1:]
		if v.holder.lastSeen.Equal(v.at) && !v.holder.silent {
			i.expireHolder(now, v.holder)
		}
	}
}

// setUnreported lowers the number of unreported holders. The buckets are refilled first, while these holders
// still limit their levels.
func (i *Issuer) setUnreported(now time.Time, unreported int) {
	for _, b := range i.accounts {
		b.refill(now, i.unreported)
	}
	i.unreported = unreported
	if unreported > 0 || !i.idle.allRestarted {
		return
	}
	i.idle.allRestarted = false
	for _, b := range i.accounts {
		b.level = min(b.level+b.rate*i.idle.shortest.Seconds(), b.burst)
	}
}

// idleTime measures for how long no credits were spent, if every entry VM was restarted.
type idleTime struct {
	allRestarted bool          // every registered entry VM has been superseded so far
	shortest     time.Duration // shortest time that a successor has run; 0 before the first
}

// observe records the age of a successor.
func (t *idleTime) observe(age time.Duration) {
	if t.shortest == 0 || age < t.shortest {
		t.shortest = age
	}
}

// expireHolder stops counting a holder's credits as outstanding. They may have been spent, so they don't
// return to the bucket. Its connections count until they are terminated.
func (i *Issuer) expireHolder(now time.Time, h *holder) {
	h.silent = true
	for _, s := range h.shares {
		s.drop(now, i.unreported)
	}
	clear(h.shares)
	for name, s := range h.slots {
		if s.counted == 0 && !s.ended {
			i.servers[name].remove(h.id)
			delete(h.slots, name)
			continue
		}
		s.ended = true
		i.servers[name].targetsStale = true
	}
}

// Expire ends the leases of silent entry VMs and returns the connections to terminate, sorted by entry VM and
// server. Each is returned again every second until Terminated is called.
func (i *Issuer) Expire(now time.Time) []Expired {
	i.expire(now)
	var ended []Expired
	for _, h := range i.holders {
		for name, s := range h.slots {
			if s.ended && (s.returnedAt.IsZero() || now.Sub(s.returnedAt) >= time.Second) {
				s.returnedAt = now
				ended = append(ended, Expired{h.id, name})
			}
		}
	}
	slices.SortFunc(ended, func(a, b Expired) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Server, b.Server))
	})
	return ended
}

// Terminated records that the backend server has closed the connections of an expired entry VM.
func (i *Issuer) Terminated(entry EntryID, server ServerID) {
	h, ok := i.holders[entry]
	if !ok {
		return
	}
	if s, ok := h.slots[server]; ok && s.ended {
		i.servers[server].remove(entry)
		delete(h.slots, server)
	}
}

// Removable returns the entry VMs that were silent or left and hold nothing any more, sorted. The caller
// proposes their removal to the control log; they get no grants until Remove.
func (i *Issuer) Removable(now time.Time) []EntryID {
	var gone []EntryID
	for id, h := range i.holders {
		if h.silent && len(h.slots) == 0 && i.mayRemove(now, h) {
			h.removable = true
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Supersede drops an entry VM whose process has certainly ended, because another one runs in its place. Its
// credits may have been spent and are not returned; its connections are closed. The age is how long the
// successor had run when it was registered.
func (i *Issuer) Supersede(now time.Time, entry EntryID, age time.Duration) {
	i.expire(now)
	h, ok := i.holders[entry]
	if !ok {
		return
	}
	if !h.reported {
		h.reported = true
		i.idle.observe(age)
		i.setUnreported(now, i.unreported-1)
	}
	for _, s := range h.shares {
		s.drop(now, i.unreported)
	}
	for name := range h.slots {
		i.servers[name].remove(h.id)
	}
	h.silent = true // contacts in the queue no longer expire it
	delete(i.holders, entry)
}

// Lapsed returns the entry VMs that were silent until their leases ended, each once, sorted. The control log
// records them, so that the next issuer does not count them as holding anything.
func (i *Issuer) Lapsed() []EntryID {
	if i.tolerance.MaxDisconnected == 0 {
		return nil
	}
	var lapsed []EntryID
	for id, h := range i.holders {
		if h.silent && !h.left && !h.lapsed {
			h.lapsed = true
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// Remove drops an entry VM that was removed from the control log. If its process still runs, it must be
// registered again before its next Renew.
func (i *Issuer) Remove(entry EntryID) {
	if h, ok := i.holders[entry]; ok && h.removable {
		delete(i.holders, entry)
	}
}
