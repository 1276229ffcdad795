// Package controlvm implements the control VM process. One goroutine runs the event loop that owns the
// control state. gRPC and HTTP handlers post events to it and wait for the results.
package controlvm

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/disk"
	"fireflyrudder.example/fireflyrudder/internal/eventloop"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Intervals and limits of the event loop and of shutdown.
const (
	tickInterval = 20 * time.Millisecond
	maxBatch     = 256 // events handled before the disk is synced
	// leadershipTransferWait is how long a stopping VM stays up: to give its vote to a learner, to send the messages of
	// the transfer, and to vote for its successor.
	leadershipTransferWait = controllog.HandoverPeriod + 100*time.Millisecond
	stopGrace              = 2 * time.Second // for running calls when the process stops
)

// Options are the settings of a control VM.
type Options struct {
	Node          settings.Node
	Control       settings.Control
	TLS           settings.TLS
	Console       settings.Console
	Listener      net.Listener // gRPC listener; opened from the settings if nil
	Announce      net.Listener // announcement listener; opened from the settings if nil
	SnapshotEvery uint64       // committed records between snapshots; 0 means the default
	SnapshotBytes uint64       // size of stored records that a snapshot makes superfluous; 0 means the default
	// Backends makes the calls to backend servers; nil means SQL calls over PostgreSQL connections.
	Backends BackendClient
	// Policy returns the failover policy of a new leader; nil means failover.New.
	Policy func(identity string) failover.Policy
	// Seeds returns the addresses of control VMs as configured now, which may change; nil if they do not.
	Seeds func() []string
	// Tolerance is by how much client accounts may exceed their rate limits.
	Tolerance lease.Tolerance
	// HeartbeatInterval is the time between heartbeats of the control group; 0 means the default.
	HeartbeatInterval time.Duration
	// ReplaceAfter is the time without contact after which a spare replaces a voter; 0 means the default.
	ReplaceAfter time.Duration
}

// VM is a control VM process. The fields from voter on belong to the goroutine of loop.
type VM struct {
	options  Options
	pair     *certificate.Reloader // nil without TLS
	password string
	folder   *disk.Folder
	outbox   *outbox
	backends BackendClient
	peers    *peers
	metrics  *metrics
	inbox    *eventloop.Inbox
	ended    chan struct{} // closed when the loop has ended
	ready    chan struct{} // closed when the listeners serve

	voter      *controllog.Voter
	state      *controlstate.State
	unsynced   []*wire.LogRecord           // appended but not yet durable
	outgoing   []controllog.Send           // sent after the next sync
	lastTag    uint64                      // tag of the latest proposal
	proposed   map[uint64]*pendingProposal // by tag
	waiting    map[uint64]*pendingProposal // by log index
	watchers   map[*watcher]struct{}
	notice     notice
	changed    bool  // the control state changed since propagateChanges
	diskErr    error // first disk error, which ends the process
	leadership *leadership
	reporter   reporter
}

// New opens the data folder and restores the state from it.
func New(options Options) (*VM, error) {
	vm := &VM{
		options:  options,
		metrics:  newMetrics(),
		ended:    make(chan struct{}),
		ready:    make(chan struct{}),
		proposed: map[uint64]*pendingProposal{},
		waiting:  map[uint64]*pendingProposal{},
		watchers: map[*watcher]struct{}{},
	}
	vm.reporter = reporter{peers: options.Control.Peers, metrics: vm.metrics}
	vm.inbox = eventloop.New(maxBatch, vm.ended, errStopped)
	var err error
	if vm.password, err = options.Control.Server.ReadPassword(); err != nil {
		return nil, err
	}
	if options.TLS.Enabled() {
		if vm.pair, err = certificate.Load(options.TLS); err != nil {
			return nil, err
		}
	}
	if vm.folder, err = disk.Open(options.Control.Data); err != nil {
		return nil, err
	}
	if err := vm.restore(clock.Now()); err != nil {
		_ = vm.folder.Close()
		return nil, err
	}
	vm.outbox = newOutbox(vm.pair, vm.metrics)
	vm.peers = newPeers(vm.pair)
	if vm.backends = options.Backends; vm.backends == nil {
		vm.backends = newPostgresClient(options.Control.Server.User, vm.password, vm.folder.Identity(), vm.metrics)
	}
	return vm, nil
}

