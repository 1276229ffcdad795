package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Policy is how the rates of accounts are divided.
type Policy int

// Policies.
const (
	// Pooled grants credits from one bucket per account to the entry VMs that have demand.
	Pooled Policy = iota
	// Static gives each entry VM an equal part of rate and burst. It is the baseline for measurement.
	Static
)

// Issuer divides credits and connections among the entry VMs of the control group. A new leader
// makes a new one. It is not safe for concurrent use.
//
// Renew must only be called for entry VMs whose registration is in the control log, and only for
// requests that were sent to this leader in its term, since a new Issuer counts exactly the
// registered ones and believes their first report.
type Issuer struct {
	policy    Policy
	tolerance Tolerance
	idle      idleTime
	present   float64   // share of the entry VMs that are heard, or left in order
	presentAt time.Time // when present was computed
	start     time.Time
	holders   map[EntryID]*holder
	queue     []contact // accepted requests in order of time, to find silent holders
	unknown   int       // registered holders that have not reported since start
	accounts  map[AccountID]*bucket
	servers   map[ServerID]*server
}

// contact notes that a holder was heard at a time.
type contact struct {
	at     time.Time
	holder *holder
}

// holder is what the issuer knows of an entry VM.
type holder struct {
	id        EntryID
	sequence  uint64    // of the last accepted request
	lastSeen  time.Time // when it was accepted
	reported  bool      // it reported to this issuer
	silent    bool      // its leases ended without a further request, or it left
	lapsed    bool      // the log says that it holds nothing, or is about to
	left      bool      // it said itself that it holds nothing any more
	removable bool      // the shell was told to forget it
	shares    map[AccountID]*share
	slots     map[ServerID]*slot
	credits   []*wire.Credit // answer to sequence, repeated for a duplicate
	budgets   []*wire.Budget
}

// Expired names a dead holder whose connections must be terminated at a backend server.
type Expired struct {
	Entry  EntryID
	Server ServerID
}

// NewIssuer returns the Issuer of a new leader. Every registered entry VM counts as holding its
// maximum until it reports or the leases of the former leader have ended.
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
		i.unknown++
	}
	for _, a := range c.GetAccounts() {
		i.accounts[AccountID(a.GetName())] = &bucket{issuer: i, rate: a.GetRate(), burst: a.GetBurst(), refilledAt: now}
	}
	i.idle = idleTime{allRestarted: i.unknown > 0}
	return i
}

// SetTolerance sets the tolerance. It is zero unless set before the first Configure.
func (i *Issuer) SetTolerance(t Tolerance) { i.tolerance = t }

// setLimits sets the sizes of a bucket.
func (i *Issuer) setLimits(b *bucket, a *wire.Account) {
	extra := i.tolerance.excess(a.GetRate(), a.GetBurst())
	b.rate, b.burst, b.removed = a.GetRate(), a.GetBurst()+extra, false
	b.float = math.Floor(extra / float64(max(len(i.holders), 1)))
}

// SetPolicy selects the policy. It is Pooled unless set before the first Renew.
func (i *Issuer) SetPolicy(p Policy) { i.policy = p }

func (i *Issuer) addHolder(id EntryID) *holder {
	h := &holder{id: id, shares: map[AccountID]*share{}, slots: map[ServerID]*slot{}}
	i.holders[id] = h
	return h
}

// Configure takes over accounts, rates and members. An account added later starts with a full bucket.
func (i *Issuer) Configure(now time.Time, c *wire.Configuration, views []*wire.View) {
	i.expire(now)
	for _, b := range i.accounts {
		b.removed = true
	}
	for _, a := range c.GetAccounts() {
		b, ok := i.accounts[AccountID(a.GetName())]
		if !ok {
			b = &bucket{issuer: i, level: a.GetBurst() + i.tolerance.excess(a.GetRate(), a.GetBurst()), refilledAt: now}
			i.accounts[AccountID(a.GetName())] = b
		}
		b.refill(now, i.unknown)
		i.setLimits(b, a)
		b.refill(now, i.unknown)
	}
	i.updateServers(c, views)
}

// Renew settles what the entry VM reports and grants what it wants within the invariants. A repeated
// request gets the same answer, one that was overtaken gets none.
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
		i.idle.allRestarted = false // a process that ran before may have spent credits since
		h.reported = true
		i.setUnknown(now, i.unknown-1)
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

// Recovering reports whether registered entry VMs have yet to report to a new issuer. Until then
// credits are short for accounts within their rate too.
func (i *Issuer) Recovering() bool { return i.unknown > 0 }

