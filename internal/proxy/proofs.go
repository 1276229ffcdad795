package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// The proofs of a database group are kept by one entry VM of each availability zone, which queries the primary
// periodically while the group is in use. The others request its proofs when they need one. The statements for
// proofs thus grow with the number of zones and groups, and not with the number of entry VMs.

const (
	// proofRefreshAge is the age of the newest proof at which the keeper fetches another one while the group is in
	// use. It is well below the smallest maximum staleness that the first users configured, 1.5 s.
	proofRefreshAge = 400 * time.Millisecond
	// sharedProofAge is the age up to which the keepers share the proof of the entry VM that owns the connections to
	// the primary.
	sharedProofAge = 100 * time.Millisecond
	// proofTimeout bounds one attempt to fetch a proof. The attempt needs no slot.
	proofTimeout = 400 * time.Millisecond
	// keeperTimeout bounds one request to the keeper, which is in the same availability zone. After it, the primary
	// is queried.
	keeperTimeout = 150 * time.Millisecond
	// keeperWait bounds the wait of the keeper for a proof that another entry VM requests. It is below keeperTimeout.
	keeperWait = 100 * time.Millisecond
	// emptyPause is the pause after the keeper had no newer proof.
	emptyPause = 20 * time.Millisecond
	// requestMargin is subtracted from the maximum staleness for the transit of the caller's request to this VM.
	requestMargin = 20 * time.Millisecond
	// keeperMargin is the time for which a proof of the keeper can be used at least.
	keeperMargin = 50 * time.Millisecond
)

// floor returns the minimum log position that a read of a session must see. It queries the primary if no
// proof is recent enough. It returns false if ctx ended before a proof arrived, or after one attempt if there is no primary
// since a failover is stalled.
func (g *group) floor(ctx context.Context, account string, age time.Duration, session position.Position) (position.Position, bool) {
	for attempted := false; ; attempted = true {
		g.mu.Lock()
		g.lastUsed = g.now()
		if g.recentAccount == "" {
			g.recentAccount = account
		}
		at, ok := g.proofs.Floor(g.lastUsed, age-requestMargin)
		if ok && !session.IsZero() {
			at = freshness.Max(at, g.proofs.EffectiveFloor(session))
		}
		g.mu.Unlock()
		if ok {
			return at, true
		}
		if attempted && g.isStalled() || !g.awaitProof(ctx, age) {
			return position.Position{}, false
		}
	}
}

// awaitProof fetches a proof that is younger than age, from the keeper or from the primary; concurrent callers share
// one attempt. It returns false if ctx ended before the attempt did.
func (g *group) awaitProof(ctx context.Context, age time.Duration) bool {
	return awaitAttempt(ctx, g.proofFlight.DoChan(strconv.FormatInt(int64(age), 10), func() (any, error) {
		if !g.requestProofs(age) {
			<-g.fetchProof()
		}
		return nil, nil
	}))
}

