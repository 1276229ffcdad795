package connpool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// rollbackTimeout bounds the rollback of a transaction on release. A rollback needs no slot.
const rollbackTimeout = time.Second

// Handle runs statements on one connection of a Pool. It is used by one goroutine at a time.
type Handle struct {
	pool       *Pool
	account    string
	weight     float64
	read       bool
	priority   uint8       // see SetPriority
	pooled     *pooledConn // nil before the first statement
	anyAccount bool        // a connection of any client account will do, with any session values
	counted    bool        // the queue counts a connection for this Handle
	state      operation.State
	broken     bool
	units      int // taken from the gate of a cold instance and not spent
}

// Waits returns the expected waits of further statements of the client account; see Pool.Waits.
func (h *Handle) Waits() []time.Duration { return h.pool.Waits(h.account) }

// SetPriority sets the urgency of the statements, 0 being the most urgent. It is used only with Options.Urgency.
func (h *Handle) SetPriority(priority uint32) {
	h.priority = uint8(min(priority, admission.MaxPriority))
}

// Broken reports whether the connection was lost.
func (h *Handle) Broken() bool { return h.broken }

// Limit is the deadline and the latency target of statements.
type Limit struct {
	Until  time.Time // deadline: nothing is sent after it, and answers are awaited for AnswerGrace more
	Target time.Time // time after which an answer is late for the caller; zero for none
}

// Run runs statements one after the other, up to the first whose answer is not Done, on a connection with the
// given session values. It waits for a slot and a connection until the deadline. If it returns an error, the
// answers are those of the statements that completed before it.
func (h *Handle) Run(ctx context.Context, l Limit, values map[string]string, statements ...operation.Statement) (answers []operation.Answer, err error) {
	now := h.pool.options.Now
	until := l.Until
	ctx, cancel := context.WithTimeout(ctx, max(until.Sub(now()), 0))
	defer cancel()
	if h.pooled == nil {
		left, limited := h.pool.remaining(now())
		if limited {
			ctx, cancel = context.WithTimeout(ctx, max(left, 0))
			defer cancel()
		}
	}
	if err := h.takeUnits(values, statements...); err != nil {
		return nil, err
	}
	defer h.settleUnits(true)
	var hold *slotHold
	if operation.AnyNeedsSlot(statements) {
		t := slots.NewTicket()
		t.Ticket = admission.Ticket{
			Account: admission.AccountID(h.account), Weight: h.weight, Read: h.read, InTransaction: h.pooled != nil, Deadline: until, Target: l.Target,
			Priority: h.priority,
		}
		if err := h.pool.admit(ctx, t); err != nil {
			return nil, h.beginError(err)
		}
		h.counted = h.counted || h.pooled == nil
		hold = h.pool.holdSlot(t)
		defer func() { hold.end(len(answers) > 0, h.broken) }()
	}
	begins := h.pooled == nil
	if begins {
		if err := h.pool.acquire(ctx, h, values); err != nil {
			h.releaseAdmission()
			return nil, h.beginError(err)
		}
		if h.pool.ended(now()) {
			return nil, ErrClosed
		}
	}
	if err := h.pool.evacuationError(now(), begins); err != nil {
		return nil, err
	}
	if err := h.confirmUnits(values, statements...); err != nil {
		return nil, err
	}
	hold.begin()
	if err := h.adjust(until, values); err != nil {
		return nil, err
	}
	return h.runAll(until, statements)
}

// adjust applies the session values to the connection.
func (h *Handle) adjust(until time.Time, values map[string]string) error {
	first := h.pooled.adjust(values)
	if len(first) == 0 {
		return nil
	}
	answers, err := h.exchange(until, first...)
	if err != nil {
		h.broken = true // the values are recorded as applied, but may not be
		return errors.CombineErrors(ErrNotSent, err)
	}
	for _, a := range answers {
		if a.Code != operation.Done {
			h.broken = true
			return ErrNotSent
		}
	}
	return nil
}

// runAll runs the statements on the connection.
func (h *Handle) runAll(until time.Time, statements []operation.Statement) ([]operation.Answer, error) {
	answers := make([]operation.Answer, 0, len(statements))
	for _, st := range statements {
		a, err := h.runOne(until, st)
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
		if a.Code != operation.Done {
			break
		}
	}
	return answers, nil
}

// runOne runs one statement and prepares it first if needed. An instance that no longer has the prepared
// statement has not run it, so runOne prepares and sends it once more.
func (h *Handle) runOne(until time.Time, st operation.Statement) (operation.Answer, error) {
	for again := true; ; again = false {
		var first []operation.Statement
		if st.Kind == operation.Execute {
			first = h.pooled.prepare(&st)
		}
		answers, err := h.exchange(until, append(first, st)...)
		if len(answers) <= len(first) {
			return operation.Answer{}, err
		}
		a := answers[len(first)]
		if a.Code == operation.NoStatement {
			clear(h.pooled.prepared)
			if again && h.state != operation.Failed {
				continue
			}
		}
		return a, nil
	}
}

// exchange sends statements and waits for their answers.
func (h *Handle) exchange(until time.Time, statements ...operation.Statement) ([]operation.Answer, error) {
	sent := h.pool.options.Now()
	limit := until.Sub(sent)
	if limit <= 0 {
		return nil, ErrQueueTimeout
	}
	if err := h.pool.evacuationError(sent, false); err != nil {
		return nil, err
	}
	h.pool.observeSent(sent)
	h.sendUnits(len(statements))
	answers, err := h.pooled.conn.Exchange(limit+AnswerGrace, statements...)
	ended := h.pool.options.Now()
	h.pool.observeEnd(ended, sent, len(answers) > 0)
	elapsed := ended.Sub(sent)
	h.pool.options.Observe(StageExchange, elapsed)
	h.pool.recordProof(sent, statements, answers)
	if n := len(answers); n > 0 {
		h.state = answers[n-1].State
	}
	if err != nil {
		h.broken = true
		if elapsed >= limit && elapsed < lostAfter {
			return answers, errors.CombineErrors(ErrAnswerTimeout, err)
		}
		return answers, errors.CombineErrors(ErrConnectionLost, err)
	}
	return answers, nil
}

// releaseAdmission lets the queue give the connection of h to another statement.
func (h *Handle) releaseAdmission() {
	if !h.counted {
		return
	}
	h.counted = false
	h.pool.slots.ReleaseConnection(h.pool.options.Now())
}

// Release returns the connection to the pool. A transaction that is still open is rolled back first; the
// connection is closed if the instance does not confirm the rollback.
func (h *Handle) Release() {
	switch {
	case h.pooled == nil:
		h.settleUnits(false)
	case h.broken || h.state == operation.Idle:
		h.settleUnits(false)
		h.pool.put(h, !h.broken)
	default:
		go h.rollback()
	}
}

func (h *Handle) rollback() {
	h.sendUnits(1)
	defer h.settleUnits(false)
	answers, err := h.pooled.conn.Exchange(rollbackTimeout, operation.Statement{Kind: operation.Rollback})
	h.pool.put(h, err == nil && answers[0].Code == operation.Done && answers[0].State == operation.Idle)
}
