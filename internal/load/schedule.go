package load

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// arrival is one request of the open loop, due at an offset from the start of the run.
type arrival struct {
	due   time.Duration
	write bool
	whole bool // a write in an explicit transaction
	own   bool // a read of the session's own last write, else of a write that must be visible
	// within tells that an ideal bucket with the account's rate and burst holds the cost of the request.
	within bool
}

// Statements that the proxy charges: COMMIT is free, BEGIN and SET are not.
const (
	costRead  = 1
	costWrite = 1
	costWhole = 3 // BEGIN, INSERT, UPDATE
	costSet   = 1 // of the request id
)

// cost returns the statements of a request.
func (w *Workload) cost(a arrival) float64 {
	switch {
	case !a.write:
		return costRead
	case a.whole:
		return costWhole
	case w.RequestIDs:
		return costWrite + costSet
	}
	return costWrite
}

// meanCost returns the mean number of statements per request of an account.
func (w *Workload) meanCost(a *Account) float64 {
	single := w.cost(arrival{write: true})
	return (1-a.WriteShare)*costRead + a.WriteShare*((1-shareWhole)*single+shareWhole*costWhole)
}

// Shares of the kinds of writes and reads.
const (
	shareWhole = 0.3
	shareOwn   = 0.5
)

// random returns the generator of one part of a run, so that parts do not disturb each other.
func random(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// schedule returns the arrivals of an account: a Poisson process whose statements come at the rate
// that it sends. The limit
// is shared by the accounts in proportion to what they send.
func (w *Workload) schedule(a *Account) []arrival {
	r := random(w.Seed, a.Name)
	total := 0.0
	for _, b := range w.Accounts {
		total += b.Rate * b.SendFactor
	}
	limit := int(float64(w.MaxRequests) * a.Rate * a.SendFactor / total)
	frequency := a.Rate * a.SendFactor / w.meanCost(a)
	var arrivals []arrival
	at, level, filled := 0.0, a.Burst, 0.0
	for len(arrivals) < limit {
		at += r.ExpFloat64() / frequency
		due := time.Duration(at * float64(time.Second))
		if due >= w.Duration {
			break
		}
		next := arrival{due: due, write: r.Float64() < a.WriteShare, whole: r.Float64() < shareWhole, own: r.Float64() < shareOwn}
		level, filled = min(a.Burst, level+(at-filled)*a.Rate), at
		if cost := w.cost(next); level >= cost {
			level -= cost
			next.within = true
		}
		arrivals = append(arrivals, next)
	}
	return arrivals
}
