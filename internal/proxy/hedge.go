package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// maxSecondReads is the number of instances to which one overdue read is sent, one after the other if they do not run it.
const maxSecondReads = 2

// hedgeCreditTimeout bounds the wait for the credit of a read that is sent a second time.
const hedgeCreditTimeout = 30 * time.Millisecond

// hedger is a placement.Hedge for the sessions. It is safe for concurrent use.
type hedger struct {
	mu    sync.Mutex
	hedge placement.Hedge
}

func (h *hedger) answered(elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge.Answered(elapsed)
}

func (h *hedger) delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.Delay()
}

func (h *hedger) spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.Spend()
}

// readResult is the outcome of a read at one instance.
type readResult struct {
	member  *member
	sent    time.Time // not later than the statements were sent
	answers []operation.Answer
	err     error
	count   int // of the statements; the last one is the read
}

// ran reports whether the instance ran the read.
func (r *readResult) ran() bool {
	return r.count > 0 && len(r.answers) == r.count && !r.answers[r.count-1].Code.NotRun()
}

// readHedged runs a read, which is the last of the statements, at an instance. If its answer is overdue, it runs at another
// instance as well, or once more at the same one if that alone may run it: the answer may have been lost. It returns the
// first result of an instance that ran the read, or else that of the last one.
func (e *execution) readHedged(ctx context.Context, m *member, statements ...operation.Statement) readResult {
	p := e.session.proxy
	sent := e.now()
	results := make(chan readResult, 1+maxSecondReads)
	e.startRead(ctx, m, results, statements)
	r, answered := e.awaitRead(results)
	if !answered {
		r = e.hedge(ctx, m, results, statements)
	}
	elapsed := e.now().Sub(sent)
	e.permit.trace.run += elapsed
	if r.ran() {
		p.hedges.answered(elapsed)
	}
	return r
}

// awaitRead waits for the first result. answered is false once it is overdue.
func (e *execution) awaitRead(results <-chan readResult) (r readResult, answered bool) {
	delay, ok := e.session.proxy.hedges.delay()
	if !ok || delay >= e.remaining() {
		return <-results, true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r = <-results:
		return r, true
	case <-timer.C:
		return r, false
	}
}

// hedge sends a read that m has not answered once more and awaits the results. If the second instance does not run it, another
// one is tried.
func (e *execution) hedge(ctx context.Context, m *member, results chan readResult, statements []operation.Statement) readResult {
	again, pending := e.now(), 1
	tried := append(slices.Clone(e.triedServers), string(m.id))
	var last readResult
	for range maxSecondReads {
		first, granted := e.grantHedge(ctx, results)
		if first != nil {
			last = *first
			pending--
		}
		if !granted {
			break
		}
		target := e.hedgeTarget(m, tried, statements)
		tried = append(tried, string(target.id))
		e.session.proxy.metrics.hedged.Add(1)
		e.startRead(ctx, target, results, statements)
		last = <-results // one of two: pending stays as it is
		if last.ran() || last.sent.Before(again) {
			break // m has answered, or the read has run
		}
	}
	for ; pending > 0 && !last.ran(); pending-- {
		last = <-results
	}
	if last.ran() && !last.sent.Before(again) {
		e.session.proxy.metrics.hedgeWins.Add(1)
	}
	return last
}

// grantHedge takes the allowance and the credit for sending a read once more. A result that comes meanwhile is returned: it does
// not wait for the credit.
func (e *execution) grantHedge(ctx context.Context, results <-chan readResult) (first *readResult, granted bool) {
	p, account := e.session.proxy, e.permit.account
	if !p.hedges.spend() {
		return nil, false
	}
	credit := make(chan bool, 1)
	go func() { credit <- p.takeHedgeCredit(ctx, account) }()
	select {
	case r := <-results:
		return &r, false
	case granted = <-credit:
		return nil, granted
	}
}

// hedgeTarget returns the instance for a read that m has not answered and others, which were tried, have not run. Current data
// is read only at the primary.
func (e *execution) hedgeTarget(m *member, tried []string, statements []operation.Statement) *member {
	if len(statements) > 1 {
		return m
	}
	if other := e.permit.route.group.readTarget(e.now(), statements[0].After, tried, e.connRequest(false), e.runsAt); other != nil {
		return other
	}
	return m
}

// startRead runs a read at an instance in a goroutine of its own, which may outlive the execution.
func (e *execution) startRead(ctx context.Context, m *member, results chan<- readResult, statements []operation.Statement) {
	g, request := e.permit.route.group, e.connRequest(false)
	limit := connpool.Limit{Until: e.deadline, Target: e.targetDeadline}
	values, sent := maps.Clone(e.session.values), e.now()
	go func() {
		h := g.newConn(m, request)
		answers, err := h.Run(ctx, limit, values, statements...)
		h.Release() // first, since the next statement of the session may use the connection
		results <- readResult{m, sent, answers, err, len(statements)}
	}()
}

// takeHedgeCredit takes a credit for a read that is sent a second time, since it is one more statement of its client account
// for the backend servers.
func (p *Proxy) takeHedgeCredit(ctx context.Context, a *account) bool {
	id, now := lease.AccountID(a.name), p.options.Now()
	if a.name == publicAccount || p.credits.TakeHeld(now, id, 1) {
		return true
	}
	address := p.creditKeeper(id).address(now, p)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, hedgeCreditTimeout)
	defer cancel()
	result, err := p.forward.Spend(ctx, address, forward.SpendRequest{
		Account: id, Limit: hedgeCreditTimeout, Disconnected: p.credits.Disconnected(now),
	})
	return err == nil && result.Verdict == lease.Admitted
}
