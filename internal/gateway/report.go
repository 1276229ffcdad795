package gateway

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/console"
)

const (
	leaderlessAfter    = 2 * time.Second // of failed attempts after which the reason is logged
	leaderlessInterval = 5 * time.Second // between two such lines
)

// contact is the state of the contact with the control leader. It is protected by the mutex of the Gateway.
type contact struct {
	tried    []string  // addresses that the latest search asked, sorted
	answered []string  // those of them that answered, sorted
	failing  time.Time // first failed attempt since one succeeded; zero if none failed
	failed   time.Time // latest failed attempt
	logged   time.Time // latest line about that; zero if there is none since failing
}

// without returns for how long attempts have failed.
func (c *contact) without() time.Duration {
	if c.failing.IsZero() {
		return 0
	}
	return c.failed.Sub(c.failing)
}

// dump is the state of a Gateway that the console serves.
type dump struct {
	Controls []string `json:"controls"`   // addresses that a search asks
	Tried    []string `json:"tried"`      // addresses that the latest search asked
	Answered []string `json:"answered"`   // those of them that answered
	Leader   string   `json:"leader"`     // empty if none is known
	Without  int64    `json:"leaderless"` // ms from the first to the latest attempt that failed since one succeeded
	Since    int64    `json:"since"`      // ms since that first attempt; 0 if none failed
}

// Process returns the metrics and state dump of this Gateway for a console.
func (g *Gateway) Process() console.Process {
	vars := new(expvar.Map).Init()
	vars.Set("leaderless", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.contact.without().Milliseconds()
	}))
	return console.Process{Name: "gateway", Vars: vars, Dump: func(context.Context) (any, error) { return g.dump(clock.Now()), nil }}
}

func (g *Gateway) dump(now time.Time) dump {
	controls := g.controlAddresses()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.contact
	d := dump{Controls: controls, Tried: c.tried, Answered: c.answered, Leader: g.leader, Without: c.without().Milliseconds()}
	if !c.failing.IsZero() {
		d.Since = now.Sub(c.failing).Milliseconds()
	}
	return d
}

// recordSearch records which control VMs answered a search.
func (g *Gateway) recordSearch(tried, answered []string) {
	slices.Sort(answered)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contact.tried, g.contact.answered = tried, answered
}

// recordFailure records an attempt that no leader answered. It logs whom the gateway asks if attempts fail for a while.
// A first failure after a pause does not count with those before the pause.
func (g *Gateway) recordFailure(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.contact
	if c.failing.IsZero() || (c.logged.IsZero() && now.Sub(c.failed) > leaderlessAfter) {
		c.failing = now
	}
	c.failed = now
	if c.without() < leaderlessAfter || (!c.logged.IsZero() && now.Sub(c.logged) < leaderlessInterval) {
		return
	}
	c.logged = now
	log.WithFields(log.Fields{
		"event": "leaderless", "span": c.without().Round(time.Millisecond).String(), "failed": g.failed, "tried": c.tried, "answered": c.answered,
	}).Warn("no leader of the control group answers")
}

// recordSuccess records a call that the leader answered, or made itself.
func (g *Gateway) recordSuccess(now time.Time, leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.contact.logged.IsZero() {
		took := now.Sub(g.contact.failing).Round(time.Millisecond)
		log.WithFields(log.Fields{"event": "leader", "leader": leader, "took": took.String()}).Info("the leader of the control group answers")
	}
	g.contact.failing, g.contact.logged = time.Time{}, time.Time{}
}
