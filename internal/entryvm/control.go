package entryvm

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Times of the connection to the control group.
const (
	// renewInterval is the time between two Renews without need.
	renewInterval = 500 * time.Millisecond
	// renewTimeout gives up a request, so that another control VM is asked well within the lease of
	// 2.5 s. It is above a retransmission of TCP and an election.
	renewTimeout = 400 * time.Millisecond
	// renewPause is the least time between two Renews, so that short demand is bundled.
	renewPause = 10 * time.Millisecond
	// failPause is the pause after a Renew that failed, before another control VM is asked.
	failPause = 50 * time.Millisecond
	// registerTimeout bounds the first Renew, which waits for the control log.
	registerTimeout = 2 * time.Second
	// watchPause is the wait before another control VM is watched.
	watchPause = 50 * time.Millisecond
)

// control is the connection of the VM to the control group.
type control struct {
	vm       *VM
	due      chan struct{} // holds one token when a Renew is due now
	moved    chan struct{} // holds one token when the time of the next Renew may be earlier
	sequence uint64
	term     uint64 // control log term of the latest reply; a leader grants only to requests that name its own
	clients  map[string]wire.ControlClient
	closers  []io.Closer
	ended    chan struct{}
	leaving  chan struct{}

	mu      sync.Mutex
	at      int                           // last control VM picked
	watched map[string]bool               // by address
	streams map[string]context.CancelFunc // by address
}

func newControl(vm *VM) *control {
	return &control{
		vm: vm, due: make(chan struct{}, 1), moved: make(chan struct{}, 1), clients: make(map[string]wire.ControlClient),
		ended: make(chan struct{}), leaving: make(chan struct{}),
		at: rand.IntN(max(len(vm.options.Entry.Controls), 1)), watched: make(map[string]bool), streams: make(map[string]context.CancelFunc),
	}
}

// wake has a Renew sent now.
func (c *control) wake() {
	select {
	case c.due <- struct{}{}:
	default:
	}
}

// recheck has the time of the next Renew looked at again.
func (c *control) recheck() {
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// client returns the connection to a control VM. Only the goroutine of run calls it.
func (c *control) client(address string) (wire.ControlClient, error) {
	if known, ok := c.clients[address]; ok {
		return known, nil
	}
	fresh, closer, err := c.vm.options.Dial(address)
	if err != nil {
		return nil, errors.Wrap(err, "entryvm: control VM")
	}
	c.clients[address] = fresh
	c.closers = append(c.closers, closer)
	return fresh, nil
}

// run renews until ctx ends or the VM leaves.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for range min(watchers, len(c.vm.options.Entry.Controls)) {
		go c.watch(ctx)
	}
	addresses := c.vm.options.Entry.Controls
	at, redirect := 0, ""
	for {
		address := addresses[at%len(addresses)]
		if redirect != "" {
			address = redirect
		}
		term := c.term
		reply, err := c.renew(ctx, address, false)
		switch {
		case err != nil || (!reply.GetLeader() && reply.GetRedirect() == ""):
			c.vm.metrics.renewFailed.Add(1)
			at, redirect = at+1, ""
		case !reply.GetLeader():
			redirect = reply.GetRedirect()
			if redirect == address && c.term == term {
				at, redirect = at+1, ""
			}
		default:
			redirect = address
		}
		pause := renewInterval
		if err != nil || !reply.GetLeader() {
			pause = failPause
		}
		if !c.pause(ctx, pause) {
			c.announceLeave(address)
			return
		}
	}
}

