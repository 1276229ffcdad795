package proxy

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// configSnapshot is an immutable, indexed copy of the configuration for the sessions.
type configSnapshot struct {
	version  uint64
	routes   map[string]*route
	accounts map[string]*account          // by name
	byRate   []string                     // names of the accounts, the one with the highest rate first
	keys     map[[sha256.Size]byte]string // name of the account, by digest of the key
	idle     time.Duration
}

// route maps a name that callers connect to onto a database group and the rules for statements on it.
type route struct {
	name          string
	group         *group
	maxStaleness  time.Duration // maximum age of the data that a read may see; 0 requires current data
	timeout       time.Duration
	targetLatency time.Duration // 0 if none is configured
	public        bool          // open to callers without a key
	priority      uint32        // urgency of the statements, 0 being the most urgent
	homes         []string      // regions in which its statements may run; empty for all
}

// account is a client account.
type account struct {
	name   string
	weight float64
	rate   float64  // operations per second, over all entry VMs
	burst  float64  // operations admitted at once, over all entry VMs
	homes  []string // regions in which its statements may run; empty for all
}

func newConfigSnapshot(c *wire.Configuration, groups map[string]*group) *configSnapshot {
	t := &configSnapshot{
		version: c.GetVersion(), routes: map[string]*route{}, accounts: map[string]*account{}, keys: map[[sha256.Size]byte]string{},
		idle: milliseconds(c.GetIdle(), defaultIdleTimeout),
	}
	for _, r := range c.GetRoutes() {
		t.routes[r.GetName()] = &route{
			name: r.GetName(), group: groups[r.GetGroup()], public: r.GetOpen(), priority: r.GetPriority(),
			maxStaleness: milliseconds(r.GetAge(), 0), targetLatency: milliseconds(r.GetTarget(), 0), timeout: milliseconds(r.GetTimeout(), defaultTimeout),
			homes: r.GetHomes(),
		}
	}
	for _, a := range c.GetAccounts() {
		t.accounts[a.GetName()] = &account{
			name: a.GetName(), weight: float64(max(a.GetWeight(), 1)), rate: a.GetRate(), burst: a.GetBurst(), homes: a.GetHomes(),
		}
		for _, k := range a.GetKeys() {
			t.keys[[sha256.Size]byte(k.GetDigest())] = a.GetName()
		}
	}
	t.byRate = slices.SortedFunc(maps.Keys(t.accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.accounts[b].rate, t.accounts[a].rate), cmp.Compare(a, b))
	})
	return t
}

func milliseconds(n int64, otherwise time.Duration) time.Duration {
	if n <= 0 {
		return otherwise
	}
	return time.Duration(n) * time.Millisecond
}
