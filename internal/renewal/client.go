// Package renewal is the control group's client on an entry VM. It renews the leases of the entry VM
// (configuration lease, rate credits and connection budgets) by periodic Renew requests to the control
// leader, and receives updates of the configuration and of the views over streams from any control VMs.
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

// Intervals and limits of the communication with the control group.
const (
	// renewInterval is the time between two Renews when nothing requires an earlier one.
	renewInterval = 500 * time.Millisecond
	// renewTimeout bounds one request, so that another control VM can be tried well within the lease of 2.5 s. It
	// is above one TCP retransmission and above the duration of an election.
	renewTimeout = 400 * time.Millisecond
	// DefaultMinInterval is the default minimum time between two Renews. It batches demand that arrives within a
	// short time.
	DefaultMinInterval = 10 * time.Millisecond
	// failPause is the pause after a failed Renew before another control VM is tried.
	failPause = 50 * time.Millisecond
	// registerTimeout bounds a Renew without a configuration lease. The first one waits for a commit in the
	// control log.
	registerTimeout = 2 * time.Second
	// finalTimeout bounds the last Renew of a process that shuts down.
	finalTimeout = time.Second
	// LeaveTimeout is long enough for Leave: for a Renew in progress plus the last one.
	LeaveTimeout = renewTimeout + finalTimeout
	// maxRedirects is how many redirects are followed without a pause.
	maxRedirects = 2
	// quickRenewBurst and quickRenewRefill are the size and the time per token of the token bucket for Renews that
	// need not wait for the minimum interval.
	quickRenewBurst  = 3
	quickRenewRefill = 2 * time.Second
)

// Host is the entry VM that a Client serves. Its methods are called from the goroutines of the Client.
type Host interface {
	// FillRequest sets the applied version and the reachability of the primaries (Sights) in a request, and returns
	// the usage of connections.
	FillRequest(ctx context.Context, r *wire.RenewRequest) []lease.Usage
	// LeaseGranted delivers a configuration lease granted by the leader.
	LeaseGranted(granted ConfigLease)
	// WatchRequest returns a request with the version, log index and entry VMs that the entry VM already has. ok
	// is false if ctx ended.
	WatchRequest(ctx context.Context) (request *wire.WatchRequest, ok bool)
	// Update delivers a message of a stream.
	Update(u *wire.Update)
	// Leased reports whether the entry VM holds a configuration lease.
	Leased(now time.Time) bool
	// Renewed reports the outcome of a Renew: ok if the leader answered it.
	Renewed(ok bool)
}

// ConfigLease is a lease on a version of the configuration, which may not be applied yet.
type ConfigLease struct {
	Version uint64
	Until   time.Time // by the clock of Options.Now
}

// Options configure a Client.
type Options struct {
	Registration *wire.Registration
	Groups       []string        // groups served; none means all
	Controls     func() []string // addresses of control VMs as configured; may change
	Dial         func(address string) (wire.ControlClient, io.Closer, error)
	Now          func() time.Time
	MinInterval  time.Duration // minimum time between two Renews
}

// Client is the connection of an entry VM to the control group.
type Client struct {
	options       Options
	host          Host
	credits       *Credits
	renewDue      chan struct{} // holds one element when a Renew is due now
	recheckDue    chan struct{} // holds one element when the next Renew may be due earlier than computed
	started       time.Time
	quickTokens   float64   // Renews that may be sent before the minimum interval has passed
	tokensUpdated time.Time // when quickTokens was last refilled
	sequence      uint64
	term          uint64 // control log term of the latest reply; a leader grants leases only to requests with its own term
	registered    bool   // the latest reply was that of a leader, which has the registration
	members       uint64 // hash of learnedControls, as stated by the leader
	clients       map[string]wire.ControlClient
	closers       []io.Closer
	ended         chan struct{}
	leaving       chan struct{}

	streams *streams

	mu              sync.Mutex
	learnedControls []string // control VMs in the latest reply of a leader
}

