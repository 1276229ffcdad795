package proxy

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/warmup"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// coldUnits are the units that a read or a write takes at a cold instance; see connpool.Gate.
	coldUnits = 3
	// maxColdPause bounds the time for which an entry VM sends no reads to a cold instance whose owner had no units.
	maxColdPause = 200 * time.Millisecond
	// minColdRetry and maxColdRetry bound the time after which a caller is to send a refused statement again.
	minColdRetry, maxColdRetry = 50 * time.Millisecond, 2 * time.Second
)

// warmUpRules are how an instance of a group warms up, as configured.
type warmUpRules struct {
	rate  float64       // statements a second; 0 for no limit
	start time.Duration // from cold to warm; 0 if not stated
}

// coldRecord identifies the announcement that said last for how long an instance is cold.
type coldRecord struct {
	left      int64 // milliseconds
	sequence  uint64
	evacuated bool
}

// coldGate limits the statements that this entry VM sends to an instance that may be cold. It implements connpool.Gate.
type coldGate struct {
	*warmup.Limiter
	leased func(now time.Time) bool // this VM has a configuration lease
	paused atomic.Pointer[time.Time]
	record coldRecord // accessed only by the event loop
}

// Take implements connpool.Gate. A VM without a lease may not have heard of another owner.
func (c *coldGate) Take(now time.Time, need, reserve int) (units int, ok bool) {
	if c.Cold(now) && !c.leased(now) {
		return 0, false
	}
	return c.Limiter.Take(now, need, reserve)
}

// Usable implements connpool.Gate.
func (c *coldGate) Usable(now time.Time) bool {
	return c.Limiter.Usable(now) && (!c.Cold(now) || c.leased(now))
}

// takesReads reports whether a read may be sent to the instance. At another entry VM than the owner a refusal shows that it may
// not.
func (c *coldGate) takesReads(now time.Time) bool {
	if c == nil || !c.Cold(now) {
		return true
	}
	until := c.paused.Load()
	return (until == nil || !now.Before(*until)) && !c.Blocked(now, coldUnits)
}

// isCold reports whether an instance is cold.
func (m *member) isCold(now time.Time) bool { return m.cold != nil && m.cold.Cold(now) }

// hasConfigLease reports whether the configuration lease is valid, without Options.LeaseGrace.
func (p *Proxy) hasConfigLease(now time.Time) bool { return now.Before(p.leases.Until()) }

// newColdGate returns the gate of an instance.
func (p *Proxy) newColdGate() *coldGate {
	return &coldGate{Limiter: warmup.New(p.options.ColdOverrun, p.options.ColdSlack), leased: p.hasConfigLease}
}

// updateWarmUp applies the rules of the configuration for cold instances, before the views.
func (p *Proxy) updateWarmUp(now time.Time, c *wire.Configuration) {
	for _, w := range c.GetGroups() {
		if g := p.groups[w.GetName()]; g != nil {
			g.setWarmUp(now, warmUpRules{w.GetWarmup(), time.Duration(w.GetStart()) * time.Millisecond})
		}
	}
}

// setWarmUp sets the rules for cold instances. A member whose gate changes is replaced, since statements use it without a lock.
func (g *group) setWarmUp(now time.Time, rules warmUpRules) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.warmUp == rules {
		return
	}
	g.warmUp = rules
	for i, m := range g.members {
		next := *m
		switch {
		case rules.rate == 0:
			next.cold = nil
		case m.cold == nil:
			next.cold = g.newGate()
			next.cold.applyRecord(now, g, m.id, m.coldRecord)
		default:
			m.cold.SetRate(now, rules.start, rules.rate)
		}
		next.useGate()
		g.members[i] = &next
	}
}

// applyCold sets the gate of a member that replaces known, which is nil for a new instance. The caller holds the lock.
func (g *group) applyCold(now time.Time, known, next *member, w *wire.Member) {
	next.coldRecord = coldRecord{w.GetCold(), w.GetSequence(), w.GetEvacuated()}
	if g.warmUp.rate == 0 {
		next.useGate()
		return
	}
	next.cold = known.cold
	if next.cold == nil {
		next.cold = g.newGate()
	}
	next.cold.applyRecord(now, g, next.id, next.coldRecord)
	next.useGate()
}

