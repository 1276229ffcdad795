package entryvm

import (
	"context"
	"expvar"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/backend"
)

// State is the state of a VM as shown at /dump. It contains no keys and no statements of callers.
type State struct {
	Identity string       `json:"identity"`
	Version  uint64       `json:"version"`
	Leased   bool         `json:"leased"`
	Draining bool         `json:"draining"`
	Sessions int          `json:"sessions"`
	Groups   []GroupDump  `json:"groups"`
	Servers  []ServerDump `json:"servers"`
}

// GroupDump is the state of a group.
type GroupDump struct {
	Group    string `json:"group"`
	Term     uint64 `json:"term"`
	Phase    string `json:"phase"`
	Primary  string `json:"primary"`
	Writable string `json:"writable"` // why writes cannot be sent; empty if they can
	Floors   int    `json:"floors"`   // requests that wait for a floor
	Commits  int    `json:"commits"`  // commits that wait for confirmation
}

// ServerDump is the state of a backend server.
type ServerDump struct {
	Group    string        `json:"group"`
	Server   string        `json:"server"`
	Role     string        `json:"role"`
	Term     uint64        `json:"term"`
	Position string        `json:"position"`
	History  string        `json:"history"`
	Alive    bool          `json:"alive"`
	Retired  bool          `json:"retired"` // or evacuated
	Age      float64       `json:"age"`     // of the data, in seconds; negative: unknown
	Pool     backend.Usage `json:"pool"`
}

// Dump returns the state of the VM.
func (vm *VM) Dump(ctx context.Context) (State, error) {
	var s State
	err := vm.inbox.Do(ctx, func(now time.Time) { s = vm.dump(now) })
	return s, errors.Wrap(err, "entryvm: dump")
}

// dump collects the state. Only the event loop calls it.
func (vm *VM) dump(now time.Time) State {
	s := State{
		Identity: vm.identity,
		Version:  vm.controlState.Version(),
		Leased:   vm.leased(now),
		Draining: vm.draining.Load(),
		Sessions: vm.sessions.count(),
	}
	for name, g := range vm.groups {
		state := g.state.Load()
		_, why := state.writable(now)
		floors, commits := g.watermarks.Waiting()
		s.Groups = append(s.Groups, GroupDump{
			Group: name, Term: uint64(state.term), Phase: state.phase.String(), Primary: g.view.GetPrimary(),
			Writable: why, Floors: floors, Commits: commits,
		})
		for i := range state.servers {
			s.Servers = append(s.Servers, dumpServer(now, name, &state.servers[i]))
		}
	}
	sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].Group < s.Groups[j].Group })
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Server < s.Servers[j].Server })
	return s
}

func dumpServer(now time.Time, group string, s *serverState) ServerDump {
	age := -1.0
	if !s.member.FreshAsOf.IsZero() {
		age = now.Sub(s.member.FreshAsOf).Seconds()
	}
	return ServerDump{
		Group: group, Server: string(s.id), Role: string(s.member.Role), Term: uint64(s.member.Follows),
		Position: s.member.At.String(), History: s.member.History.String(), Alive: s.alive(now), Retired: s.retired,
		Age: age, Pool: s.pool.Usage(),
	}
}

// Vars returns the metrics.
func (vm *VM) Vars() *expvar.Map {
	return vm.metrics.vars
}