// pause waits for the next Renew. It returns false when the VM leaves.
func (c *control) pause(ctx context.Context, most time.Duration) bool {
	least := time.NewTimer(min(renewPause, most))
	defer least.Stop()
	select {
	case <-least.C:
	case <-c.leaving:
		return false
	case <-ctx.Done():
		return false
	}
	for start := time.Now(); ; {
		left := min(most-time.Since(start), time.Until(c.vm.credits.next()))
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
			return true
		case <-c.due:
			timer.Stop()
			return true
		case <-c.moved:
			timer.Stop()
		case <-c.leaving:
			timer.Stop()
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// renew sends one request and applies its reply.
func (c *control) renew(ctx context.Context, address string, leaving bool) (*wire.RenewReply, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	request := &wire.RenewRequest{
		Registration: &wire.Registration{Entry: c.vm.identity, Name: c.vm.options.Node.Name, Zone: c.vm.options.Node.Zone},
		Leaving:      leaving,
		Term:         c.term,
	}
	usages := c.observe(ctx, request)
	c.sequence++
	request.Sequence = c.sequence
	sent := time.Now()
	c.vm.credits.ask(sent, request, usages)
	limit := renewTimeout
	if !c.vm.leased(sent) {
		limit = registerTimeout
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	reply, err := client.Renew(ctx, request)
	if err != nil {
		return nil, errors.Wrap(err, "entryvm: renew")
	}
	if reply.GetTerm() != 0 {
		c.term = reply.GetTerm()
	}
	if !reply.GetLeader() || reply.GetSequence() != request.Sequence || leaving {
		return reply, nil
	}
	c.vm.metrics.renewals.Add(1)
	c.vm.credits.grant(sent, time.Now(), reply)
	until := sent.Sub(c.vm.started) + time.Duration(reply.GetLease())*time.Millisecond
	c.vm.post(func(now time.Time) { c.vm.offered(now, offer{version: reply.GetVersion(), until: until}) })
	return reply, nil
}

// observe asks the owner goroutine for version, sights and use of connections.
func (c *control) observe(ctx context.Context, r *wire.RenewRequest) []lease.Usage {
	answer := make(chan []lease.Usage, 1)
	c.vm.post(func(now time.Time) {
		r.Version = c.vm.book.Version()
		var usages []lease.Usage
		for _, g := range c.vm.groups {
			r.Sights = append(r.Sights, sight(now, g)...)
			usages = append(usages, uses(g)...)
		}
		answer <- usages
	})
	select {
	case usages := <-answer:
		return usages
	case <-ctx.Done():
		return nil
	}
}

// sight tells what this VM sees of the primary of a group. Nothing is told before the first answer
// that could have come, so that a VM that just started does not call a primary unreachable.
func sight(now time.Time, g *group) []*wire.Sight {
	primary := g.view.GetPrimary()
	if primary == "" {
		return nil
	}
	for _, m := range g.mark.Members() {
		if string(m.Server) != primary || !m.Known {
			continue
		}
		silent := now.Sub(m.Answered)
		return []*wire.Sight{{
			Group: g.name, Term: g.view.GetTerm(), Server: primary,
			Reachable: m.Linked && silent < 5*watermark.Interval, Silent: silent.Milliseconds(),
		}}
	}
	return nil
}

// uses tells the connections that are open and wanted, one of each for the status link.
func uses(g *group) []lease.Usage {
	usages := make([]lease.Usage, 0, len(g.servers))
	for id, s := range g.servers {
		u := s.pool.Usage()
		usages = append(usages, lease.Usage{
			Server: lease.ServerID(id),
			Open:   u.Open + 1,
			Want:   s.pool.Wanted() + 1,
		})
	}
	return usages
}

// watchers is the number of control VMs watched at once. A control VM that is frozen sends nothing and
// looks like one without news; the other stream then brings what changed.
const watchers = 2

// watch keeps one of the streams of updates open. Any control VM serves it.
func (c *control) watch(ctx context.Context) {
	addresses := c.vm.options.Entry.Controls
	for ctx.Err() == nil {
		address := c.pick(addresses)
		err := c.watchOne(ctx, address)
		c.unpick(address)
		if ctx.Err() != nil {
			return
		}
		log.WithError(err).WithField("control", address).Warn("the stream of updates ended")
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// pick returns the next control VM that is not watched yet.
func (c *control) pick(addresses []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range addresses {
		c.at = (c.at + 1) % len(addresses)
		if !c.watched[addresses[c.at]] {
			break
		}
	}
	c.watched[addresses[c.at]] = true
	return addresses[c.at]
}

func (c *control) unpick(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched, address)
}

// rewatch ends the streams, because a version that the leader names does not arrive.
func (c *control) rewatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stop := range c.streams {
		stop()
	}
}

// register makes a stream known to rewatch until the returned function is called.
func (c *control) register(address string, stop context.CancelFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[address] = stop
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.streams, address)
	}
}

func (c *control) watchOne(ctx context.Context, address string) error {
	client, closer, err := c.vm.options.Dial(address)
	if err != nil {
		return errors.Wrap(err, "entryvm: control VM")
	}
	defer closer.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.register(address, stop)()
	request := &wire.WatchRequest{Entry: c.vm.identity, Groups: c.vm.options.Entry.Groups}
	held := make(chan struct{})
	c.vm.post(func(time.Time) {
		request.Version, request.Index = c.vm.book.Version(), c.vm.book.Index()
		close(held)
	})
	select {
	case <-held:
	case <-ctx.Done():
		return ctx.Err()
	}
	stream, err := client.Watch(ctx, request)
	if err != nil {
		return errors.Wrap(err, "entryvm: watch")
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "entryvm: watch")
		}
		c.vm.post(func(now time.Time) { c.vm.update(now, u) })
	}
}

// leave tells the control group that the VM holds nothing any more.
func (c *control) leave(limit time.Duration) {
	close(c.leaving)
	select {
	case <-c.ended:
	case <-time.After(limit + renewTimeout):
	}
}

// announceLeave sends the last Renew.
func (c *control) announceLeave(address string) {
	ctx, stop := context.WithTimeout(context.Background(), leaveWait)
	defer stop()
	if _, err := c.renew(ctx, address, true); err != nil {
		log.WithError(err).Warn("the control group did not hear that this entry VM leaves")
	}
	for _, closer := range c.closers {
		closer.Close()
	}
}
