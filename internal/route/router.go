package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// spillMargin is how much cheaper an idle primary must be to get a read that a replica may serve. Without
	// the margin, about a third of the reads of a group of three would go to the primary.
	spillMargin = 25 * time.Millisecond
	// Replicas whose costs differ by less than tieShare of the least cost plus tieMargin are chosen among at
	// random, so that entry VMs with the same observations do not all choose the same server.
	tieShare  = 0.05
	tieMargin = 200 * time.Microsecond
)

// Router chooses backend servers for one entry VM. It is not safe for concurrent use.
type Router struct {
	policy  Policy
	random  *rand.Rand
	servers map[ServerID]*health
	options []option // this and the next two are reused by Choose to avoid allocations
	sorted  []float64
	ejected []int
}

// option is the evaluation of a candidate.
type option struct {
	health   *health
	ejected  bool
	eligible bool // usable, has reached the session floor and is fresh enough
	cost     float64
}

// New returns a router. The seed determines how ties are broken.
func New(seed uint64, policy Policy) *Router {
	return &Router{
		policy:  policy,
		random:  rand.New(rand.NewPCG(seed, 0)),
		servers: make(map[ServerID]*health),
	}
}

// Observe records the time from sending a statement to its answer. networkDelay is that of the Candidate.
// failed means a lost connection or no answer, not an SQL error.
func (r *Router) Observe(now time.Time, server ServerID, networkDelay, elapsed time.Duration, failed bool) {
	r.health(server).observe(now, elapsed-2*networkDelay, failed)
}

// ObservePosition records a reported log position, from which the time to catch up is estimated.
func (r *Router) ObservePosition(now time.Time, server ServerID, p position.Position) {
	r.health(server).observePosition(now, p)
}

// Remove discards the observations of a server that left the group.
func (r *Router) Remove(server ServerID) {
	delete(r.servers, server)
}

func (r *Router) health(server ServerID) *health {
	h := r.servers[server]
	if h == nil {
		h = new(health)
		r.servers[server] = h
	}
	return h
}

// Choose selects the member of the database group that runs a request.
func (r *Router) Choose(now time.Time, q Request, candidates []Candidate) Choice {
	primary := findPrimary(candidates)
	if !q.Read {
		return r.choosePrimary(now, candidates, primary)
	}
	r.evaluateCandidates(now, &q, candidates)
	best := -1
	if r.policy == LeastCost {
		best = r.bestReplica(candidates, false)
	}
	if best >= 0 && !r.spillsToPrimary(&q, now, candidates, best, primary) {
		return r.choiceOf(candidates, best)
	}
	if primary >= 0 && r.options[primary].eligible {
		if c, ok := r.chooseWait(now, &q, candidates, r.options[primary].cost); ok && best < 0 {
			return c
		}
		return r.choiceOf(candidates, primary)
	}
	return r.chooseFallback(now, &q, candidates)
}

// findPrimary returns the index of the reachable primary of the highest term, or -1.
func findPrimary(candidates []Candidate) int {
	found := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.Primary || c.Retired || c.Unreachable {
			continue
		}
		if found < 0 || candidates[found].Position.Term < c.Position.Term {
			found = i
		}
	}
	return found
}

func (r *Router) choosePrimary(now time.Time, candidates []Candidate, primary int) Choice {
	if primary < 0 {
		return Choice{Result: NoPrimary, Index: -1}
	}
	c := &candidates[primary]
	return Choice{Result: Chosen, Server: c.Server, Index: primary, Cost: time.Duration(cost(now, r.health(c.Server), c))}
}

func (r *Router) choiceOf(candidates []Candidate, i int) Choice {
	return Choice{Result: Chosen, Server: candidates[i].Server, Index: i, Cost: time.Duration(r.options[i].cost)}
}

