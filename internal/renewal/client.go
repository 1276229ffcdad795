// Package renewal keeps an entry VM in contact with the control group: it renews the leases and
// receives the updates of the configuration and of the views.
package renewal

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Times of the connection to the control group.
const (
	// renewInterval is the time between two Renews without need.
	renewInterval = 500 * time.Millisecond
	// renewTimeout gives up a request, so that another control VM is asked well within the lease of
	// 2.5 s. It is above a retransmission of TCP and an election.
	renewTimeout = 400 * time.Millisecond
	// DefaultMinInterval is the default least time between two Renews, so that short demand is bundled.
	DefaultMinInterval = 10 * time.Millisecond
	// failPause is the pause after a Renew that failed, before another control VM is asked.
	failPause = 50 * time.Millisecond
	// registerTimeout bounds the first Renew, which waits for the control log.
	registerTimeout = 2 * time.Second
	// watchStreams is the number of control VMs watched at once. A control VM that is frozen sends nothing and
	// looks like one without news; the other stream then brings what changed.
	watchStreams = 2
	// finalTimeout bounds the last Renew of a process that leaves.
	finalTimeout = time.Second
	// LeaveTimeout is enough to leave: for a Renew in progress and the last one.
	LeaveTimeout = renewTimeout + finalTimeout
	// maxRedirects is how many redirects are followed without a pause.
	maxRedirects = 2
	// quickRenewBurst is how many Renews of waiting statements may come before their pauses have passed, and
	// paceRefill the time after which another one may.
	quickRenewBurst  = 3
	quickRenewRefill = 2 * time.Second
	// watchPause is the wait before another control VM is watched.
	watchPause = 50 * time.Millisecond
)

// Host is the entry VM that a Client serves. Its methods are called from the goroutines of the Client.
type Host interface {
	// FillRequest fills version and sights of a request and returns the use of connections.
	FillRequest(ctx context.Context, r *wire.RenewRequest) []lease.Usage
	// LeaseGranted hands over a lease of the leader.
	LeaseGranted(o ConfigLease)
	// WatchRequest states the version, log index and entry VMs held. It is false if ctx ended.
	WatchRequest(ctx context.Context) (held *wire.WatchRequest, ok bool)
	// Update hands over a message of the stream.
	Update(u *wire.Update)
	// Leased reports whether the entry VM holds a configuration lease.
	Leased(now time.Time) bool
	// Renewed counts a Renew.
	Renewed(ok bool)
}

// ConfigLease is a configuration lease for a version that is perhaps not applied yet.
type ConfigLease struct {
	Version uint64
	Until   time.Time // by the clock of Options.Now
}

// Options are what a Client is made of.
type Options struct {
	Registration *wire.Registration
	Groups       []string        // groups served; none means all
	Controls     func() []string // addresses of control VMs as configured; may change
	Dial         func(address string) (wire.ControlClient, io.Closer, error)
	Now          func() time.Time
	MinInterval  time.Duration // least time between two Renews
}

// Client is the connection of an entry VM to the control group.
type Client struct {
	options       Options
	host          Host
	credits       *Credits
	renewDue      chan struct{} // holds one token when a Renew is due now
	recheckDue    chan struct{} // holds one token when the time of the next Renew may be earlier
	started       time.Time
	quickTokens   float64   // Renews that may follow the one before quickly
	tokensUpdated time.Time // when spare was computed
	sequence      uint64
	term          uint64 // control log term of the latest reply; a leader grants only to requests that name its own
	clients       map[string]wire.ControlClient
	closers       []io.Closer
	ended         chan struct{}
	leaving       chan struct{}

	mu              sync.Mutex
	learnedControls []string                      // control VMs named by the latest reply
	pickIndex       int                           // last control VM picked
	watched         map[string]bool               // by address
	streams         map[string]context.CancelFunc // by address
}

