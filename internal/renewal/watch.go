package renewal

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// watchStreams is the number of control VMs watched at the same time. A frozen control VM looks like one that has no
	// updates to send; the second stream shows that there are some.
	watchStreams = 2
	// watchPause is the pause after a stream ended before another control VM is watched.
	watchPause = 50 * time.Millisecond
	// updateGrace and registrationGrace are how long updates of the configuration and the views, and of registrations,
	// may arrive after their mark. Control VMs learn of a commit up to a heartbeat after the leader, and send changes of
	// registrations together.
	updateGrace       = 250 * time.Millisecond
	registrationGrace = 1500 * time.Millisecond
	// minCarrierTime is the time in which the carrier may send its first update, which contains all state.
	minCarrierTime = time.Second
)

// errRoleChanged reports that a stream was ended to open it again in its new role.
var errRoleChanged = errors.New("renewal: the stream changes its role")

// streams are the streams of updates of a Client. It is safe for concurrent use.
//
// Invariant: one stream, the carrier, receives the updates, the other only their marks. The state of a site with hundreds
// of entry VMs fills the link of a small VM for some tenths of a second; twice would delay its start.
type streams struct {
	mu      sync.Mutex
	index   int             // of the control VM picked last
	watched map[string]bool // by address
	carrier int
	since   time.Time                  // when the carrier was chosen
	ends    map[int]context.CancelFunc // of the open streams, also of those that are opened again in another role
}

// newStreams returns streams that watch the control VM at an index first.
func newStreams(index int) *streams {
	return &streams{index: index, watched: map[string]bool{}, ends: map[int]context.CancelFunc{}}
}

// pick returns the next control VM without a stream, or the next one if all have a stream, and marks it as watched.
func (s *streams) pick(addresses []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range addresses {
		s.index = (s.index + 1) % len(addresses)
		if !s.watched[addresses[s.index]] {
			break
		}
	}
	s.watched[addresses[s.index]] = true
	return addresses[s.index]
}

// unpick marks a control VM as not watched.
func (s *streams) unpick(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, address)
}

// begin returns the role of a stream that is opened, or opened again in another role. Until close, end ends the stream.
func (s *streams) begin(now time.Time, stream int, end context.CancelFunc) (carries bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends[s.carrier] == nil {
		s.carrier, s.since = stream, now
	}
	s.ends[stream] = end
	return s.carrier == stream
}

// close marks a stream as not open. A stream that changes its role stays open: otherwise the former carrier, if it is
// the first to be opened again, finds none and carries again.
func (s *streams) close(stream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ends, stream)
}

// isCarrier reports whether a stream is the carrier.
func (s *streams) isCarrier(stream int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.carrier == stream
}

// carrierAge returns for how long the carrier has been the carrier.
func (s *streams) carrierAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.since)
}

// makeCarrier makes a stream the carrier. The streams that change their role are opened again.
func (s *streams) makeCarrier(now time.Time, stream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carrier == stream {
		return
	}
	for _, n := range []int{s.carrier, stream} {
		if end := s.ends[n]; end != nil {
			end()
		}
	}
	s.carrier, s.since = stream, now
}

// replaceLost makes another open stream the carrier after the carrier has ended.
func (s *streams) replaceLost(now time.Time, ended int) {
	s.mu.Lock()
	other := (ended + 1) % watchStreams
	replace := s.carrier == ended && s.ends[other] != nil
	s.mu.Unlock()
	if replace {
		s.makeCarrier(now, other)
	}
}

// endAll ends the open streams, so that they are opened again.
func (s *streams) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.ends {
		end()
	}
}

// ReopenStreams ends the streams, so that they are opened anew. It is called when the configuration version
// of a granted lease does not arrive.
func (c *Client) ReopenStreams() { c.streams.endAll() }