// awaitAttempt waits for the end of an attempt. It returns false if ctx ended before.
func awaitAttempt(ctx context.Context, attempt <-chan singleflight.Result) bool {
	select {
	case <-attempt:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// requestProofs requests proofs from the keeper. It returns false if this VM is the keeper, or if the keeper does not
// answer.
func (g *group) requestProofs(age time.Duration) bool {
	sent := g.now()
	keeper := g.proofKeeper(sent)
	if keeper == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
	defer cancel()
	g.mu.Lock()
	newest, _, _ := g.proofs.Newest()
	g.mu.Unlock()
	request := forward.ProofsRequest{Group: g.name, Account: g.proofAccount(), Age: max(age-requestMargin-keeperMargin, 0), Since: newest}
	proofs, err := g.forward.Proofs(ctx, keeper, request)
	if err == nil && len(proofs) == 0 {
		time.Sleep(emptyPause)
	}
	if err != nil {
		g.keeper.avoid(g.now(), keeper, peerAvoidPeriod)
		log.WithError(err).WithFields(log.Fields{"event": "dependency", "dependency": "proofs", "group": g.name, "via": keeper, "reached": false}).Warn("proofs")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range proofs {
		g.proofs.Observe(p.Sent, p.At)
	}
	return true
}

// keepProofs returns the proofs of the group for another entry VM. It queries the primary if the newest one is older
// than the request allows.
func (g *group) keepProofs(ctx context.Context, r forward.ProofsRequest) []freshness.Proof {
	g.mu.Lock()
	now := g.now()
	g.lastUsed = now
	if g.recentAccount == "" {
		g.recentAccount = r.Account
	}
	newest, _, ok := g.proofs.Newest()
	g.mu.Unlock()
	if !ok || now.Sub(newest) > r.Age {
		ctx, cancel := context.WithTimeout(ctx, keeperWait)
		defer cancel()
		awaitAttempt(ctx, g.fetchProof())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proofs.Since(r.Since)
}

// fetchProof starts an attempt to query the primary unless one is in progress. The channel receives when the attempt
// has ended.
func (g *group) fetchProof() <-chan singleflight.Result {
	return g.proofFlight.DoChan("primary", func() (any, error) {
		g.queryProof()
		return nil, nil
	})
}

// queryProof queries the end of the primary's log with a statement that succeeds only on an instance that leads.
func (g *group) queryProof() {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	account := g.proofAccount()
	if account == "" {
		return // the first operation has not reached an instance yet
	}
	m, wait, changed := g.primaryTarget(g.now(), false)
	if m == nil {
		select {
		case <-changed:
		case <-time.After(min(wait, proofTimeout)):
		}
		return
	}
	h := g.newConn(m, connRequest{account: account, weight: 1, read: true})
	defer h.Release()
	sent := g.now()
	proof, err := h.Prove(ctx, connpool.Limit{Until: sent.Add(proofTimeout)}, sharedProofAge)
	if err != nil && m.isColdRefusal(sent, err) || proof.Sent.Before(sent) && m.isCold(sent) {
		time.Sleep(emptyPause) // the next attempt would end as soon as this one
	}
	switch {
	case err != nil:
		g.recordPrimaryAnswer(m, sent, nil, err)
	case proof.Answer.Code == operation.Done && proof.Sent.Before(sent):
		g.recordPosition(proof.Sent, proof.Answer.At)
	default:
		g.recordPrimaryAnswer(m, sent, []operation.Answer{proof.Answer}, nil)
	}
}

// recordPosition records a proof from before the request for it. It does not show which instance leads now.
func (g *group) recordPosition(sent time.Time, at position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proofs.Observe(sent, at)
}

// recordPrimaryAnswer records whether an instance leads, according to its answer to the beginning of a
// read-write transaction or to a write.
func (g *group) recordPrimaryAnswer(m *member, sent time.Time, answers []operation.Answer, err error) {
	switch {
	case len(answers) > 0 && answers[0].Code == operation.Done:
		g.recordPrimary(sent, string(m.id), answers[0].At)
	case len(answers) > 0 && answers[0].Code == operation.ReadOnly:
		g.recordNotPrimary(string(m.id))
	case isUnreachable(err):
		g.recordUnreachable(string(m.id))
	}
}

// refreshProof fetches a proof before the newest one becomes too old, while the group is in use and if this VM keeps
// the proofs of its availability zone. It reports whether that is the case.
func (g *group) refreshProof(now time.Time) (keeps bool) {
	g.mu.Lock()
	sent, _, ok := g.proofs.Newest()
	active := now.Sub(g.lastUsed) < activePeriod
	g.mu.Unlock()
	if !active || g.proofKeeper(now) != "" {
		return false
	}
	if !ok || now.Sub(sent) >= proofRefreshAge {
		g.fetchProof()
	}
	return true
}

// proofKeeperVMs returns the entry VMs that may keep proofs: all of them.
func proofKeeperVMs(_ string, entries *[]placement.EntryVM) []placement.EntryVM { return *entries }

// Proofs implements forward.Host.
func (p *Proxy) Proofs(ctx context.Context, r forward.ProofsRequest) ([]freshness.Proof, bool) {
	g := (*p.served.Load())[r.Group]
	if g == nil || p.closing(p.options.Now()) {
		return nil, false
	}
	return g.keepProofs(ctx, r), true
}
