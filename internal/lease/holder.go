package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Verdict is the decision of a Holder on a request.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota // the cost is spent
	Wait                    // call Take again after the next Grant, or refuse at the deadline
	Refused                 // no credit within the default deadline
)

// Result is returned by Take.
type Result struct {
	Verdict Verdict
	Retry   time.Duration // for Refused: time until credits may be available
}

// Usage is the number of connections of an entry VM to a backend server.
type Usage struct {
	Server ServerID
	Open   int // connections open or being opened
	Want   int // connections needed now, including the status link
}

// Holder manages the credits and connection budgets of one entry VM. It is not safe for concurrent use.
type Holder struct {
	accounts     map[AccountID]*balance
	sorted       []*balance       // sorted by account
	servers      map[ServerID]int // connection budgets, valid until expires
	expires      time.Time        // end of the lease of all credits and budgets
	lastAnswered time.Time        // send time of the last answered request; zero before the first
	lastRequest  time.Time        // time of the last Demands; replies to earlier requests are dropped
	lastSequence uint64           // sequence of the last accepted reply
	next         time.Time        // time at which the next request is due
	urgent       bool             // a request waits for credits
}

// balance is the credits of one account.
type balance struct {
	account             AccountID
	held                float64 // unspent credits, never negative
	spent               float64 // since the process started
	returned            float64 // since the process started
	waiting             float64 // cost of requests that were told to wait since the last Grant
	reported            float64 // spent, as of the last report
	want                float64 // as of the last report
	listed              bool    // credits were held at the last report
	disconnectedCredits float64 // credits of its own share of the rate, used while disconnected
	disconnectedAt      time.Time
	sharedAt            time.Time // until when the accrual of that share has been handed over
	pooled              float64   // credits that other entry VMs handed over; zero unless disconnected
	float               float64   // credits kept without demand, as set by the issuer
	demand              meter
	lowMark             float64   // a request is due when held falls below it
	reportAt            time.Time // but not before this time
	requestAt           time.Time // a request for a waiting statement is not due before this time
	refuseUntil         time.Time // Take refuses until this time
	retryAt             time.Time // when credits may be available
}

// NewHolder returns a Holder without credits or budgets.
func NewHolder() *Holder {
	return &Holder{accounts: map[AccountID]*balance{}, servers: map[ServerID]int{}}
}

// Take spends the cost of a request from the credits of the account, or decides that it waits or is refused.
// A waiting request calls Take again after each Grant.
func (h *Holder) Take(now time.Time, account AccountID, cost float64) Result {
	p, ok := h.accounts[account]
	if !ok {
		p = h.addAccount(account)
	}
	if h.spend(now, p, cost) {
		return Result{Verdict: Admitted}
	}
	if now.Before(p.refuseUntil) {
		return Result{Verdict: Refused, Retry: p.retryAt.Sub(now)}
	}
	p.waiting += cost
	if now.Before(p.requestAt) {
		h.schedule(p.requestAt)
		return Result{Verdict: Wait}
	}
	h.urgent = true
	h.schedule(now)
	return Result{Verdict: Wait}
}

// TakeHeld spends the cost of a request if the credits held suffice. Otherwise it requests none from the issuer.
func (h *Holder) TakeHeld(now time.Time, account AccountID, cost float64) bool {
	p, ok := h.accounts[account]
	return ok && h.spend(now, p, cost)
}

// spend spends the cost of a request from the credits held.
func (h *Holder) spend(now time.Time, p *balance, cost float64) bool {
	if !now.Before(h.expires) {
		p.held = 0
	}
	if p.held+epsilon < cost {
		return false
	}
	p.held = max(0, p.held-cost)
	p.spent += cost
	if p.held < p.lowMark {
		h.schedule(later(now, p.reportAt))
	}
	return true
}

// Disconnected reports whether no issuer has answered for so long that this entry VM admits statements on its
// own.
func (h *Holder) Disconnected(now time.Time) bool {
	return !h.lastAnswered.IsZero() && now.Sub(h.lastAnswered) >= disconnectTimeout
}

// Answered reports whether an issuer has answered and this entry VM is not disconnected.
func (h *Holder) Answered(now time.Time) bool {
	return !h.lastAnswered.IsZero() && !h.Disconnected(now)
}

func (h *Holder) addAccount(account AccountID) *balance {
	p := &balance{account: account}
	h.accounts[account] = p
	i, _ := slices.BinarySearchFunc(h.sorted, account, func(p *balance, a AccountID) int { return cmp.Compare(p.account, a) })
	h.sorted = slices.Insert(h.sorted, i, p)
	return p
}

// schedule moves the next request forward to the given time.
func (h *Holder) schedule(at time.Time) {
	if at.Before(h.next) {
		h.next = at
	}
}

