// Package entryvm implements the entry VM, the process to which callers connect. One goroutine, the event loop, owns
// the control state: the configuration, the views of the groups and their majority rounds. It publishes immutable
// states, which the session goroutines read.
//
// A majority round is a round of status requests to the servers of a group that a majority must answer. It gives the
// floor of a session, which is the lowest log position that its reads must include (package watermark).
package entryvm

import (
	"context"
	"crypto/tls"
	"io"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/eventloop"
	"fireflyrudder.example/fireflyrudder/internal/recovery"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Sizes and intervals of the process.
const (
	// tickInterval is the resolution of the timers of majority rounds and waits.
	tickInterval = 10 * time.Millisecond
	// eventQueue is the number of events that session goroutines can post without blocking while the event loop is
	// busy.
	eventQueue = 4096
	// cachedStatements is the number of cached statement classifications; a statement text is below 8 KB.
	cachedStatements = 4096
)

// Options configure a VM. They are immutable.
type Options struct {
	Node        settings.Node
	Entry       *settings.Entry
	Credentials backend.Credentials
	Signer      *session.Signer // nil: session tokens are neither issued nor accepted
	TLS         *tls.Config     // for caller connections; nil: no TLS
	Listener    net.Listener    // nil: New listens on Entry.Listen
	// Dial opens a connection to a control VM.
	Dial func(address string) (wire.ControlClient, io.Closer, error)
}

// VM is one entry VM.
type VM struct {
	options  Options
	identity string // random, generated at each start
	ctx      context.Context
	stop     context.CancelFunc
	done     chan struct{} // closed when the event loop has ended
	inbox    *eventloop.Inbox

	table         atomic.Pointer[table]
	leases        renewal.ConfigLeases // changed by the event loop only
	draining      atomic.Bool
	sessions      *registry
	credits       *renewal.Credits
	retries       retries
	cache         *statement.Cache
	requestTables sync.Map // requestTableKey of each database whose table of request ids exists
	metrics       *metrics
	control       *renewal.Client

	// used by the event loop only
	controlState *controlstate.State
	groups       map[string]*group
	lastWaitID   uint64
}

// New returns a VM that is not running.
func New(o Options) (*VM, error) {
	vm := &VM{
		options:      o,
		identity:     renewal.NewIdentity(),
		done:         make(chan struct{}),
		sessions:     newRegistry(),
		cache:        statement.NewCache(cachedStatements),
		metrics:      newMetrics(),
		controlState: controlstate.New(),
		groups:       make(map[string]*group),
	}
	vm.ctx, vm.stop = context.WithCancel(context.Background())
	vm.inbox = eventloop.New(eventQueue, vm.ctx.Done(), errStopped)
	vm.control = renewal.New(host{vm}, renewal.Options{
		Registration: &wire.Registration{Entry: vm.identity, Name: o.Node.Name, Zone: o.Node.Zone},
		Groups:       o.Entry.Groups,
		Controls:     func() []string { return o.Entry.Controls },
		Dial:         o.Dial, Now: time.Now, MinInterval: renewal.DefaultMinInterval,
	})
	vm.credits = vm.control.Credits()
	vm.retries.budget = retry.New(mathrand.Uint64(), retry.Budgeted)
	vm.table.Store(newTable(vm.controlState.Configuration(), nil))
	if vm.options.Listener == nil {
		l, err := net.Listen("tcp", o.Entry.Listen)
		if err != nil {
			return nil, errors.WithHint(errors.Wrap(err, "entryvm: listen"), "choose another address for --listen, or stop the process that uses it")
		}
		vm.options.Listener = l
	}
	return vm, nil
}

// Address returns the address to which callers connect.
func (vm *VM) Address() string {
	return vm.options.Listener.Addr().String()
}

// Identity returns the random identity of the process.
func (vm *VM) Identity() string {
	return vm.identity
}

// Run serves until ctx is done, then shuts down gracefully: requests in progress and open transactions may complete
// within the drain timeout.
func (vm *VM) Run(ctx context.Context) error {
	defer vm.stop()
	go vm.runEventLoop()
	go vm.control.Run(vm.ctx)
	acceptor := caller.NewAcceptor(vm, vm.cancel, vm.options.TLS)
	go vm.accept(acceptor)
	log.WithField("address", vm.Address()).WithField("identity", vm.identity).Info("entry VM serves")
	<-ctx.Done()
	vm.drain()
	vm.control.Leave(renewal.LeaveTimeout)
	vm.stop()
	<-vm.done
	return nil
}

// drain refuses new connections, closes idle sessions and waits for the others. It aborts those that remain after the
// drain timeout.
func (vm *VM) drain() {
	vm.draining.Store(true)
	vm.options.Listener.Close() //nolint:errcheck // nothing is accepted in any case
	log.WithField("sessions", vm.sessions.count()).Info("entry VM drains")
	why := outcome.New(outcome.SessionTerminated, "the entry VM shuts down", "connect again; the balancer chooses another entry VM")
	timer := time.NewTimer(vm.options.Entry.Drain)
	defer timer.Stop()
	for _, s := range vm.sessions.list() {
		s.requestClose(why, false)
	}
	select {
	case <-vm.sessions.waitEmpty():
	case <-timer.C:
		for _, s := range vm.sessions.list() {
			s.abort()
		}
	}
}

// accept accepts connections until the listener closes.
func (vm *VM) accept(a *caller.Acceptor) {
	for {
		n, err := vm.options.Listener.Accept()
		if err != nil {
			if vm.draining.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(tickInterval) // out of file descriptors, for instance
			continue
		}
		go vm.serveConn(a, n)
	}
}

// serveConn authenticates one connection of a caller and serves its session. An unexpected failure ends that connection
// only.
func (vm *VM) serveConn(a *caller.Acceptor, n net.Conn) {
	defer recovery.Contain("caller")
	defer n.Close()
	vm.metrics.connections.Add(1)
	c, err := a.Accept(n)
	if err != nil {
		vm.metrics.refused.Add(1)
		return
	}
	if c == nil {
		return // a cancel request
	}
	vm.metrics.sessions.Add(1)
	defer vm.metrics.sessions.Add(-1)
	s, refusal := vm.openSession(c)
	if refusal != nil {
		c.Fatal(refusal)
		return
	}
	s.serve()
}

// openSession opens the session of an authenticated caller.
func (vm *VM) openSession(c *caller.Conn) (*callerSession, *outcome.Error) {
	r, refusal := vm.table.Load().authorize(&c.Startup, c.Startup.Verifier)
	if refusal != nil {
		return nil, refusal
	}
	s := newSession(vm, c, r)
	for name, value := range c.Startup.Parameters {
		if name == parameterSession {
			refusal = s.restoreToken(value)
		} else {
			refusal = s.parameters.set(name, value, vm.options.Entry.Wait)
		}
		if refusal != nil {
			return nil, refusal
		}
	}
	c.Startup.Parameters = nil
	vm.sessions.add(s)
	if vm.draining.Load() {
		vm.sessions.remove(s)
		return nil, outcome.New(outcome.SessionTerminated, "the entry VM shuts down", "connect again; the balancer chooses another entry VM")
	}
	s.startFloor()
	return s, nil
}

// FindVerifier implements caller.Authorizer.
func (vm *VM) FindVerifier(account, key string) (caller.Verifier, bool) {
	return vm.table.Load().findVerifier(account, key)
}

// Authorize implements caller.Authorizer.
func (vm *VM) Authorize(s *caller.Startup) *outcome.Error {
	if vm.draining.Load() {
		return outcome.New(outcome.SessionTerminated, "the entry VM shuts down", "connect again; the balancer chooses another entry VM")
	}
	if !vm.leased(time.Now()) {
		return outcome.New(outcome.NoLease, "this entry VM holds no configuration lease", "connect to another entry VM")
	}
	_, refusal := vm.table.Load().authorize(s, s.Verifier)
	return refusal
}

// cancel handles a cancel request.
func (vm *VM) cancel(c caller.CancelRequest) {
	if s := vm.sessions.find(c.ProcessID); s != nil {
		s.cancel(vm.ctx, c.Secret)
	}
}

// leased reports whether the VM has a valid configuration lease.
func (vm *VM) leased(now time.Time) bool {
	return vm.leaseRemaining(now) > 0
}

// leaseRemaining returns the time until the configuration lease expires.
func (vm *VM) leaseRemaining(now time.Time) time.Duration {
	return vm.leases.Until().Sub(now)
}

// Ready returns nil if the VM serves callers, and otherwise the reason why not.
func (vm *VM) Ready(context.Context) error {
	switch {
	case vm.draining.Load():
		return errors.New("entryvm: shutting down")
	case !vm.leased(time.Now()):
		return errors.New("entryvm: no configuration lease")
	}
	return nil
}

// errStopped reports that the event loop has ended.
var errStopped = errors.WithHint(errors.New("entryvm: the process stops"), "ask another entry VM")

// post queues an event for the event loop. It does nothing once the VM has stopped.
func (vm *VM) post(f func(now time.Time)) {
	_ = vm.inbox.Post(vm.ctx, f)
}