// restore creates the voter and the control state from the data folder.
func (vm *VM) restore(now time.Time) error {
	found := vm.folder.State()
	if cut := vm.folder.TruncatedBytes(); cut > 0 {
		log.WithField("bytes", cut).Warn("truncated an incomplete write at the end of the write-ahead file")
	}
	if err := vm.restoreState(found.Snapshot); err != nil {
		return err
	}
	c := vm.options.Control
	config := controllog.Config{
		Address: c.Listen, Zone: vm.options.Node.Zone, Peers: c.Peers, Spare: c.Join, Voters: c.Voters, SnapshotEvery: vm.options.SnapshotEvery,
		SnapshotBytes: vm.options.SnapshotBytes, ReplaceAfter: vm.options.ReplaceAfter, HeartbeatInterval: vm.options.HeartbeatInterval,
	}
	state := controllog.PersistentState{
		Term: found.Vote.GetTerm(), Vote: controllog.Identity(found.Vote.GetCandidate()), Leader: controllog.Identity(found.Vote.GetLeader()),
		Snapshot: found.Snapshot, Records: found.Records, Stored: uint64(vm.folder.Size()),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	vm.voter = controllog.New(now, controllog.Identity(vm.folder.Identity()), config, random, state)
	return nil
}

// restoreState replaces the control state with that of a snapshot, or with an empty one if s is nil.
func (vm *VM) restoreState(s *wire.VoterSnapshot) error {
	if s == nil {
		vm.state = controlstate.New()
		return nil
	}
	state, err := controlstate.Restore(s.Book)
	if err != nil {
		return err
	}
	state.SetIndex(s.Index)
	vm.state = state
	return nil
}

// Run serves until the context ends or the disk fails, see Serve. It returns nil after a planned stop.
func (vm *VM) Run(ctx context.Context) error {
	defer io.Closer(vm.folder).Close()
	defer vm.backends.Close()
	defer vm.peers.close()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopping := ctx
	g, ctx := errgroup.WithContext(serving)
	g.Go(func() error {
		defer stop()
		vm.transferLeadership(ctx, stopping)
		return nil
	})
	g.Go(func() error { return vm.loop(ctx) })
	g.Go(func() error { return vm.serveGRPC(ctx) })
	if vm.options.Announce != nil || vm.options.Control.Announce != "" {
		g.Go(func() error { return vm.serveAnnouncements(ctx) })
	}
	g.Go(func() error { return vm.outbox.run(ctx) })
	if vm.options.Seeds != nil {
		g.Go(func() error { return newIntroduction(vm).run(ctx) })
	}
	if vm.options.Console.Listen != "" {
		g.Go(func() error { return vm.serveConsole(ctx) })
	}
	err := g.Wait()
	if vm.leadership != nil {
		vm.leadership.cancel()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// transferLeadership waits for a planned stop and then transfers the leadership and the vote to other control VMs, so that
// the group does not have to wait until the leader lease expires or this VM counts as silent.
func (vm *VM) transferLeadership(ctx, stopping context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stopping.Done():
	}
	led := false
	err := vm.inbox.Do(ctx, func(now time.Time) {
		led = vm.leadership != nil
		vm.step(now, controllog.Stopping{})
	})
	if err != nil {
		return // the loop has ended and Run returns its error
	}
	select {
	case <-ctx.Done():
	case <-time.After(leadershipTransferWait):
	}
	if led {
		log.WithField("event", "stop").Info("control leadership handed over")
	}
}

// Ready is closed when the listeners serve.
func (vm *VM) Ready() <-chan struct{} { return vm.ready }

// Identity returns the identity stored in the data folder.
func (vm *VM) Identity() string { return vm.folder.Identity() }

// loop is the event loop, which owns the control state.
func (vm *VM) loop(ctx context.Context) error {
	defer close(vm.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for vm.diskErr == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := clock.Now()
			vm.step(now, controllog.Tick{})
			vm.leaderTick(now)
			vm.wakeWatchers(now)
			vm.reporter.tick(now, vm.voter)
		case event := <-vm.inbox.C():
			event(clock.Now())
			vm.drainInbox()
		}
		vm.syncAndSend()
		vm.reporter.logMembers(vm.voter)
	}
	return vm.diskErr
}

// drainInbox handles the events that are already queued, so that one sync covers all of them.
func (vm *VM) drainInbox() {
	for range maxBatch {
		select {
		case event := <-vm.inbox.C():
			event(clock.Now())
		default:
			return
		}
	}
}

var errStopped = errors.WithHint(errors.New("controlvm: the process stops"), "ask another control VM")
