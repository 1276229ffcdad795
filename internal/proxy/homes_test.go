package proxy_test

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// homesCase is a route and a client account with homes. The primary is in the south; of the replicas one is in the north and
// one in a zone without a region.
type homesCase struct {
	name           string
	route, account []string
	regions        map[string]string
	reads          []string // instances that may serve reads with a stated age
	writes         bool     // the primary may be used
}

// TestStatementsStayInTheirHomes guards against statements that run at, or are sent to, an instance outside the home regions
// of their route or their client account, and against restrictions where none is configured or the regions are not known.
func TestStatementsStayInTheirHomes(t *testing.T) {
	regions := map[string]string{"zone": "north", "zone-s": "south"}
	all := []string{"i-1", "i-2", "i-3"}
	for _, c := range []homesCase{
		{"none", nil, nil, regions, all, true},
		{"route", []string{"north"}, nil, regions, []string{"i-2"}, false},
		{"account", nil, []string{"north", "west"}, regions, []string{"i-2"}, false},
		{"of the primary", []string{"south"}, []string{"south", "north"}, regions, []string{"i-1"}, true},
		{"no common one", []string{"south"}, []string{"north"}, regions, nil, false},
		{"unknown region", []string{"west"}, nil, regions, nil, false},
		{"regions not known", []string{"north"}, []string{"south"}, nil, all, true},
	} {
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c *homesCase) check(t *testing.T) {
	digest := sha256.Sum256([]byte("key"))
	// An account of this name needs no credits.
	account := &wire.Account{Name: "public", Homes: c.account, Keys: []*wire.Key{{Digest: digest[:]}}}
	s := proxy.NewSimulated(c.regions, &wire.Configuration{
		Groups:   []*wire.Group{{Name: "g", Connections: 40}},
		Routes:   []*wire.Route{{Name: "aged", Group: "g", Age: 1500, Homes: c.route}, {Name: "current", Group: "g", Homes: c.route}},
		Accounts: []*wire.Account{account},
	}, newMember("i-1", "zone-s"), newMember("i-2", "zone"), newMember("i-3", "zone-x"))
	aged, current := s.Session("aged", "key"), s.Session("current", "key")
	begin := operation.Statement{Kind: operation.Begin, Text: "begin"}
	beginRead := operation.Statement{Kind: operation.Begin, Text: "begin", ReadOnly: true}
	commit := operation.Statement{Kind: operation.Commit, Text: "commit"}
	rollback := operation.Statement{Kind: operation.Rollback}

	for n := range 40 {
		s.Advance(10 * time.Millisecond)
		c.expect(t, aged.Handle(t.Context(), read), len(c.reads) > 0)
		c.expect(t, current.Handle(t.Context(), read), c.writes)
		c.expect(t, []*proxy.Session{aged, current}[n%2].Handle(t.Context(), write), c.writes)
		for _, tx := range [][]operation.Statement{{begin, write}, {begin, read}} {
			current.Handle(t.Context(), tx[0])
			c.expect(t, current.Handle(t.Context(), tx[1]), c.writes)
			current.Handle(t.Context(), []operation.Statement{commit, rollback}[n%2])
		}
		aged.Handle(t.Context(), beginRead)
		c.expect(t, aged.Handle(t.Context(), read), len(c.reads) > 0)
		aged.Handle(t.Context(), rollback)
		s.Settle()
	}
	texts := map[string]map[string]bool{}
	for _, a := range s.Arrivals {
		if a.Text == "read" || a.Text == "write" {
			if texts[a.Server] == nil {
				texts[a.Server] = map[string]bool{}
			}
			texts[a.Server][a.Text] = true
		}
	}
	require.Equal(t, c.writes, texts["i-1"]["write"])
	allowed := c.reads
	if c.writes {
		allowed = append([]string{"i-1"}, allowed...)
	}
	for server := range texts {
		require.Contains(t, allowed, server)
	}
}

// expect checks that a statement ran, or was refused at once with the regions.
func (c *homesCase) expect(t *testing.T, a operation.Answer, runs bool) {
	if runs {
		require.Equal(t, operation.Done, a.Code, a.Detail)
		return
	}
	require.Equal(t, operation.Busy, a.Code)
	require.Contains(t, a.Detail, "home regions")
	for _, region := range append(c.route, c.account...) {
		require.Contains(t, a.Detail, region)
	}
}
