package proxy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// waitReporter is a runner that knows how long further statements of its client account wait for a slot.
type waitReporter interface{ Waits() []time.Duration }

// expectWait records the wait that is expected when statements are sent. The caller holds the lock of the group.
func (c *serverConn) expectWait(now time.Time) {
	c.wait, c.waitKnown = c.member.stats.Waits.Expected(now, c.request.account, int(c.request.priority))
}

// recordWaits records the expected waits that came with the outcome of statements, and how long the instance took without
// the wait that was expected when they were sent. The reports of an entry VM that does not answer, or does not reach the
// instance, are dropped: another one may own the connections next. The caller holds the lock of the group.
func (c *serverConn) recordWaits(now, sent time.Time, statements []operation.Statement, err error) {
	waits := &c.member.stats.Waits
	switch {
	case !c.group.waits:
		return
	case isOutcomeUnknown(err) || isUnreachable(err) || errors.Is(err, connpool.ErrClosed):
		waits.Forget()
		return
	case err == nil && c.waitKnown && !c.request.pinned && operation.AnyNeedsSlot(statements):
		c.member.stats.Served(max(now.Sub(sent)-c.wait, 0))
	}
	if r, ok := c.runner.(waitReporter); ok {
		waits.Observe(now, c.request.account, r.Waits())
	}
}

// shortestWait returns the shortest expected wait of a statement of a request, and the age of that report. ok is
// false if an instance that may run it has no fresh report: m, or any one if m is nil.
func (g *group) shortestWait(now time.Time, r connRequest, m *member, allowed func(*member) bool) (wait, age time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*placement.Waits
	for _, o := range g.members {
		switch {
		case m != nil && o.id != m.id || m == nil && (o.leaving || o.evacuated || !allowed(o)):
		case o.isCold(now) && o.cold.takesReads(now):
			return 0, 0, false // it may take the statement whatever waits elsewhere
		case !o.isCold(now):
			all = append(all, &o.stats.Waits)
		}
	}
	return placement.Shortest(now, all, r.account, int(r.priority))
}

// cannotWait reports whether the statement would miss its deadline at each instance that may run it: m, or any one if m is
// nil. It is then refused before it is forwarded.
func (e *execution) cannotWait(m *member) bool {
	p := e.session.proxy
	if !p.options.Waits || !e.st.NeedsSlot() {
		return false
	}
	now := e.now()
	wait, age, ok := e.permit.route.group.shortestWait(now, e.connRequest(false), m, e.runsAt)
	if !ok || wait <= e.deadline.Sub(now) {
		return false
	}
	e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLate)
	e.waitRetry = placement.RetryAfter(wait, rand.Float64())
	e.reported = fmt.Sprintf("; the shortest wait is %s, as reported %s ago", wait.Round(time.Millisecond), age.Round(time.Millisecond))
	p.metrics.early.Add(ageBucket(age), 1)
	return true
}

// comeBack returns when the caller of a statement that did not run should send it again.
func (e *execution) comeBack(reason string) time.Duration {
	switch {
	case e.waitRetry > 0:
		return e.waitRetry.Round(time.Millisecond)
	case reason == reasonCold:
		return e.coldRetry.Round(time.Millisecond)
	}
	return retryAfter(reason)
}

// ageBucket returns the name of the counter for refusals by a report of an age.
func ageBucket(age time.Duration) string {
	for _, limit := range []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		if age < limit {
			return fmt.Sprintf("below_%s", limit)
		}
	}
	return "older"
}