// Demands returns the credits held and requested, sorted by account, for a request that is sent now. Credits
// far above the current demand are returned to the issuer. Replies to earlier requests are dropped from now
// on, so two calls must not be made at the same time.
func (h *Holder) Demands(now time.Time) []*wire.Demand {
	var demands []*wire.Demand
	for _, p := range h.sorted {
		if !now.Before(h.expires) {
			p.held = 0
		}
		p.demand.add(now, p.spent-p.reported+p.waiting)
		if target := max(p.demand.target(), p.float/2); p.held > 2*target {
			// A fraction of a credit would admit nothing.
			keep := max(math.Floor(target), min(p.float, p.held))
			p.returned += p.held - keep
			p.held = keep
		}
		unchanged := p.held == 0 && p.waiting == 0 && p.spent == p.reported && !p.listed
		p.reported = p.spent
		p.listed = p.held > 0
		p.want = max(0, p.waiting-p.held)
		if unchanged {
			continue
		}
		demands = append(demands, &wire.Demand{
			Account:  string(p.account),
			Want:     p.want,
			Held:     p.held,
			Spent:    p.spent,
			Returned: p.returned,
		})
	}
	h.lastRequest = now
	h.next = now.Add(RenewInterval)
	h.urgent = false
	return demands
}

// Needs returns the connections that may be open and those requested, in the order of the usages, for the
// same request as Demands.
func (h *Holder) Needs(now time.Time, usages []Usage) []*wire.Need {
	needs := make([]*wire.Need, 0, len(usages))
	for _, u := range usages {
		needs = append(needs, &wire.Need{
			Server: string(u.Server),
			Want:   uint32(max(0, u.Want)),
			Held:   uint32(max(u.Open, h.Connections(now, u.Server), 0)),
		})
	}
	return needs
}

// Grant applies the reply to the request that was sent at the given time. Replies to earlier requests and
// duplicate replies have no effect. Credits and budgets are valid for Duration from the send time.
func (h *Holder) Grant(sent, now time.Time, reply *wire.RenewReply) {
	if !reply.GetLeader() || sent.Before(h.lastRequest) || reply.GetSequence() <= h.lastSequence {
		return
	}
	h.lastSequence = reply.GetSequence()
	if !now.Before(h.expires) {
		// The issuer may have stopped counting expired credits, so the reply must not extend them.
		for _, p := range h.sorted {
			p.held = 0
		}
	}
	validity := Duration
	if ms := reply.GetExpiry(); ms > 0 {
		validity = min(validity, time.Duration(ms)*time.Millisecond)
	}
	h.expires = sent.Add(validity)
	h.lastAnswered = sent
	for _, p := range h.sorted {
		p.lowMark, p.reportAt, p.requestAt, p.refuseUntil = 0, time.Time{}, time.Time{}, time.Time{}
	}
	for _, c := range reply.GetCredits() {
		h.addCredit(now, c)
	}
	for _, p := range h.sorted {
		p.waiting = 0
	}
	clear(h.servers)
	for _, b := range reply.GetBudgets() {
		h.servers[ServerID(b.GetServer())] = int(b.GetConnections())
	}
}

// addCredit adds granted credits and sets when more are requested.
func (h *Holder) addCredit(now time.Time, c *wire.Credit) {
	p, ok := h.accounts[AccountID(c.GetAccount())]
	if !ok {
		return
	}
	p.held += max(0, c.GetAmount())
	p.float = c.GetFloat()
	p.lowMark = p.held / 4
	if p.held < 16 {
		// A small balance would be below the mark after each request; more is requested when it is spent, or, without
		// a float, when a statement waits.
		p.lowMark = min(1, p.float)
	}
	if c.GetRetry() <= 0 {
		return
	}
	wait := time.Duration(c.GetRetry()) * time.Millisecond
	p.reportAt = now.Add(wait)
	p.lowMark = p.held
	if c.GetAmount()+epsilon >= p.want {
		return
	}
	p.requestAt = p.reportAt
	if wait > maxWait {
		p.retryAt = p.requestAt
		p.refuseUntil = p.requestAt.Add(-maxWait)
	}
}

// Urgent reports whether a Renew should be sent now because a statement waits for credits.
func (h *Holder) Urgent() bool { return h.urgent }

// Next returns when the next Renew is due: at once if Urgent, otherwise within RenewInterval of the last one,
// and earlier if a balance runs low.
func (h *Holder) Next() time.Time { return h.next }

// Connections returns how many connections to the server may be open now, including the status link. At 0 all
// of them must be closed.
func (h *Holder) Connections(now time.Time, server ServerID) int {
	if !now.Before(h.expires) {
		return 0
	}
	return h.servers[server]
}

// Held returns the unspent credits of the account, for the state dump.
func (h *Holder) Held(now time.Time, account AccountID) float64 {
	p, ok := h.accounts[account]
	if !ok || !now.Before(h.expires) {
		return 0
	}
	return p.held
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
