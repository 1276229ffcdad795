package entryvm

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// table is the published configuration that session goroutines read. It is immutable.
type table struct {
	version  uint64
	accounts map[string]*account
	routes   map[string]*callerRoute
}

// account is a client account with its keys.
type account struct {
	name   string
	weight float64
	keys   map[string]caller.Verifier
}

// callerRoute is a route; a caller selects it as its database name.
type callerRoute struct {
	name       string
	database   string
	group      *group // nil if the group is not configured
	open       bool
	accounts   map[string]bool
	age        time.Duration
	repeatable bool
	priority   uint8 // urgency of the statements, 0 being the most urgent
}

// newTable returns the table of a configuration. A key whose verifier is malformed is left out, so that it is refused.
func newTable(c *wire.Configuration, groups map[string]*group) *table {
	t := &table{
		version:  c.GetVersion(),
		accounts: make(map[string]*account, len(c.GetAccounts())),
		routes:   make(map[string]*callerRoute, len(c.GetRoutes())),
	}
	for _, a := range c.GetAccounts() {
		one := &account{name: a.GetName(), weight: float64(max(a.GetWeight(), 1)), keys: make(map[string]caller.Verifier, len(a.GetKeys()))}
		for _, k := range a.GetKeys() {
			if v, err := caller.ParseVerifier(k.GetVerifier()); err == nil {
				one.keys[k.GetName()] = v
			}
		}
		t.accounts[a.GetName()] = one
	}
	for _, r := range c.GetRoutes() {
		one := &callerRoute{
			name: r.GetName(), database: r.GetDatabase(), group: groups[r.GetGroup()], open: r.GetOpen(),
			accounts: make(map[string]bool, len(r.GetAccounts())), age: time.Duration(r.GetAge()) * time.Millisecond,
			repeatable: r.GetRepeatable(), priority: uint8(min(r.GetPriority(), admission.MaxPriority)),
		}
		for _, a := range r.GetAccounts() {
			one.accounts[a] = true
		}
		t.routes[r.GetName()] = one
	}
	return t
}

// findVerifier returns the verifier of a key.
func (t *table) findVerifier(accountName, key string) (caller.Verifier, bool) {
	a, ok := t.accounts[accountName]
	if !ok {
		return caller.Verifier{}, false
	}
	v, ok := a.keys[key]
	return v, ok
}

// authorize returns the route if the caller may currently use it. authenticated is the verifier with which the key was
// authenticated; a key that was withdrawn and issued again under the same name is a different key.
func (t *table) authorize(s *caller.Startup, authenticated caller.Verifier) (*callerRoute, *outcome.Error) {
	r, ok := t.routes[s.Route]
	if !ok {
		return nil, noRoute(s)
	}
	if s.IsPublic() {
		if !r.open {
			return nil, noRoute(s)
		}
		return r, nil
	}
	v, ok := t.findVerifier(s.Account, s.Key)
	if !ok || !v.Equal(authenticated) {
		return nil, outcome.New(outcome.SessionTerminated, "the key was withdrawn", "connect again with a valid key")
	}
	if !r.open && !r.accounts[s.Account] {
		return nil, noRoute(s)
	}
	return r, nil
}

// noRoute returns the same error for an unknown route and for one of other accounts, so that callers cannot
// distinguish them.
func noRoute(s *caller.Startup) *outcome.Error {
	return outcome.New(outcome.AccessDenied, "account "+s.Account+" may not use route "+s.Route,
		"check the database name, or have the account added to the route")
}
