package lease

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// poolPeriod bounds the credits that a pool keeps of an account, as the time in which the whole rate earns them, beyond
// one credit. What a quiet account leaves in the pools is spent at once later, so it must stay far below the tolerated excess.
const poolPeriod = 200 * time.Millisecond

// maxHandOver bounds the time for which accrued credits are handed over at once.
const maxHandOver = time.Second

// DisconnectedShare is the part of the rate of a client account that one entry VM may use while no issuer answers.
type DisconnectedShare struct {
	rate  float64 // credits per second
	start float64 // credits at the start of a disconnection, below 1
}

// NewDisconnectedShare returns the share of the entry VM with an index among count ones. All have the same rate.
// They start with different fractions of a credit, so that the shares of many entry VMs yield their first whole
// credits one after the other, as fast as the whole rate would. The order differs by account.
func NewDisconnectedShare(account AccountID, rate float64, index, count int) DisconnectedShare {
	count = max(count, 1)
	place := (max(index, 0) + int(spread.Fraction(string(account))*float64(count))) % count
	return DisconnectedShare{rate: rate / float64(count), start: float64(place) / float64(count)}
}

// TakeDisconnected spends the cost of a request from this entry VM's own share of the account's rate, and from what other
// entry VMs handed over, if it is disconnected from the issuer.
func (h *Holder) TakeDisconnected(now time.Time, account AccountID, s DisconnectedShare, cost float64) bool {
	if !h.Disconnected(now) {
		return false
	}
	p := h.accrue(now, account, s)
	if p.disconnectedCredits+p.pooled+epsilon < cost {
		return false
	}
	fromPool := min(p.pooled, cost)
	p.pooled -= fromPool
	p.disconnectedCredits = max(p.disconnectedCredits-(cost-fromPool), 0)
	p.spent += cost
	return true
}

// HandOver gives up the credits that this entry VM's own share of the account's rate has accrued since the last call, and
// returns them. They are added to the pool of another entry VM, or are lost. The start of the share stays here.
func (h *Holder) HandOver(now time.Time, account AccountID, s DisconnectedShare) float64 {
	if !h.Disconnected(now) {
		return 0
	}
	p := h.accrue(now, account, s)
	accrued := s.rate * min(now.Sub(p.sharedAt), maxHandOver).Seconds()
	p.sharedAt = now
	amount := min(accrued, p.disconnectedCredits)
	p.disconnectedCredits -= amount
	return amount
}

// Pool adds credits that another entry VM handed over. rate is that of the whole account, in credits per second. It returns
// false if this entry VM is not disconnected: the issuer serves its requests then, and the credits are lost.
func (h *Holder) Pool(now time.Time, account AccountID, s DisconnectedShare, rate, amount float64) bool {
	if !h.Disconnected(now) {
		return false
	}
	p := h.accrue(now, account, s)
	p.pooled = min(p.pooled+max(amount, 0), 1+rate*poolPeriod.Seconds())
	return true
}

// accrue returns the balance of an account with the credits that the share has earned up to now.
func (h *Holder) accrue(now time.Time, account AccountID, s DisconnectedShare) *balance {
	p, ok := h.accounts[account]
	if !ok {
		p = h.addAccount(account)
	}
	begun := h.lastAnswered.Add(disconnectTimeout)
	if p.disconnectedAt.Before(begun) {
		p.disconnectedCredits, p.disconnectedAt = s.start, begun
		p.sharedAt, p.pooled = begun, 0
	}
	p.disconnectedCredits = min(p.disconnectedCredits+s.rate*now.Sub(p.disconnectedAt).Seconds(), max(1, s.rate*recountInterval.Seconds()))
	p.disconnectedAt = now
	return p
}