// useGate makes the pool use the gate of the member.
func (m *member) useGate() {
	if m.cold == nil {
		m.pool.SetGate(nil)
		return
	}
	m.pool.SetGate(m.cold)
}

// applyRecord applies what the control group recorded of the instance. The time counts from now, so the instance may be warm
// earlier, but not later. An instance whose evacuation is withdrawn counts as cold until it says otherwise: it may have become
// cold without load, and its next announcement comes only after the first statements.
func (c *coldGate) applyRecord(now time.Time, g *group, id placement.ServerID, r coldRecord) {
	former := c.record
	c.record = r
	left := time.Duration(r.left) * time.Millisecond
	switch {
	case former.evacuated && !r.evacuated:
		left = max(left, g.warmUp.start)
	case former.left == r.left && (r.left == 0 || former.sequence == r.sequence):
		return
	}
	c.SetCold(now, left, g.warmUp.start, g.warmUp.rate)
	log.WithFields(log.Fields{
		"event": "cold", "group": g.name, "server": string(id), "left": left, "rate": g.warmUp.rate,
	}).Info("warm-up of a backend server changed")
}

// soleOwner returns the entry VM that alone may send to a member while it is cold; the zero EntryVM if none may.
func (g *group) soleOwner(m *member, ownership *placement.Ownership) placement.EntryVM {
	return ownership.Sole(string(m.id), func(zone string) bool { return g.sameRegion(zone, m.zone) })
}

// updateColdOwners sets for which instances this VM may send statements while they are cold.
func (g *group) updateColdOwners(now time.Time, ownID string, ownership *placement.Ownership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.cold != nil {
			m.cold.SetOwned(now, ownID != "" && g.soleOwner(m, ownership).ID == ownID)
		}
	}
}

// restartColdOwnership restarts the time since which this VM owns connections, if its configuration lease had expired before:
// another VM may have been the owner in the meantime.
func (p *Proxy) restartColdOwnership(now, formerLease time.Time) {
	if now.Before(formerLease) || !p.hasConfigLease(now) {
		return
	}
	for _, g := range p.groups {
		g.updateColdOwners(now, "", placement.NewOwnership(nil, nil))
	}
}

// isColdRefusal reports whether a statement did not run because the instance is cold. Another entry VM reports a Busy.
func (m *member) isColdRefusal(now time.Time, err error) bool {
	var refused *connpool.RefusedError
	return errors.As(err, &refused) && (refused.Cold || refused.Code == operation.Busy && m.isCold(now))
}

// recordCold records that a cold instance could not take the statement now.
func (e *execution) recordCold(m *member) {
	now := e.now()
	e.recordFailure(operation.Answer{Code: operation.Busy}, reasonCold)
	e.triedServers = append(e.triedServers, string(m.id))
	if m.cold == nil {
		e.coldRetry = minColdRetry // it is warm according to this VM
		return
	}
	pause := now.Add(min(m.cold.Retry(now, 1), maxColdPause))
	m.cold.paused.Store(&pause)
	retry := min(max(m.cold.Retry(now, coldUnits), minColdRetry), maxColdRetry)
	e.coldRetry = retry + rand.N(retry/2) // callers must not come back at the same time
}

// refuseCold records that a read finds no instance but cold ones that could not take it.
func (e *execution) refuseCold() {
	if e.lastReason != reasonCold {
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonCold)
		e.coldRetry = minColdRetry + rand.N(maxColdPause)
	}
}

// onlyCold reports whether every allowed instance that may take reads is cold.
func (g *group) onlyCold(now time.Time, allowed func(*member) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for _, m := range g.members {
		if m.leaving || m.evacuated || !allowed(m) {
			continue
		}
		if !m.isCold(now) {
			return false
		}
		found = true
	}
	return found
}
