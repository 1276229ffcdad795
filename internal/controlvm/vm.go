// Package controlvm is the control process. One goroutine owns the control state; gRPC, HTTP and
// probes hand it events and wait for its answers.
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

// Intervals and limits of the process.
const (
	tickInterval = 20 * time.Millisecond
	maxBatch     = 256 // events handled before the disk is synced
	// leadershipTransferWait is for the messages of a leader that hands over, and for its vote.
	leadershipTransferWait = 100 * time.Millisecond
	stopGrace              = 2 * time.Second // for calls in progress when the process stops
	noGroupWarnAfter       = 5 * time.Second // after which a process without a group says what it waits for
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
	// Backends makes the calls to backend servers; nil means instances that speak PostgreSQL.
	Backends BackendClient
	// Policy returns the failover policy of a new leader; nil means failover.New.
	Policy func(identity string) failover.Policy
	// Tolerance is by how much client accounts may exceed their rates.
	Tolerance lease.Tolerance
	// HeartbeatInterval is the time between heartbeats of the control group; 0 means the default.
	HeartbeatInterval time.Duration
	// ReplaceAfter is the silence after which a spare replaces a voter; 0 means the default.
	ReplaceAfter time.Duration
}

// VM is one control process. Its fields below inbox belong to the goroutine of loop.
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

	voter         *controllog.Voter
	book          *controlstate.State
	unsynced      []*wire.LogRecord           // appended and not yet on disk
	outgoing      []controllog.Send           // waits for the disk
	lastTag       uint64                      // of the latest proposal
	proposed      map[uint64]*pendingProposal // by tag
	waiting       map[uint64]*pendingProposal // by log index
	watchers      map[*watcher]struct{}
	changed       bool      // the book changed since react
	started       time.Time // first tick
	noGroupWarned bool      // that no group was found
	diskErr       error     // of the disk; ends the process
	leadership    *leadership
}

// New opens the data folder and restores the state.
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

// restore makes the voter and the book from the data folder.
func (vm *VM) restore(now time.Time) error {
	found := vm.folder.State()
	if cut := vm.folder.TruncatedBytes(); cut > 0 {
		log.WithField("bytes", cut).Warn("torn end of the write-ahead file cut")
	}
	if err := vm.restoreBook(found.Snapshot); err != nil {
		return err
	}
	c := vm.options.Control
	place := controllog.Config{
		Address: c.Listen, Zone: vm.options.Node.Zone, Peers: c.Peers, Spare: c.Join, SnapshotEvery: vm.options.SnapshotEvery,
		ReplaceAfter: vm.options.ReplaceAfter, HeartbeatInterval: vm.options.HeartbeatInterval,
	}
	state := controllog.PersistentState{
		Term: found.Vote.GetTerm(), Vote: controllog.Identity(found.Vote.GetCandidate()), Leader: controllog.Identity(found.Vote.GetLeader()),
		Snapshot: found.Snapshot, Records: found.Records,
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	vm.voter = controllog.New(now, controllog.Identity(vm.folder.Identity()), place, random, state)
	return nil
}

// restoreBook replaces the book by the one of a snapshot.
func (vm *VM) restoreBook(s *wire.VoterSnapshot) error {
	if s == nil {
		vm.book = controlstate.New()
		return nil
	}
	book, err := controlstate.Restore(s.Book)
	if err != nil {
		return err
	}
	book.SetIndex(s.Index)
	vm.book = book
	return nil
}

// Run serves until the context ends or the disk fails. It returns nil after a planned stop.
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

// transferLeadership waits for a planned stop and then gives the lead to another control VM, so that nobody has to
// wait for the end of its lease.
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
	if err != nil || !led {
		return // the loop has ended, and its own error is returned
	}
	log.WithField("event", "stop").Info("control leadership handed over")
	select {
	case <-ctx.Done():
	case <-time.After(leadershipTransferWait):
	}
}

// Ready is closed when the listeners serve.
func (vm *VM) Ready() <-chan struct{} { return vm.ready }

// Identity returns the identity made with the data folder.
func (vm *VM) Identity() string { return vm.folder.Identity() }

// loop owns the control state.
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
			vm.warnNoGroup(now)
		case event := <-vm.inbox.C():
			event(clock.Now())
			vm.drainInbox()
		}
		vm.syncAndSend()
	}
	return vm.diskErr
}

// warnNoGroup says once that the process has found no group.
func (vm *VM) warnNoGroup(now time.Time) {
	switch {
	case vm.started.IsZero():
		vm.started = now
	case !vm.noGroupWarned && now.Sub(vm.started) >= noGroupWarnAfter:
		vm.noGroupWarned = true
		if !vm.voter.InGroup() {
			log.WithField("peers", vm.options.Control.Peers).Warn("no group yet: a first start needs all peers, a later one the leader")
		}
	}
}

// drainInbox handles events that wait already, so that one sync serves them all.
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