// leave frees all that a holder had. It says itself that it holds nothing any more.
func (i *Issuer) leave(now time.Time, h *holder) {
	for _, s := range h.shares {
		out := s.outstanding
		s.release(now, i.unknown)
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

// Resume tells a new issuer which accounts' buckets may be below their reserve. All others hold at
// least that: the issuer before would have had the log say so first.
func (i *Issuer) Resume(drained []string) {
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

// PendingDrains returns the changes that the log must hear of. Each is returned once; Drained tells its outcome.
func (i *Issuer) PendingDrains(now time.Time) []*wire.Drain {
	var changes []*wire.Drain
	for name, b := range i.accounts {
		b.refill(now, i.unknown)
		switch {
		case b.drainProposed || b.removed:
		case b.drainNeeded && !b.drained:
			b.drainNeeded, b.drainProposed = false, true
			changes = append(changes, &wire.Drain{Account: string(name), Drained: true})
		case b.isRefilled(now):
			// From here on the reserve holds, whether the log has heard of it or not.
			b.drained, b.drainProposed = false, true
			changes = append(changes, &wire.Drain{Account: string(name)})
		}
	}
	slices.SortFunc(changes, func(a, b *wire.Drain) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return changes
}

// CompleteDrain tells what the log says of an account now, or that a change was lost.
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

// presentFraction returns the share of the entry VMs that do not go on alone.
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

// mayRemove reports whether a silent entry VM certainly admits nothing by itself any more.
func (i *Issuer) mayRemove(now time.Time, h *holder) bool {
	since := h.lastSeen
	if since.IsZero() {
		since = i.start
	}
	return h.left || now.Sub(since) >= i.tolerance.MaxDisconnected+i.tolerance.MaxDisconnected/100
}

// expire ends the leases of holders that were not heard of while their leases last.
func (i *Issuer) expire(now time.Time) {
	if i.unknown > 0 && now.Sub(i.start) >= grantLifetime {
		i.idle.allRestarted = false
		i.setUnknown(now, 0)
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

// setUnknown lowers the number of unknown holders. What was earned before is added first, while they
// still count.
func (i *Issuer) setUnknown(now time.Time, unknown int) {
	for _, b := range i.accounts {
		b.refill(now, i.unknown)
	}
	i.unknown = unknown
	if unknown > 0 || !i.idle.allRestarted {
		return
	}
	i.idle.allRestarted = false
	for _, b := range i.accounts {
		b.level = min(b.level+b.rate*i.idle.shortest.Seconds(), b.burst)
	}
}

// idleTime tells for how long nobody spent anything, if every entry VM was started again.
type idleTime struct {
	allRestarted bool          // so far each registered entry VM turned out to be superseded
	shortest     time.Duration // shortest time that a successor has run; 0 before the first
}

// observe takes over the age of a successor.
func (q *idleTime) observe(age time.Duration) {
	if q.shortest == 0 || age < q.shortest {
		q.shortest = age
	}
}

// expireHolder stops counting a holder's credits as held. They may have been spent, so they don't return to
// the bucket. Its connections count until they are terminated.
func (i *Issuer) expireHolder(now time.Time, h *holder) {
	h.silent = true
	for _, s := range h.shares {
		s.release(now, i.unknown)
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

// Expire ends the leases of silent entry VMs and returns the connections to terminate, sorted by
// entry VM and server. Each is returned again every second until Terminated is called.
func (i *Issuer) Expire(now time.Time) []Expired {
	i.expire(now)
	var ended []Expired
	for _, h := range i.holders {
		for name, s := range h.slots {
			if s.ended && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= time.Second) {
				s.reportedAt = now
				ended = append(ended, Expired{h.id, name})
			}
		}
	}
	slices.SortFunc(ended, func(a, b Expired) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Server, b.Server))
	})
	return ended
}

// Terminated tells that the backend server has closed the connections of a dead entry VM.
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

// Removable returns the entry VMs that hold nothing any more and were silent or left, sorted. The shell
// proposes to forget them; they get no more grants until Forget.
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

// Supersede drops an entry VM whose process has certainly ended, because another one runs in its
// place. What it held may have been spent and does not return; its connections are closed.
// The age is how long the other one had run when it was registered.
func (i *Issuer) Supersede(now time.Time, entry EntryID, age time.Duration) {
	i.expire(now)
	h, ok := i.holders[entry]
	if !ok {
		return
	}
	if !h.reported {
		h.reported = true
		i.idle.observe(age)
		i.setUnknown(now, i.unknown-1)
	}
	for _, s := range h.shares {
		s.release(now, i.unknown)
	}
	for name := range h.slots {
		i.servers[name].remove(h.id)
	}
	h.silent = true // contacts in the queue refer to it no more
	delete(i.holders, entry)
}

// Lapsed returns the entry VMs that were silent until all they held ended, each once, sorted. The log
// notes them, so that the next issuer does not count them as holding anything.
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

// Remove drops an entry VM that the control log has forgotten. If it lives, it must be registered
// before its next Renew.
func (i *Issuer) Remove(entry EntryID) {
	if h, ok := i.holders[entry]; ok && h.removable {
		delete(i.holders, entry)
	}
}