// New returns a Client that does nothing until Run.
func New(host Host, options Options) *Client {
	c := &Client{
		options: options, host: host, started: options.Now(), quickTokens: quickRenewBurst, tokensUpdated: options.Now(),
		renewDue: make(chan struct{}, 1), recheckDue: make(chan struct{}, 1), clients: make(map[string]wire.ControlClient),
		ended: make(chan struct{}), leaving: make(chan struct{}),
		pickIndex: rand.IntN(max(len(options.Controls()), 1)), watched: make(map[string]bool), streams: make(map[string]context.CancelFunc),
	}
	c.credits = NewCredits(c.recheckNextRenew)
	return c
}

// Credits returns the credits and connection budgets that the Client renews.
func (c *Client) Credits() *Credits { return c.credits }

// controlAddresses returns the control VMs as configured and as the leader named them last.
func (c *Client) controlAddresses() []string {
	all := slices.Clone(c.options.Controls())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.learnedControls {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

// setLearnedControls takes over the control VMs that the leader names.
func (c *Client) setLearnedControls(controls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedControls = controls
}

// RenewNow has a Renew sent now.
func (c *Client) RenewNow() {
	select {
	case c.renewDue <- struct{}{}:
	default:
	}
}

// recheckNextRenew has the time of the next Renew looked at again.
func (c *Client) recheckNextRenew() {
	select {
	case c.recheckDue <- struct{}{}:
	default:
	}
}

// client returns the connection to a control VM. Only the goroutine of run calls it.
func (c *Client) client(address string) (wire.ControlClient, error) {
	if known, ok := c.clients[address]; ok {
		return known, nil
	}
	fresh, closer, err := c.options.Dial(address)
	if err != nil {
		return nil, errors.Wrap(err, "renewal: control VM")
	}
	c.clients[address] = fresh
	c.closers = append(c.closers, closer)
	return fresh, nil
}

// Run renews until ctx ends or the VM leaves.
func (c *Client) Run(ctx context.Context) {
	defer close(c.ended)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for range min(watchStreams, len(c.controlAddresses())) {
		go c.watch(ctx)
	}
	targets := targetSelector{index: rand.IntN(len(c.controlAddresses()))}
	for {
		address := targets.next(c.controlAddresses())
		term := c.term
		reply, err := c.renew(ctx, address, false)
		a := renewAnswer{failed: err != nil, leader: reply.GetLeader(), redirect: reply.GetRedirect(), newTerm: c.term != term}
		if !a.leader && a.redirect == "" {
			c.host.Renewed(false)
		}
		if pause := targets.handleAnswer(address, a); pause > 0 && !c.awaitNextRenew(ctx, pause) {
			c.announceLeave(address)
			return
		}
	}
}

// awaitNextRenew waits for the next Renew. It returns false when the VM leaves.
func (c *Client) awaitNextRenew(ctx context.Context, maxWait time.Duration) bool {
	woken := false
	for start := c.options.Now(); ; {
		now := c.options.Now()
		passed := now.Sub(start)
		left := min(maxWait-passed, c.credits.next().Sub(now))
		if woken {
			left = 0
		}
		left = max(left, c.minPause(now, maxWait)-passed)
		if left <= 0 {
			c.spendToken(passed, maxWait)
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-c.renewDue:
			woken = true
		case <-c.recheckDue:
		case <-c.leaving:
			timer.Stop()
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// minPause returns the least time between two Renews. A few may follow each other quickly: after a start, or
// when a client account appears at this VM, statements wait for their first credits.
func (c *Client) minPause(now time.Time, maxWait time.Duration) time.Duration {
	c.quickTokens = min(c.quickTokens+now.Sub(c.tokensUpdated).Seconds()/quickRenewRefill.Seconds(), quickRenewBurst)
	c.tokensUpdated = now
	if c.quickTokens >= 1 {
		return min(DefaultMinInterval, c.options.MinInterval, maxWait)
	}
	return min(c.options.MinInterval, maxWait)
}

// spendToken counts a Renew that came early.
func (c *Client) spendToken(passed, maxWait time.Duration) {
	if passed < min(c.options.MinInterval, maxWait) {
		c.quickTokens = max(c.quickTokens-1, 0)
	}
}

// renew sends one request and applies its reply.
func (c *Client) renew(ctx context.Context, address string, leaving bool) (*wire.RenewReply, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	if c.term == 0 {
		// Until a leader answers, nothing was admitted here for as long as the process runs.
		c.options.Registration.Age = c.options.Now().Sub(c.started).Milliseconds()
	}
	request := &wire.RenewRequest{Registration: c.options.Registration, Leaving: leaving, Term: c.term}
	usages := c.host.FillRequest(ctx, request)
	c.sequence++
	request.Sequence = c.sequence
	sent := c.options.Now()
	c.credits.fillRequest(sent, request, usages)
	limit := renewTimeout
	if !c.host.Leased(sent) {
		limit = registerTimeout
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	reply, err := client.Renew(ctx, request)
	if err != nil {
		return nil, errors.Wrap(err, "renewal: renew")
	}
	if reply.GetTerm() != 0 {
		c.term = reply.GetTerm()
	}
	if !reply.GetLeader() || reply.GetSequence() != request.Sequence || leaving {
		return reply, nil
	}
	c.host.Renewed(true)
	c.setLearnedControls(reply.GetControls())
	c.credits.applyReply(sent, c.options.Now(), reply)
	until := sent.Add(time.Duration(reply.GetLease()) * time.Millisecond)
	c.host.LeaseGranted(ConfigLease{Version: reply.GetVersion(), Until: until})
	return reply, nil
}

// watch keeps one of the streams of updates open. Any control VM serves it.
func (c *Client) watch(ctx context.Context) {
	for ctx.Err() == nil {
		address := c.pickUnwatched(c.controlAddresses())
		err := c.watchOne(ctx, address)
		c.unmarkWatched(address)
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

// pickUnwatched returns the next control VM that is not watched yet.
func (c *Client) pickUnwatched(addresses []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range addresses {
		c.pickIndex = (c.pickIndex + 1) % len(addresses)
		if !c.watched[addresses[c.pickIndex]] {
			break
		}
	}
	c.watched[addresses[c.pickIndex]] = true
	return addresses[c.pickIndex]
}

func (c *Client) unmarkWatched(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched, address)
}

// ReopenStreams ends the streams, because a version that the leader names does not arrive.
func (c *Client) ReopenStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stop := range c.streams {
		stop()
	}
}

// registerStream makes a stream known to rewatch until the returned function is called.
func (c *Client) registerStream(address string, stop context.CancelFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[address] = stop
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.streams, address)
	}
}

func (c *Client) watchOne(ctx context.Context, address string) error {
	client, closer, err := c.options.Dial(address)
	if err != nil {
		return errors.Wrap(err, "renewal: control VM")
	}
	defer closer.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.registerStream(address, stop)()
	request, ok := c.host.WatchRequest(ctx)
	if !ok {
		return ctx.Err()
	}
	request.Entry, request.Groups = c.options.Registration.GetEntry(), c.options.Groups
	stream, err := client.Watch(ctx, request)
	if err != nil {
		return errors.Wrap(err, "renewal: watch")
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "renewal: watch")
		}
		c.host.Update(u)
	}
}

// Leave tells the control group that the VM holds nothing any more, and waits for that up to a limit.
func (c *Client) Leave(limit time.Duration) {
	close(c.leaving)
	select {
	case <-c.ended:
	case <-time.After(limit):
	}
}

// announceLeave sends the last Renew.
func (c *Client) announceLeave(address string) {
	ctx, stop := context.WithTimeout(context.Background(), finalTimeout)
	defer stop()
	if _, err := c.renew(ctx, address, true); err != nil {
		log.WithError(err).Warn("the control group did not hear that this entry VM leaves")
	}
	for _, closer := range c.closers {
		closer.Close()
	}
}
