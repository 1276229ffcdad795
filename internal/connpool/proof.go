package connpool

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// Proof is the answer of an instance to a statement that succeeds only at an instance that leads its group, or
// the failure of such a statement.
type Proof struct {
	Sent   time.Time // when the statement was sent
	Answer operation.Answer
}

// Prove returns a proof that the instance led its group at most maxAge ago. Any statement of the pool that runs
// only at a leading instance is one; if there is none, concurrent calls share the beginning of a transaction
// on an idle connection of any client account. If there is no idle connection, one is opened for the account of h.
func (h *Handle) Prove(ctx context.Context, l Limit, maxAge time.Duration) (Proof, error) {
	p := h.pool
	asked := p.options.Now()
	if p.cold(asked) != nil {
		maxAge = max(maxAge, coldProofAge)
	}
	if newest := p.newestProof(); asked.Sub(newest.Sent) <= maxAge {
		return newest, nil
	}
	flight := p.proofFlight.DoChan("", func() (any, error) { return p.beginForProof(h.account, l) })
	select {
	case result := <-flight:
		if result.Err != nil {
			return Proof{}, result.Err
		}
		return result.Val.(Proof), nil
	case <-ctx.Done():
		return Proof{}, ErrQueueTimeout
	}
}

// beginForProof begins a read-write transaction, which needs no slot, and rolls it back.
func (p *Pool) beginForProof(account string, l Limit) (Proof, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(l.Until.Sub(p.options.Now()), 0))
	defer cancel()
	h := p.NewHandle(account, 1, true)
	h.anyAccount = true
	defer h.Release()
	begin := operation.Statement{Kind: operation.Begin}
	if err := h.takeUnits(nil, begin); err != nil {
		return Proof{}, err
	}
	if err := p.acquire(ctx, h, nil); err != nil {
		return Proof{}, err
	}
	sent := p.options.Now()
	answers, err := h.exchange(l.Until, begin)
	if err != nil {
		return Proof{}, err
	}
	return Proof{Sent: sent, Answer: answers[0]}, nil
}

// newestProof returns the latest proof; it is zero before the first.
func (p *Pool) newestProof() Proof {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proof
}

// recordProof stores the latest of the answers that prove that the instance leads its group.
func (p *Pool) recordProof(sent time.Time, statements []operation.Statement, answers []operation.Answer) {
	for i, a := range answers {
		if a.Code != operation.Done || a.At.IsZero() || !statements[i].NeedsPrimary() {
			continue
		}
		p.mu.Lock()
		if sent.After(p.proof.Sent) {
			p.proof = Proof{Sent: sent, Answer: operation.Answer{Code: a.Code, At: a.At}}
		}
		p.mu.Unlock()
	}
}
