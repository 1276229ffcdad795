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

// schedule returns the arrivals of an account: a Poisson process at the rate that it sends. The limit
// is shared by the accounts in proportion to what they send.
func (w *Workload) schedule(a *Account) []arrival {
	r := random(w.Seed, a.Name)
	total := 0.0
	for _, b := range w.Accounts {
		total += b.Rate * b.Send
	}
	limit := int(float64(w.Limit) * a.Rate * a.Send / total)
	var arrivals []arrival
	at := 0.0
	for len(arrivals) < limit {
		at += r.ExpFloat64() / (a.Rate * a.Send)
		due := time.Duration(at * float64(time.Second))
		if due >= w.Duration {
			break
		}
		arrivals = append(arrivals, arrival{
			due: due, write: r.Float64() < a.Writes, whole: r.Float64() < shareWhole, own: r.Float64() < shareOwn,
		})
	}
	return arrivals
}
