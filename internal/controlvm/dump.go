package controlvm

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/console"
	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// dump is the state of a control VM that the console serves. It contains no key verifiers.
type dump struct {
	Identity  string          `json:"identity"`
	Role      string          `json:"role"`
	Lease     bool            `json:"lease"`
	Term      uint64          `json:"term"`
	Committed uint64          `json:"committed"`
	Leader    string          `json:"leader"`
	Watchers  int             `json:"watchers"`
	Waiting   int             `json:"waiting"`
	Without   int64           `json:"leaderless"` // ms for which no leader has been known
	Group     json.RawMessage `json:"group"`
	State     json.RawMessage `json:"book"`

	Election controllog.Election `json:"election"`
}

// serveConsole serves the console until the context ends.
func (vm *VM) serveConsole(ctx context.Context) error {
	s, err := console.Listen(vm.options.Console.Listen, vm.Process())
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// Process returns the metrics, state dump and readiness check of this control VM for a console.
func (vm *VM) Process() console.Process {
	return console.Process{Name: "control", Vars: vm.metrics.all, Dump: vm.dump, Ready: vm.checkReady}
}

func (vm *VM) dump(ctx context.Context) (any, error) {
	var d dump
	var book *wire.Book
	var group *wire.Membership
	err := vm.inbox.Do(ctx, func(now time.Time) {
		d = dump{
			Identity:  vm.folder.Identity(),
			Role:      vm.voter.Role().String(),
			Lease:     vm.voter.HoldsLease(now),
			Term:      vm.voter.Term(),
			Committed: vm.voter.Committed(),
			Leader:    vm.voter.LeaderAddress(now),
			Watchers:  len(vm.watchers),
			Waiting:   len(vm.waiting),
			Without:   vm.reporter.without(now).Milliseconds(),
			Election:  vm.voter.Election(now),
		}
		book, group = vm.state.Snapshot(), vm.voter.Membership()
	})
	if err != nil {
		return nil, err
	}
	book = proto.CloneOf(book)
	book.Configuration = withoutVerifiers(book.Configuration)
	if d.State, err = protojson.Marshal(book); err != nil {
		return nil, err
	}
	d.Group, err = protojson.Marshal(group)
	return d, err
}

// checkReady returns an error if this control VM neither leads nor follows a leader.
func (vm *VM) checkReady(ctx context.Context) error {
	var leader string
	if err := vm.inbox.Do(ctx, func(now time.Time) { leader = vm.voter.LeaderAddress(now) }); err != nil {
		return err
	}
	if leader == "" {
		return errors.New("controlvm: no leader is known; see the status of the other control VMs")
	}
	return nil
}