// watch keeps one stream open. Any control VM can serve it.
func (c *Client) watch(ctx context.Context, stream int) {
	for ctx.Err() == nil {
		address := c.streams.pick(c.watchAddresses())
		err := c.watchOne(ctx, address, stream)
		c.streams.unpick(address)
		if ctx.Err() != nil {
			return
		}
		c.streams.replaceLost(c.options.Now(), stream)
		log.WithError(err).WithField("control", address).Warn("stream of updates ended; opening another one")
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// watchAddresses returns the members of the control group in the latest reply of a leader, or the configured control VMs
// until there is one: some of these may be no members, and have no state to send.
func (c *Client) watchAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.learnedControls) > 0 {
		return c.learnedControls
	}
	return c.options.Controls()
}

// watchOne keeps a stream of a control VM open, in changing roles, until it ends.
func (c *Client) watchOne(ctx context.Context, address string, stream int) error {
	client, closer, err := c.options.Dial(address)
	if err != nil {
		return errors.Wrap(err, "renewal: control VM")
	}
	defer closer.Close()
	defer c.streams.close(stream)
	for {
		if err := c.receive(ctx, client, stream); !errors.Is(err, errRoleChanged) {
			return err
		}
	}
}

// receive passes the updates of a stream on until it ends or its role changes.
func (c *Client) receive(ctx context.Context, client wire.ControlClient, stream int) error {
	opened, end := context.WithCancel(ctx)
	defer end()
	carries := c.streams.begin(c.options.Now(), stream, end)
	err := c.receiveAs(opened, client, stream, carries)
	if opened.Err() != nil && ctx.Err() == nil && c.streams.isCarrier(stream) != carries {
		return errRoleChanged
	}
	return err
}

// receiveAs passes the updates of a stream on until it ends.
func (c *Client) receiveAs(ctx context.Context, client wire.ControlClient, stream int, carries bool) error {
	request, ok := c.host.WatchRequest(ctx)
	if !ok {
		return ctx.Err()
	}
	request.Entry, request.Groups, request.Marks = c.options.Registration.GetEntry(), c.options.Groups, !carries
	updates, err := client.Watch(ctx, request)
	if err != nil {
		return errors.Wrap(err, "renewal: watch")
	}
	for {
		u, err := updates.Recv()
		if err != nil {
			return errors.Wrap(err, "renewal: watch")
		}
		if u.GetMark() {
			c.awaitMarked(ctx, stream, u)
			continue
		}
		c.host.Update(u)
	}
}

// awaitMarked checks later whether the updates of a mark have arrived.
func (c *Client) awaitMarked(ctx context.Context, stream int, mark *wire.Update) {
	time.AfterFunc(updateGrace, func() {
		c.checkMark(ctx, stream, mark, func(has *wire.WatchRequest) bool {
			return has.GetVersion() >= mark.GetVersion() && has.GetIndex() >= mark.GetIndex()
		})
	})
	if mark.GetEntered() > 0 {
		time.AfterFunc(registrationGrace, func() {
			c.checkMark(ctx, stream, mark, func(has *wire.WatchRequest) bool { return has.GetEntered() >= mark.GetEntered() })
		})
	}
}

// checkMark makes the stream of a mark the carrier if its update has not arrived: the control VM of the carrier is silent.
func (c *Client) checkMark(ctx context.Context, stream int, mark *wire.Update, arrived func(has *wire.WatchRequest) bool) {
	has, ok := c.host.WatchRequest(ctx)
	if !ok || arrived(has) || c.streams.isCarrier(stream) {
		return
	}
	now := c.options.Now()
	if early := minCarrierTime - c.streams.carrierAge(now); early > 0 {
		time.AfterFunc(early, func() { c.checkMark(ctx, stream, mark, arrived) })
		return
	}
	log.WithFields(log.Fields{
		"event": "carrier", "version": has.GetVersion(), "index": has.GetIndex(), "entered": has.GetEntered(),
		"marked": mark.GetIndex(), "outcome": "replaced",
	}).Warn("the stream of updates is silent; the other one carries them")
	c.streams.makeCarrier(now, stream)
}
