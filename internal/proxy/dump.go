package proxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/console"
)

// dump is the state of an entry VM as the console shows it. It contains no keys of client accounts.
type dump struct {
	Identity string               `json:"identity"`
	Version  uint64               `json:"version"`
	Leased   bool                 `json:"leased"`
	Draining bool                 `json:"draining"`
	Sessions int                  `json:"sessions"`
	Entries  int                  `json:"entries"`   // entry VMs that this one knows
	Zones    []string             `json:"evacuated"` // evacuated availability zones with members of the groups, sorted
	Groups   map[string]dumpGroup `json:"groups"`
}

// dumpGroup is the state of a group.
type dumpGroup struct {
	Primary   string                   `json:"primary"`
	Term      uint64                   `json:"term"`
	Proof     string                   `json:"proof"` // log position of the newest proof
	Age       time.Duration            `json:"age"`   // of that proof
	Pools     map[string]connpool.Load `json:"lanes"`
	Evacuated []string                 `json:"evacuated"` // members
}

// Console returns the description of this entry VM for the console.
func (p *Proxy) Console() console.Process {
	return console.Process{Name: "entry", Vars: p.metrics.all, Dump: p.dump, Ready: p.Ready}
}

func (p *Proxy) dump(ctx context.Context) (any, error) {
	var d dump
	err := p.inbox.Do(ctx, func(now time.Time) {
		d = dump{
			Identity: p.identity, Version: p.state.Version(), Leased: p.hasLease(now), Draining: p.stopStarted.Load() != nil,
			Sessions: p.sessionCount(), Entries: len(*p.entries.Load()), Groups: map[string]dumpGroup{}, Zones: slices.Sorted(maps.Keys(p.evacuations)),
		}
		for name, g := range p.groups {
			d.Groups[name] = g.dump(now)
		}
	})
	return d, errors.Wrap(err, "relay: dump")
}

func (g *group) dump(now time.Time) dumpGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := dumpGroup{Primary: g.primary, Term: g.term, Pools: map[string]connpool.Load{}, Evacuated: g.evacuatedIDs()}
	if sent, at, ok := g.proofs.Newest(); ok {
		d.Proof, d.Age = at.String(), now.Sub(sent)
	}
	for _, m := range g.members {
		d.Pools[string(m.id)] = m.pool.Load()
	}
	return d
}