// New returns a Client that sends nothing until Run is called.
func New(host Host, options Options) *Client {
	c := &Client{
		options: options, host: host, started: options.Now(), quickTokens: quickRenewBurst, tokensUpdated: options.Now(),
		renewDue: make(chan struct{}, 1), recheckDue: make(chan struct{}, 1), clients: make(map[string]wire.ControlClient),
		ended: make(chan struct{}), leaving: make(chan struct{}),
		streams: newStreams(rand.IntN(max(len(options.Controls()), 1))),
	}
	c.credits = NewCredits(c.recheckNextRenew)
	return c
}

// Credits returns the rate credits and connection budgets that the Client renews.
func (c *Client) Credits() *Credits { return c.credits }

// controlAddresses returns the configured control VMs and those in the latest reply of a leader.
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

// setLearnedControls stores the control VMs reported by the leader.
func (c *Client) setLearnedControls(controls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedControls = controls
}

// RenewNow requests that a Renew is sent as soon as the minimum interval allows.
func (c *Client) RenewNow() {
	select {
	case c.renewDue <- struct{}{}:
	default:
	}
}

// recheckNextRenew requests that the time of the next Renew is computed again.
func (c *Client) recheckNextRenew() {
	select {
	case c.recheckDue <- struct{}{}:
	default:
	}
}

// client returns the connection to a control VM. Only the goroutine of Run calls it.
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

// Run renews the leases until ctx ends or Leave is called.
func (c *Client) Run(ctx context.Context) {
	defer close(c.ended)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for stream := range min(watchStreams, len(c.controlAddresses())) {
		go c.watch(ctx, stream)
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

// awaitNextRenew waits until the next Renew is due, at most maxWait. It returns false if Run must end.
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

// minPause returns the minimum time before the next Renew and refills the token bucket. A token allows a
// shorter pause than Options.MinInterval, because after a start, or when a client account first appears at
// this VM, statements wait for their first credits.
func (c *Client) minPause(now time.Time, maxWait time.Duration) time.Duration {
	c.quickTokens = min(c.quickTokens+now.Sub(c.tokensUpdated).Seconds()/quickRenewRefill.Seconds(), quickRenewBurst)
	c.tokensUpdated = now
	if c.quickTokens >= 1 {
		return min(DefaultMinInterval, c.options.MinInterval, maxWait)
	}
	return min(c.options.MinInterval, maxWait)
}

// spendToken takes a token for a Renew that did not wait for the minimum interval.
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
		// Until a leader has answered, this process has admitted nothing since its start.
		c.options.Registration.Age = c.options.Now().Sub(c.started).Milliseconds()
	}
	request := &wire.RenewRequest{Registration: c.options.Registration, Leaving: leaving, Term: c.term, Members: c.members}
	if c.registered {
		request.Registration, request.Brief = &wire.Registration{Entry: c.options.Registration.GetEntry()}, true
	}
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
	// A leader of an earlier build needs the whole registration each time; it states no members.
	c.registered = reply.GetLeader() && reply.GetMembers() != 0
	if err != nil {
		return nil, errors.Wrap(err, "renewal: renew")
	}
	if reply.GetTerm() != 0 {
		c.term = reply.GetTerm()
	}
	if reply.GetUnknown() {
		return c.renew(ctx, address, leaving)
	}
	if !reply.GetLeader() || reply.GetSequence() != request.Sequence || leaving {
		return reply, nil
	}
	c.host.Renewed(true)
	if len(reply.GetControls()) > 0 {
		c.members = reply.GetMembers()
		c.setLearnedControls(reply.GetControls())
	}
	c.credits.applyReply(sent, c.options.Now(), reply)
	until := sent.Add(time.Duration(reply.GetLease()) * time.Millisecond)
	c.host.LeaseGranted(ConfigLease{Version: reply.GetVersion(), Until: until})
	return reply, nil
}

// Leave makes Run send a last Renew, which reports that the VM has released everything, and waits for its end
// up to a limit.
func (c *Client) Leave(limit time.Duration) {
	close(c.leaving)
	select {
	case <-c.ended:
	case <-time.After(limit):
	}
}

// announceLeave sends the last Renew and closes the connections.
func (c *Client) announceLeave(address string) {
	ctx, stop := context.WithTimeout(context.Background(), finalTimeout)
	defer stop()
	if _, err := c.renew(ctx, address, true); err != nil {
		log.WithError(err).Warn("could not report to the control group that this entry VM leaves")
	}
	for _, closer := range c.closers {
		closer.Close()
	}
}
