package proxy

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// FetchProofs requests a proof from the instance of a pool for each client account, as entry VMs do that served
// them last.
func FetchProofs(now func() time.Time, pool *connpool.Pool, accounts []string) {
	id := placement.ServerID(pool.Server())
	g := &group{
		now: now, finder: placement.NewFinder(), forward: forward.NewClient(now), primary: pool.Server(), viewChanged: make(chan struct{}),
		preferredOwner: func(*member) string { return "" },
		usableOwner:    func(*member, time.Time) string { return "" },
		members:        []*member{{id: id, pool: pool, stats: placement.NewInstanceStats(initialLatency)}},
		ids:            []placement.ServerID{id},
	}
	g.finder.SetView(now(), id)
	for _, account := range accounts {
		g.recentAccount = account
		g.queryProof()
	}
}