// evaluateCandidates computes the options for all candidates.
func (r *Router) evaluateCandidates(now time.Time, q *Request, candidates []Candidate) {
	r.options = r.options[:0]
	for i := range candidates {
		c := &candidates[i]
		o := option{health: r.health(c.Server)}
		o.eligible = !c.Retired && !c.Unreachable && coversFloor(c, q.Floor) && isFresh(now, q, c)
		o.cost = cost(now, o.health, c)
		r.options = append(r.options, o)
	}
	r.ejectSlow(now, candidates)
	r.markEjected(now, candidates)
}

// coversFloor reports whether the server has all records up to the floor. The reported position of a primary
// may be older than a commit that it has just acknowledged, but a primary has every acknowledged write of its
// own and lower terms.
func coversFloor(c *Candidate, floor position.Position) bool {
	if c.Primary && c.Position.Term >= floor.Term {
		return true
	}
	return c.History.Covers(c.Position, floor)
}

// isFresh reports whether the data of the candidate satisfies the MaxAge of the request.
func isFresh(now time.Time, q *Request, c *Candidate) bool {
	if q.MaxAge < 0 {
		return true
	}
	if c.AsOf.IsZero() {
		return false
	}
	return now.Sub(c.AsOf) <= q.MaxAge || !c.AsOf.Before(q.Arrived)
}

// cost returns the expected response time in ns: the network round trip, the queueing delay, the expected
// excess latency of the server and its margin for jitter and failures.
func cost(now time.Time, h *health, c *Candidate) float64 {
	latency, spread := h.expectedLatency(now)
	slots := max(c.Slots, 1)
	ahead := max(c.Running+c.Queued+1-slots, 0)
	queue := float64(ahead) * latency / float64(slots)
	return float64(2*c.NetworkDelay) + queue + latency + spread
}

// ejectSlow ejects replicas whose latency is an outlier against the median of the group.
func (r *Router) ejectSlow(now time.Time, candidates []Candidate) {
	r.sorted = r.sorted[:0]
	for i := range r.options {
		if h := r.options[i].health; h.samples >= outlierSamples {
			r.sorted = append(r.sorted, h.latency)
		}
	}
	if len(r.sorted) < 2 {
		return
	}
	slices.Sort(r.sorted)
	median := r.sorted[(len(r.sorted)-1)/2]
	limit := max(outlierFactor*median, median+float64(outlierMargin))
	for i := range r.options {
		h := r.options[i].health
		if !candidates[i].Primary && h.samples >= outlierSamples && h.latency > limit {
			h.eject(now)
		}
	}
}

// markEjected marks ejected servers, but at most half of the usable ones. Those whose ejection ends first stay
// in use.
func (r *Router) markEjected(now time.Time, candidates []Candidate) {
	r.ejected = r.ejected[:0]
	usable := 0
	for i := range r.options {
		if candidates[i].Retired || candidates[i].Unreachable {
			continue
		}
		usable++
		if !candidates[i].Primary && r.options[i].health.isEjected(now) {
			r.ejected = append(r.ejected, i)
		}
	}
	slices.SortFunc(r.ejected, func(a, b int) int {
		x, y := r.options[a].health, r.options[b].health
		return cmp.Or(y.ejectedUntil.Compare(x.ejectedUntil), cmp.Compare(candidates[b].Server, candidates[a].Server))
	})
	for _, i := range r.ejected[:min(len(r.ejected), usable/2)] {
		r.options[i].ejected = true
	}
}

