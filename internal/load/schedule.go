package load

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// arrival is one request of the open loop, due at an offset from the start of the run.
type arrival struct {
	due         time.Duration
	write       bool
	transaction bool // for writes: in an explicit transaction
	ownWrite    bool // for reads: of the session's own last write, otherwise of the newest that must be visible
	// withinRate is set if an ideal token bucket with the account's rate and burst covers the cost of the
	// request.
	withinRate bool
}

// Numbers of statements that the proxy counts against the rate: COMMIT is free, BEGIN and SET are not.
const (
	costRead        = 1
	costWrite       = 1
	costTransaction = 3 // BEGIN, INSERT, UPDATE
	costSet         = 1 // of the parameter that carries the request id
)

// cost returns the number of statements of a request.
func (w *Workload) cost(a arrival) float64 {
	switch {
	case !a.write:
		return costRead
	case a.transaction:
		return costTransaction
	case w.RequestIDs:
		return costWrite + costSet
	}
	return costWrite
}

// meanCost returns the mean number of statements per request of an account.
func (w *Workload) meanCost(a *Account) float64 {
	single := w.cost(arrival{write: true})
	return (1-a.WriteShare)*costRead + a.WriteShare*((1-transactionShare)*single+transactionShare*costTransaction)
}

// Shares of the kinds of writes and reads.
const (
	transactionShare = 0.3
	ownWriteShare    = 0.5
)

// newRandom returns the generator of one part of a run. Parts with generators of their own do not influence
// each other.
func newRandom(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// schedule returns the arrivals of an account: a Poisson process whose mean number of statements per second
// is the rate that the account sends. MaxRequests is shared by the accounts in proportion to their rates.
func (w *Workload) schedule(a *Account) []arrival {
	r := newRandom(w.Seed, a.Name)
	total := 0.0
	for _, b := range w.Accounts {
		total += b.Rate * b.SendFactor
	}
	limit := int(float64(w.MaxRequests) * a.Rate * a.SendFactor / total)
	frequency := a.Rate * a.SendFactor / w.meanCost(a)
	var arrivals []arrival
	at, tokens, refilled := 0.0, a.Burst, 0.0
	for len(arrivals) < limit {
		at += r.ExpFloat64() / frequency
		due := time.Duration(at * float64(time.Second))
		if due >= w.Duration {
			break
		}
		next := arrival{due: due, write: r.Float64() < a.WriteShare, transaction: r.Float64() < transactionShare, ownWrite: r.Float64() < ownWriteShare}
		tokens, refilled = min(a.Burst, tokens+(at-refilled)*a.Rate), at
		if cost := w.cost(next); tokens >= cost {
			tokens -= cost
			next.withinRate = true
		}
		arrivals = append(arrivals, next)
	}
	return arrivals
}
