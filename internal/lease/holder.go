package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Verdict is what a Holder says about a request.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota // the cost is spent
	Wait                    // ask again after the next Grant, or refuse at the deadline
	Refused                 // no credit within the default deadline
)

// Result is the answer to Take.
type Result struct {
	Verdict Verdict
	Retry   time.Duration // for Refused: when credits may be there
}

// Usage is what an entry VM does with a backend server.
type Usage struct {
	Server ServerID
	Open   int // connections open or being opened
	Want   int // connections of use now, the status link included
}

// Holder holds the credits and connection budgets of one entry VM. It is not safe for concurrent use.
type Holder struct {
	accounts     map[AccountID]*balance
	sorted       []*balance       // sorted by account
	servers      map[ServerID]int // connection budgets, valid until expires
	expires      time.Time        // everything held ends here
	lastAnswered time.Time        // send time of the last answered request; zero before the first
	lastRequest  time.Time        // time of the last Demands; replies to earlier requests are dropped
	lastSequence uint64           // sequence of the last accepted reply
	next         time.Time        // time at which the next request is due
	urgent       bool             // a request waits for credits
}

// balance holds the credits of one account.
type balance struct {
	account             AccountID
	held                float64 // unspent credits, never negative
	spent               float64 // since the process started
	returned            float64 // since the process started
	waiting             float64 // cost of requests told to wait since the last Grant
	reported            float64 // spent as last reported
	want                float64 // as last reported
	listed              bool    // credits were held at the last report
	disconnectedCredits float64 // credits of its own part of the rate, for the time without an issuer
	disconnectedAt      time.Time
	float               float64 // kept even without use, as the issuer said last
	demand              meter
	lowMark             float64   // a request is due when held falls below it
	reportAt            time.Time // but not before this time
	requestAt           time.Time // a request is due when a statement waits, but not before this time
	refuseUntil         time.Time // requests before this time are refused
	retryAt             time.Time // when credits may be there
}

// NewHolder returns a Holder without credits or budgets.
func NewHolder() *Holder {
	return &Holder{accounts: map[AccountID]*balance{}, servers: map[ServerID]int{}}
}

// Take spends the cost of a request from the credits of the account, or says to wait or refuse.
// A waiting request takes again after each Grant.
func (h *Holder) Take(now time.Time, account AccountID, cost float64) Result {
	p, ok := h.accounts[account]
	if !ok {
		p = h.addAccount(account)
	}
	if !now.Before(h.expires) {
		p.held = 0
	}
	if p.held+epsilon >= cost {
		p.held = max(0, p.held-cost)
		p.spent += cost
		if p.held < p.lowMark {
			h.schedule(later(now, p.reportAt))
		}
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

// TakeDisconnected spends the cost of a request from the part of the account's rate that is left to this
// entry VM while no issuer answers it.
func (h *Holder) TakeDisconnected(now time.Time, account AccountID, rate, cost float64) bool {
	if !h.Disconnected(now) {
		return false
	}
	p, ok := h.accounts[account]
	if !ok {
		p = h.addAccount(account)
	}
	begun := h.lastAnswered.Add(disconnectTimeout)
	if p.disconnectedAt.Before(begun) {
		p.disconnectedCredits, p.disconnectedAt = 0, begun
	}
	p.disconnectedCredits = min(p.disconnectedCredits+rate*now.Sub(p.disconnectedAt).Seconds(), max(1, rate*recountInterval.Seconds()))
	p.disconnectedAt = now
	if p.disconnectedCredits+epsilon < cost {
		return false
	}
	p.disconnectedCredits -= cost
	p.spent += cost
	return true
}

// Disconnected reports whether no issuer has answered for so long that this entry VM goes on by itself.
func (h *Holder) Disconnected(now time.Time) bool {
	return !h.lastAnswered.IsZero() && now.Sub(h.lastAnswered) >= disconnectTimeout
}

// addAccount adds an account.
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

// Demands states what is held and wanted, sorted by account, for a request that is sent now.
// Credits far above the present use are given back. Replies to earlier requests are dropped from
// here on, so no two calls may be made at one time.
func (h *Holder) Demands(now time.Time) []*wire.Demand {
	var demands []*wire.Demand
	for _, p := range h.sorted {
		if !now.Before(h.expires) {
			p.held = 0
		}
		p.demand.add(now, p.spent-p.reported+p.waiting)
		if target := max(p.demand.target(), p.float/2); p.held > 2*target {
			// A part of a credit would admit nothing.
			keep := max(math.Floor(target), min(p.float, p.held))
			p.returned += p.held - keep
			p.held = keep
		}
		quiet := p.held == 0 && p.waiting == 0 && p.spent == p.reported && !p.listed
		p.reported = p.spent
		p.listed = p.held > 0
		p.want = max(0, p.waiting-p.held)
		if quiet {
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

// Needs states the connections that may be open and are wanted, in the order of the usages, for
// the same request as Demands.
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

// Grant takes over the reply to the request that was sent at the given time. Replies to earlier
// requests and repeated replies have no effect. Credits and budgets last for Life from the send time.
func (h *Holder) Grant(sent, now time.Time, reply *wire.RenewReply) {
	if !reply.GetLeader() || sent.Before(h.lastRequest) || reply.GetSequence() <= h.lastSequence {
		return
	}
	h.lastSequence = reply.GetSequence()
	if !now.Before(h.expires) {
		// The issuer may have stopped counting what has expired, so the reply must not extend it.
		for _, p := range h.sorted {
			p.held = 0
		}
	}
	life := Duration
	if ms := reply.GetExpiry(); ms > 0 {
		life = min(life, time.Duration(ms)*time.Millisecond)
	}
	h.expires = sent.Add(life)
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

// addCredit adds granted credits and notes when to ask for more.
func (h *Holder) addCredit(now time.Time, c *wire.Credit) {
	p, ok := h.accounts[AccountID(c.GetAccount())]
	if !ok {
		return
	}
	p.held += max(0, c.GetAmount())
	p.float = c.GetFloat()
	p.lowMark = p.held / 4
	if p.held < 16 {
		// A small stock would be low after each request; it is asked for when a request waits.
		p.lowMark = 0
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

// Urgent reports whether a Renew should be sent now because a request waits for credits.
func (h *Holder) Urgent() bool { return h.urgent }

// Next returns when the next Renew is due: at once if Urgent, else earlier than Interval after the
// last one if a stock runs low.
func (h *Holder) Next() time.Time { return h.next }

// Connections returns how many connections to the server may be open now, the status link
// included. At 0 all of them must be closed.
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