// bestReplica returns the index of a least-cost replica that may serve the read, or -1. It considers either
// only ejected replicas or only the others.
func (r *Router) bestReplica(candidates []Candidate, ejected bool) int {
	least := math.Inf(1)
	for i := range r.options {
		if o := &r.options[i]; o.eligible && o.ejected == ejected && !candidates[i].Primary {
			least = min(least, o.cost)
		}
	}
	limit := least*(1+tieShare) + float64(tieMargin)
	best, ties := -1, 0
	for i := range r.options {
		o := &r.options[i]
		if !o.eligible || o.ejected != ejected || candidates[i].Primary || o.cost > limit {
			continue
		}
		// Reservoir sampling selects each tied replica with the same probability.
		ties++
		if ties == 1 || r.random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// spillsToPrimary reports whether a read that a replica may serve goes to the primary instead. The primary must
// have no queue and a free slot among those for reads, and must be cheaper by spillMargin or be the only one
// that meets the deadline.
func (r *Router) spillsToPrimary(q *Request, now time.Time, candidates []Candidate, replica, primary int) bool {
	if primary < 0 || !r.options[primary].eligible {
		return false
	}
	c := &candidates[primary]
	if c.Queued > 0 || c.Running >= readSlots(c.Slots) {
		return false
	}
	primaryCost, replicaCost := r.options[primary].cost, r.options[replica].cost
	if replicaCost > primaryCost+float64(spillMargin) {
		return true
	}
	left := float64(q.Deadline.Sub(now))
	return !q.Deadline.IsZero() && replicaCost > left && primaryCost <= left
}

// readSlots returns the number of slots of a primary that reads may take while writes wait.
func readSlots(slots int) int {
	return max(slots/2, 1)
}

// chooseWait returns the replica that is expected to catch up and answer first, if its expected cost is below
// limit.
func (r *Router) chooseWait(now time.Time, q *Request, candidates []Candidate, limit float64) (Choice, bool) {
	left := min(MaxWait-q.Waited, MaxWait)
	if !q.Deadline.IsZero() {
		left = min(left, q.Deadline.Sub(now))
	}
	if r.policy != LeastCost || left <= 0 {
		return Choice{}, false
	}
	best, found := Choice{Result: Wait, Index: -1}, false
	for i := range candidates {
		c, o := &candidates[i], &r.options[i]
		if c.Primary || c.Retired || c.Unreachable || o.ejected {
			continue
		}
		pause, ok := estimateCatchUp(o.health, q, c)
		total := float64(pause) + o.cost
		if !ok || pause > left || total >= limit {
			continue
		}
		if !found || time.Duration(total) < best.Cost {
			best = Choice{Result: Wait, Server: c.Server, Index: i, Wait: pause, Cost: time.Duration(total)}
			found = true
		}
	}
	return best, found
}

// estimateCatchUp estimates the time until a replica in the term of the floor reaches the floor. It does not
// wait for fresher data, which needs another majority round.
func estimateCatchUp(h *health, q *Request, c *Candidate) (time.Duration, bool) {
	if q.MaxAge >= 0 || c.Position.Term != q.Floor.Term || c.Position.Offset >= q.Floor.Offset || h.applyRate <= 0 {
		return 0, false
	}
	seconds := float64(q.Floor.Offset-c.Position.Offset) / h.applyRate
	if seconds > MaxWait.Seconds() {
		return 0, false
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond), true
}

// chooseFallback routes a read that neither the primary nor a replica that is not ejected may serve now. It
// prefers an ejected replica to a refusal.
func (r *Router) chooseFallback(now time.Time, q *Request, candidates []Candidate) Choice {
	if r.policy == LeastCost {
		if i := r.bestReplica(candidates, true); i >= 0 {
			return r.choiceOf(candidates, i)
		}
	}
	if c, ok := r.chooseWait(now, q, candidates, math.Inf(1)); ok {
		return c
	}
	reachable := false
	for i := range candidates {
		c := &candidates[i]
		if c.Retired || c.Unreachable || (r.policy == PrimaryOnly && !c.Primary) {
			continue
		}
		reachable = true
		if coversFloor(c, q.Floor) {
			return Choice{Result: Stale, Index: -1}
		}
	}
	if !reachable || findPrimary(candidates) < 0 {
		return Choice{Result: NoPrimary, Index: -1}
	}
	return Choice{Result: NoServer, Index: -1}
}
